//! Caller listeners and forwarding of requests.

mod access_entry;
mod caller_connection;
mod caller_service;
mod connections;
mod control;
mod credential;
mod exchange;
mod frame_guard;
mod guard_layer;
mod head;
mod listen_socket;
mod listener;
mod live_count;
mod protocol_control;
mod refusal;
mod request_body;
mod request_check;
mod request_id;
mod response;
mod response_body;
mod response_guard;
mod response_layer;
mod route;
mod route_history;
mod routing;
mod sent_requests;
mod session_layer;
mod silence;
mod single_try;
mod target;
mod tls;
mod tracked_body;
mod tries;
mod try_guard;
mod upstream;
mod worker;
mod write_pages;

pub use control::{
    AccessOutcome, AccessRecord, ExtraResponse, ExtraResponseKind, ForwardControl, GrantTicket,
    Refusal, RetryPermission, ServerGrant, ServerRequest, TryClass, TryOutcome,
};
pub use listener::{ListenerHandle, ListenerSettings, StopTimes, run_listener};
pub use routing::RoutingView;
pub use tls::{BackendTrust, CertificateFiles, CertificateStore, TlsError};
