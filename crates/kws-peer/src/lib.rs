//! Message exchange between daemons over WebSocket links. A link is opened on demand, authenticated
//! by a shared secret, and has a bounded queue that drops the least urgent class first.

mod exchange;
mod handshake;
mod link;
mod link_socket;
mod liveness;
mod observer;
mod queue;

pub use exchange::{ExchangeSettings, InboundMessage, OutboundMessage, run_exchange};
pub use handshake::{HandshakeError, PeerSecret};
pub(crate) use liveness::LinkLiveness;
pub use observer::PeerObserver;
pub use queue::{MessageClass, PeerQueue};
