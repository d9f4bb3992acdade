//! Membership: the links that carry all messages between hosts, over real sockets.

use super::{
    fit::FitPoint,
    probe::{nanos, on_fresh_heap, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{host_name, team_name},
    target::{FRAME_OVERHEAD, NETWORK_BUDGET, REGION_PEERS},
};
use kws_peer::{
    ExchangeSettings, InboundMessage, MessageClass, OutboundMessage, PeerObserver, PeerSecret,
    run_exchange,
};
use kws_protocol::{LoanId, LoanMessage, PeerMessage};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::mpsc::{Receiver, Sender, channel},
    time::timeout,
};

const PEER_SIZES: [usize; 3] = [20, 60, REGION_PEERS];
/// Messages to each peer that are timed.
const ROUNDS: usize = 50;
/// Messages that wait in a ring.
const RING: usize = 16 * 1024;
/// Pings and answers that a host sends on one link a second: one of each in two seconds.
const PING_RATE: f64 = 1.0;
/// Both ends of a link are in the measuring process.
const LINK_ENDS: f64 = 2.0;
/// After this long without a message the rest is taken to be lost.
const PATIENCE: Duration = Duration::from_secs(5);

/// Takes no notice.
struct SilentObserver;

impl PeerObserver for SilentObserver {
    fn sent(&self, _class: MessageClass, _bytes: usize) {}
    fn received(&self, _class: MessageClass, _bytes: usize) {}
    fn dropped(&self, _class: MessageClass) {}
    fn link_lost(&self, _reason: &str) {}
}

/// Measures the role, for a host that sends `messages` a second.
pub fn measure(messages: f64) -> RoleReport {
    let costs = PEER_SIZES.map(|peers| (peers, on_fresh_heap(move || link_cost(peers))));
    let slope = |what, unit, value: fn(&LinkCost) -> f64| {
        let points = costs.iter();
        let points = points.map(|(peers, cost)| FitPoint::new(*peers, value(cost)));
        let target = REGION_PEERS as f64;
        MeasuredSlope::new(what, unit, "peers", points.collect(), target)
    };
    let held = slope("links held", "MB", |cost| cost.held / 1e6);
    let message = slope("send one message and take one", "us", |cost| {
        cost.message / 1e3
    });
    let pings = REGION_PEERS as f64 * PING_RATE;
    let network = pings * FRAME_OVERHEAD;
    let lines = vec![BudgetLine {
        what: "pings alone, with a link to every peer of the region",
        value: network,
        budget: NETWORK_BUDGET,
        unit: "B/s",
    }];
    RoleReport {
        role: "Membership and links",
        cost: RoleCost {
            core: message.at_target() * (messages + pings) / 1e6,
            memory: held.at_target() * 1e6,
            network,
            messages: pings,
        },
        slopes: vec![held, message],
        lines,
    }
}

/// What links cost one of their ends.
struct LinkCost {
    held: f64,
    message: f64,
}

fn link_cost(peers: usize) -> LinkCost {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(time_links(peers))
}

async fn time_links(peers: usize) -> LinkCost {
    let (inbound, mut received) = channel(RING);
    let mut addresses = Vec::new();
    let mut kept = Vec::new();
    for peer in 1..=peers {
        let (sender, address) = start_exchange(peer, inbound.clone()).await;
        kept.push(sender);
        addresses.push(address);
    }
    let (hub, _) = start_exchange(0, inbound).await;
    let before = resident();
    send_round(&hub, &addresses).await;
    let opened = take_all(&mut received, peers).await;
    assert_eq!(opened, peers, "a link did not open");
    let held = (resident() - before) / LINK_ENDS;
    let start = Instant::now();
    let mut taken = 0;
    for _ in 0..ROUNDS {
        send_round(&hub, &addresses).await;
        taken += take_all(&mut received, peers).await;
    }
    let message = nanos(start.elapsed()) / taken.max(1) as f64;
    LinkCost { held, message }
}

async fn start_exchange(
    host: usize,
    inbound: Sender<InboundMessage>,
) -> (Sender<OutboundMessage>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, outbound) = channel(RING);
    let settings = ExchangeSettings {
        host: host_name(host),
        secret: PeerSecret::new(b"a secret for measuring").expect("long enough"),
    };
    let observer = Arc::new(SilentObserver);
    tokio::spawn(run_exchange(
        settings, listener, outbound, inbound, observer,
    ));
    (sender, address)
}

async fn send_round(hub: &Sender<OutboundMessage>, addresses: &[SocketAddr]) {
    for (index, address) in addresses.iter().enumerate() {
        let message = PeerMessage::Loan(LoanMessage::Borrow {
            id: LoanId(index as u64),
            team: team_name(index),
            tokens: 1.0,
        });
        let outbound = OutboundMessage {
            to: host_name(index + 1),
            address: Some(*address),
            message,
        };
        hub.send(outbound).await.expect("the exchange runs");
    }
}

async fn take_all(received: &mut Receiver<InboundMessage>, wanted: usize) -> usize {
    let mut taken = 0;
    while taken < wanted {
        match timeout(PATIENCE, received.recv()).await {
            Ok(Some(_)) => taken += 1,
            _ => return taken,
        }
    }
    taken
}
