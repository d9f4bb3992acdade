//! Peer thread: exchanges messages with peers and passes received messages to the threads that
//! handle their class.

use crate::{
    dispatch::DispatchEvent, ledger::LedgerEvent, shared::DaemonShared, threads::start_async_thread,
};
use eyre::{Result, WrapErr};
use kws_peer::{
    ExchangeSettings, InboundMessage, MessageClass, OutboundMessage, PeerObserver, PeerSecret,
    run_exchange,
};
use kws_protocol::{HostName, LeaseMessage, PeerMessage, TicketMessage};
use std::{net, sync::Arc};
use tokio::{
    net::TcpListener,
    sync::mpsc::{Receiver, Sender, channel, error::TrySendError},
};

/// Capacity of the channel of received messages.
const INBOUND_MESSAGES_CAPACITY: usize = 1024;

/// Channels to the threads that handle received messages.
pub(crate) struct PeerOutputs {
    pub(crate) fleet: Sender<InboundMessage>,
    pub(crate) ledger: Sender<LedgerEvent>,
    pub(crate) dispatch: Sender<DispatchEvent>,
}

/// Records the messages of the peer exchange in the daemon's metrics, and reports lost links to the token
/// thread.
struct ExchangeObserver {
    shared: Arc<DaemonShared>,
    ledger: Sender<LedgerEvent>,
}

impl PeerObserver for ExchangeObserver {
    fn sent(&self, class: MessageClass, bytes: usize) {
        self.shared.metrics.record_peer_sent(class.as_str(), bytes);
    }

    fn received(&self, class: MessageClass, bytes: usize) {
        self.shared
            .metrics
            .record_peer_received(class.as_str(), bytes);
    }

    fn dropped(&self, class: MessageClass) {
        self.shared.metrics.record_peer_dropped(class.as_str());
    }

    fn link_closed(&self, peer: &HostName) {
        let event = LedgerEvent::LostLink(peer.clone());
        send_or_drop(&self.shared, "ledger", &self.ledger, event);
    }

    fn refused(&self, peer: &HostName, reason: &str) {
        log::warn!(peer = peer.as_str(), reason = reason; "peer message refused");
    }

    fn link_lost(&self, reason: &str) {
        self.shared.metrics.record_peer_link_lost();
        log::debug!(reason = reason; "peer link lost");
    }
}

/// Starts the peer exchange on a bound listener.
pub(crate) fn start_peers(
    shared: Arc<DaemonShared>,
    listener: net::TcpListener,
    secret: PeerSecret,
    outbound: Receiver<OutboundMessage>,
    outputs: PeerOutputs,
) -> Result<()> {
    listener
        .set_nonblocking(true)
        .wrap_err("failed to make the peer listener nonblocking")?;
    start_async_thread("peers", move || async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => panic!("failed to register the peer listener: {error}"),
        };
        let settings = ExchangeSettings {
            host: shared.identity.host.clone(),
            secret,
        };
        let observer = Arc::new(ExchangeObserver {
            shared: Arc::clone(&shared),
            ledger: outputs.ledger.clone(),
        });
        let (inbound, received) = channel(INBOUND_MESSAGES_CAPACITY);
        tokio::join!(
            run_exchange(settings, listener, outbound, inbound, observer),
            distribute_messages(shared, received, outputs),
        );
    })
}

async fn distribute_messages(
    shared: Arc<DaemonShared>,
    mut received: Receiver<InboundMessage>,
    outputs: PeerOutputs,
) {
    while let Some(inbound) = received.recv().await {
        let InboundMessage { from, message } = inbound;
        match message {
            PeerMessage::Loan(message) => {
                send_or_drop(
                    &shared,
                    "ledger",
                    &outputs.ledger,
                    LedgerEvent::Loan { from, message },
                );
            }
            PeerMessage::Health(message) => {
                let event = DispatchEvent::Health { from, message };
                send_or_drop(&shared, "dispatch", &outputs.dispatch, event);
            }
            PeerMessage::Lease(message) => {
                let (LeaseMessage::Query { view, .. } | LeaseMessage::Reply { view, .. }) = message;
                let event = LedgerEvent::PeerRevision {
                    peer: from.clone(),
                    revision: view.revision,
                };
                send_or_drop(&shared, "ledger", &outputs.ledger, event);
                let message = PeerMessage::Lease(message);
                send_or_drop(
                    &shared,
                    "fleet",
                    &outputs.fleet,
                    InboundMessage { from, message },
                );
            }
            PeerMessage::Ticket(
                message @ (TicketMessage::RequestToken { .. } | TicketMessage::TokenReply { .. }),
            ) => {
                let event = LedgerEvent::Token { from, message };
                send_or_drop(&shared, "ledger", &outputs.ledger, event);
            }
            PeerMessage::Ticket(message) => {
                let event = DispatchEvent::Ticket { from, message };
                send_or_drop(&shared, "dispatch", &outputs.dispatch, event);
            }
            PeerMessage::Config(_) | PeerMessage::Mesh(_) => {
                send_or_drop(
                    &shared,
                    "fleet",
                    &outputs.fleet,
                    InboundMessage { from, message },
                );
            }
        }
    }
}

/// Sends without waiting. Any peer message may be lost, so one that finds the channel full is
/// dropped and counted.
fn send_or_drop<T>(shared: &DaemonShared, name: &str, channel: &Sender<T>, event: T) {
    if let Err(TrySendError::Full(_)) = channel.try_send(event) {
        shared.metrics.record_full_channel(name);
    }
}
