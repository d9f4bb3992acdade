//! Message exchange with peers: one link per peer, dialled when a message is to be sent.

use crate::{
    LinkLiveness, MessageClass, PeerObserver, PeerQueue, PeerSecret,
    link::{LinkError, LinkStream, accept_link, dial_link, run_link},
};
use kws_protocol::{CodecError, HostName, PeerMessage};
use rand::RngExt;
use std::{
    collections::{HashMap, HashSet},
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{
        Semaphore,
        mpsc::{Receiver, Sender},
    },
    time::{Instant, sleep},
};

/// Delay before a peer is dialled again after a failed dial; jitter is added.
const REDIAL_DELAY: Duration = Duration::from_millis(500);
/// Delay after a refused connection; shorter, so that hosts started together connect quickly.
const REFUSED_REDIAL_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of concurrent inbound handshakes; further connections stay in the listen backlog.
const MAX_HANDSHAKES: usize = 64;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of refusals that are remembered, so that each is reported once.
const MAX_REFUSALS: usize = 1_024;

/// Identity of this daemon towards its peers.
#[derive(Clone, Debug)]
pub struct ExchangeSettings {
    /// Name of this host.
    pub host: HostName,
    /// Secret shared by the fleet.
    pub secret: PeerSecret,
}

/// A message to be sent to a peer.
#[derive(Clone, Debug)]
pub struct OutboundMessage {
    /// Destination host.
    pub to: HostName,
    /// Peer address of that host; `None` sends only over a link that is already open.
    pub address: Option<SocketAddr>,
    /// The message.
    pub message: PeerMessage,
}

/// A message received from an authenticated peer.
#[derive(Clone, Debug)]
pub struct InboundMessage {
    /// Host that sent it.
    pub from: HostName,
    /// The message.
    pub message: PeerMessage,
}

struct ExchangeState {
    settings: ExchangeSettings,
    links: Mutex<HashMap<HostName, LinkEntry>>,
    /// Peers with messages that can't be encoded or decoded, and the reasons.
    refusals: Mutex<HashSet<(HostName, String)>>,
    inbound: Sender<InboundMessage>,
    observer: Arc<dyn PeerObserver>,
}

enum LinkEntry {
    Open(PeerQueue),
    Failed { until: Instant },
}

impl ExchangeState {
    fn links(&self) -> MutexGuard<'_, HashMap<HostName, LinkEntry>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports a message that can't be encoded or decoded to the observer, once for each peer and reason.
    fn report_refusal(&self, peer: &HostName, error: &CodecError) {
        let reason = error.to_string();
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if refusals.len() == MAX_REFUSALS {
            refusals.clear();
        }
        if refusals.insert((peer.clone(), reason.clone())) {
            self.observer.refused(peer, &reason);
        }
    }
}

/// Runs the exchange until `outbound` is closed.
pub async fn run_exchange(
    settings: ExchangeSettings,
    listener: TcpListener,
    mut outbound: Receiver<OutboundMessage>,
    inbound: Sender<InboundMessage>,
    observer: Arc<dyn PeerObserver>,
) {
    let state = Arc::new(ExchangeState {
        settings,
        links: Mutex::default(),
        refusals: Mutex::default(),
        inbound,
        observer,
    });
    let acceptor = tokio::spawn(accept_links(Arc::clone(&state), listener));
    while let Some(message) = outbound.recv().await {
        send_message(&state, message);
    }
    acceptor.abort();
}

fn send_message(state: &Arc<ExchangeState>, outbound: OutboundMessage) {
    let class = MessageClass::of(&outbound.message);
    let Some(queue) = link_queue(state, &outbound) else {
        state.observer.dropped(class);
        return;
    };
    if let Err(class) = queue.push(outbound.message) {
        state.observer.dropped(class);
    }
}

/// Returns the queue of the peer's link and dials the peer if there is none. `None` if the peer has
/// no link and no known address, or if its redial delay has not passed.
fn link_queue(state: &Arc<ExchangeState>, outbound: &OutboundMessage) -> Option<PeerQueue> {
    let mut links = state.links();
    match links.get(&outbound.to) {
        Some(LinkEntry::Open(queue)) if queue.is_open() => return Some(queue.clone()),
        Some(LinkEntry::Failed { until }) if Instant::now() < *until => return None,
        _ => {}
    }
    let address = outbound.address?;
    let (queue, receiver) = PeerQueue::new();
    links.insert(outbound.to.clone(), LinkEntry::Open(queue.clone()));
    let ends = (receiver, queue.liveness());
    let work = dial_peer(Arc::clone(state), outbound.to.clone(), address, ends);
    tokio::spawn(work);
    Some(queue)
}

async fn dial_peer(
    state: Arc<ExchangeState>,
    peer: HostName,
    address: SocketAddr,
    (mut queue, liveness): (Receiver<PeerMessage>, Arc<LinkLiveness>),
) {
    let settings = &state.settings;
    let dialled = dial_link(&settings.secret, &settings.host, &peer, address).await;
    let opened = Instant::now();
    let (error, found) = match dialled {
        Ok((link, found)) => {
            alias_link(&state, &peer, &found);
            let ends = (&mut queue, &*liveness);
            let error = run_link(link, &found, ends, &state.inbound, &*state.observer).await;
            (error, Some(found))
        }
        Err(error) => (error, None),
    };
    close_link(&state, &peer, &mut queue, &error);
    // A link that was lost after it worked for a while says nothing against a new one.
    let has_worked = found.is_some() && opened.elapsed() >= REDIAL_DELAY;
    set_redial_delay(&state, peer, (!has_worked).then_some(&error));
    if let Some(found) = found {
        state.observer.link_closed(&found);
    }
}

/// Sets from when a peer may be dialled again after `error`; from now on if there is none.
fn set_redial_delay(state: &ExchangeState, peer: HostName, error: Option<&LinkError>) {
    let delay = match error {
        None => Duration::ZERO,
        Some(LinkError::Io(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            REFUSED_REDIAL_DELAY
        }
        Some(_) => REDIAL_DELAY,
    };
    let delay = delay.mul_f64(rand::rng().random_range(0.5..=1.5));
    let until = Instant::now() + delay;
    let mut links = state.links();
    // A link accepted in the meantime may already have replaced this entry.
    if !matches!(links.get(&peer), Some(LinkEntry::Open(queue)) if queue.is_open()) {
        links.insert(peer, LinkEntry::Failed { until });
    }
    // Entries of peers that left the fleet would otherwise never be removed.
    links.retain(|_, entry| match entry {
        LinkEntry::Open(queue) => queue.is_open(),
        LinkEntry::Failed { until } => Instant::now() < *until,
    });
}

async fn accept_links(state: Arc<ExchangeState>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                tokio::spawn(async move {
                    let accepted = accept_peer(&state, stream).await;
                    drop(permit);
                    match accepted {
                        Ok((link, peer)) => serve_accepted(&state, link, &peer).await,
                        Err(error) => state.observer.link_lost(&error.to_string()),
                    }
                });
            }
            Err(error) => {
                state.observer.link_lost(&error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_peer(
    state: &ExchangeState,
    stream: TcpStream,
) -> Result<(LinkStream, HostName), LinkError> {
    accept_link(&state.settings.secret, &state.settings.host, stream).await
}

async fn serve_accepted(state: &ExchangeState, link: LinkStream, peer: &HostName) {
    let (queue, mut receiver) = PeerQueue::new();
    let liveness = queue.liveness();
    register_link(state, peer, queue.clone());
    let ends = (&mut receiver, &*liveness);
    let error = run_link(link, peer, ends, &state.inbound, &*state.observer).await;
    drop(queue);
    close_link(state, peer, &mut receiver, &error);
    state.observer.link_closed(peer);
}

/// Registers a link also under the name that the peer gave, if it was dialled by address alone.
fn alias_link(state: &ExchangeState, wanted: &HostName, found: &HostName) {
    let queue = match state.links().get(wanted) {
        Some(LinkEntry::Open(queue)) if wanted != found => queue.clone(),
        _ => return,
    };
    register_link(state, found, queue);
}

/// Registers `queue` as the queue of `peer`, unless a responsive link is already registered. A link
/// with an unanswered ping is replaced: the peer may have found it lost and dialled again.
fn register_link(state: &ExchangeState, peer: &HostName, queue: PeerQueue) {
    let mut links = state.links();
    if !matches!(links.get(peer), Some(LinkEntry::Open(open)) if open.is_responsive()) {
        links.insert(peer.clone(), LinkEntry::Open(queue));
    }
}

fn close_link(
    state: &ExchangeState,
    peer: &HostName,
    queue: &mut Receiver<PeerMessage>,
    error: &LinkError,
) {
    queue.close();
    while let Ok(message) = queue.try_recv() {
        state.observer.dropped(MessageClass::of(&message));
    }
    if let LinkError::Codec(error) = error {
        state.report_refusal(peer, error);
    }
    state.observer.link_lost(&format!("{peer}: {error}"));
}
