//! Faults in random series that overlap, drawn from a seed.

use crate::{
    fleet::{GRACE, SoakFleet},
    relay::RelayMode,
    store::StoreMode,
};
use kws_standin::backend::{BackendFault, BackendScript, RefusalCopies};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::{Instant, sleep_until};

/// The pause between the starts of two faults, at the most, in milliseconds.
const PAUSE_MS: u64 = 600;
/// How long a fault lasts, at the most, in milliseconds.
const LENGTH_MS: u64 = 2_500;
/// How long the old entry of a server that has started again stays at most.
const OLD_ENTRY_TIME: Duration = Duration::from_secs(2);
/// Number of fault kinds that are drawn by default.
const DEFAULT_KINDS: i32 = 17;
/// Number of fault kinds with servers that start again.
const KINDS_WITH_REBIRTHS: i32 = 22;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// A host stands still.
    Freeze(usize),
    /// A host is killed.
    Kill(usize),
    /// A host is asked to stop.
    Stop(usize),
    /// A host is told that its settings changed.
    HangUp(usize),
    /// A host's way to the store is disturbed.
    StoreWay(usize, RelayMode),
    /// A host's connections to the store are lost.
    StoreLost(usize),
    /// The store misbehaves for all.
    Store(StoreMode),
    /// The store forgets its history, and a server left meanwhile.
    Compact(usize),
    /// A server's answers are broken.
    Server(usize, BackendFault),
    /// A server fails every request.
    Failing(usize),
    /// A server is slow.
    Slow(usize),
    /// The way to a server is disturbed.
    ServerWay(usize, RelayMode),
    /// The connections to a server are lost without a word.
    ServerForgets(usize),
    /// The connections to a server are reset.
    ServerResets(usize),
    /// A server drains, leaves, and comes back.
    Leave(usize),
    /// The operator publishes.
    Publish,
    /// A server starts again under a new id at its old address, and refuses and answers with this
    /// fault. Its old entry stays for a while.
    Reborn(usize, BackendFault),
}

/// A fault that lasts.
#[derive(Clone, Copy, Debug)]
struct RunningFault {
    fault: SoakFault,
    ends: Instant,
}

/// What the faults did to each host, for judging its answers.
#[derive(Clone, Copy, Debug)]
pub struct HostTrouble {
    /// From when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// Brings about faults.
#[derive(Debug)]
pub struct FaultDriver {
    rng: SmallRng,
    /// Number of fault kinds that are drawn.
    kinds: i32,
    running: Vec<RunningFault>,
    /// Times in which hosts stood still, were killed or asked to stop.
    pub troubles: BTreeMap<usize, Vec<HostTrouble>>,
    /// Hosts that were asked to stop, and when they must have ended.
    stopping: BTreeMap<usize, Instant>,
    /// What was seen that must not be.
    pub findings: Vec<String>,
    /// What was done, in order.
    pub story: Vec<String>,
}

impl FaultDriver {
    /// A driver whose faults follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            kinds: DEFAULT_KINDS,
            running: Vec::new(),
            troubles: BTreeMap::new(),
            stopping: BTreeMap::new(),
            findings: Vec::new(),
            story: Vec::new(),
        }
    }

    /// A driver that also starts servers again under new ids, and lets them repeat their refusals.
    pub fn with_rebirths(seed: u64) -> Self {
        Self {
            kinds: KINDS_WITH_REBIRTHS,
            ..Self::new(seed)
        }
    }

    /// Brings about faults for `time`, and mends all of them at the end.
    pub async fn run(&mut self, fleet: &mut SoakFleet, time: Duration) {
        let start = Instant::now();
        let mut next = start;
        while start.elapsed() < time {
            let now = Instant::now();
            if now >= next {
                let fault = self.draw(fleet);
                let length = Duration::from_millis(self.rng.random_range(100..LENGTH_MS));
                self.begin(fleet, fault, now + length).await;
                self.story.push(format!("{:?} {fault:?}", start.elapsed()));
                next = now + Duration::from_millis(self.rng.random_range(20..PAUSE_MS));
            }
            self.mend(fleet, now);
            self.watch_hosts(fleet, now);
            sleep_until(now + Duration::from_millis(20)).await;
        }
        let end = Instant::now();
        for running in std::mem::take(&mut self.running) {
            self.end(fleet, running.fault, end);
        }
        while !self.stopping.is_empty() {
            let now = Instant::now();
            self.watch_hosts(fleet, now);
            sleep_until(now + Duration::from_millis(20)).await;
        }
    }

    fn draw(&mut self, fleet: &SoakFleet) -> SoakFault {
        let host = self.rng.random_range(0..fleet.hosts.len());
        // The first two servers stay well, so that something can always be served.
        let server = self.rng.random_range(2..fleet.servers.len());
        let mode = match self.rng.random_range(0..3) {
            0 => RelayMode::Silent,
            1 => RelayMode::OneWay,
            _ => RelayMode::Delayed(Duration::from_millis(self.rng.random_range(5..300))),
        };
        match self.rng.random_range(0..self.kinds) {
            0 => SoakFault::Freeze(host),
            1 => SoakFault::Kill(host),
            2 => SoakFault::Stop(host),
            3 => SoakFault::HangUp(host),
            4 => SoakFault::StoreWay(host, mode),
            5 => SoakFault::StoreLost(host),
            6 => SoakFault::Store(self.draw_store()),
            7 => SoakFault::Compact(server),
            8 | 9 => SoakFault::Server(server, self.draw_answer()),
            10 => SoakFault::Failing(server),
            11 => SoakFault::Slow(server),
            12 => SoakFault::ServerWay(server, mode),
            13 => SoakFault::ServerForgets(server),
            14 => SoakFault::ServerResets(server),
            15 => SoakFault::Leave(server),
            16 => SoakFault::Publish,
            17 => SoakFault::Server(server, self.draw_copies()),
            _ => SoakFault::Reborn(server, self.draw_copies()),
        }
    }

    fn draw_store(&mut self) -> StoreMode {
        match self.rng.random_range(0..4) {
            0 => StoreMode::Status(503),
            1 => StoreMode::Status(429),
            2 => StoreMode::Silent,
            _ => StoreMode::Slow(Duration::from_millis(self.rng.random_range(50..1_000))),
        }
    }

    fn draw_answer(&mut self) -> BackendFault {
        match self.rng.random_range(0..7) {
            0 => BackendFault::CutHead,
            1 => BackendFault::CutBody(20),
            2 => BackendFault::SilentHead,
            3 => BackendFault::SilentBody(20),
            4 => BackendFault::ExtraBytes,
            5 => BackendFault::RepeatedRefusal,
            _ => BackendFault::NotRun,
        }
    }

    fn draw_copies(&mut self) -> BackendFault {
        BackendFault::CopiedRefusals(RefusalCopies {
            shed_every: self.rng.random_range(0..4),
            idle_ms: self.rng.random_range(0..3) * 20,
        })
    }

    async fn begin(&mut self, fleet: &mut SoakFleet, fault: SoakFault, mut ends: Instant) {
        let now = Instant::now();
        match fault {
            SoakFault::Freeze(host) | SoakFault::Kill(host) | SoakFault::Stop(host)
                if self.stopping.contains_key(&host) || self.is_frozen(host) =>
            {
                return;
            }
            SoakFault::Freeze(host) => {
                fleet.hosts[host].signal("-STOP");
                self.note_trouble(host, now, ends);
            }
            SoakFault::Kill(host) => {
                self.note_trouble(host, now, now + Duration::from_secs(1));
                fleet.hosts[host].restart();
            }
            SoakFault::Stop(host) => {
                fleet.hosts[host].signal("-TERM");
                self.stopping.insert(host, now + GRACE);
            }
            SoakFault::HangUp(host) => fleet.hosts[host].signal("-HUP"),
            SoakFault::StoreWay(host, mode) => fleet.hosts[host].store_way.set_mode(mode),
            SoakFault::StoreLost(host) => fleet.hosts[host].store_way.forget(),
            SoakFault::Store(mode) => fleet.store.set_mode(mode),
            SoakFault::Compact(server) => fleet.compact(server),
            SoakFault::Server(server, fault) => {
                fleet.servers[server].set_script(script(fault));
            }
            SoakFault::Failing(server) => fleet.servers[server].set_script(BackendScript {
                status: 500,
                ..script(BackendFault::None)
            }),
            SoakFault::Slow(server) => fleet.servers[server].set_script(BackendScript {
                delay_ms: 700,
                ..script(BackendFault::None)
            }),
            SoakFault::ServerWay(server, mode) => fleet.servers[server].way.set_mode(mode),
            SoakFault::ServerForgets(server) => fleet.servers[server].way.forget(),
            SoakFault::ServerResets(server) => fleet.servers[server].way.reset(),
            SoakFault::Leave(server) => fleet.enter(server, "draining"),
            SoakFault::Publish => fleet.publish(),
            SoakFault::Reborn(server, fault) => {
                fleet.restart_server(server, script(fault)).await;
                ends = ends.min(now + OLD_ENTRY_TIME);
            }
        }
        self.running.push(RunningFault { fault, ends });
    }

    fn is_frozen(&self, host: usize) -> bool {
        let mut running = self.running.iter();
        running.any(|one| one.fault == SoakFault::Freeze(host))
    }

    fn note_trouble(&mut self, host: usize, from: Instant, until: Instant) {
        let troubles = self.troubles.entry(host).or_default();
        troubles.push(HostTrouble { from, until });
    }

    fn mend(&mut self, fleet: &mut SoakFleet, now: Instant) {
        let (over, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|one| now >= one.ends);
        self.running = running;
        for one in over {
            self.end(fleet, one.fault, now);
        }
    }

    fn end(&mut self, fleet: &mut SoakFleet, fault: SoakFault, now: Instant) {
        match fault {
            SoakFault::Freeze(host) => {
                fleet.hosts[host].signal("-CONT");
                self.note_trouble(host, now, now + Duration::from_millis(500));
            }
            SoakFault::StoreWay(host, _) => fleet.hosts[host].store_way.set_mode(RelayMode::Pass),
            SoakFault::Store(_) => fleet.store.set_mode(StoreMode::Up),
            SoakFault::Compact(server) | SoakFault::Leave(server) => fleet.enter(server, "ready"),
            SoakFault::Server(server, _) | SoakFault::Failing(server) | SoakFault::Slow(server) => {
                fleet.servers[server].set_script(script(BackendFault::None));
            }
            SoakFault::Reborn(server, _) => {
                fleet.expire_entry(server);
                fleet.servers[server].set_script(script(BackendFault::None));
            }
            SoakFault::ServerWay(server, _) => fleet.servers[server].way.set_mode(RelayMode::Pass),
            _ => {}
        }
    }

    /// Starts hosts again that have stopped, and notes those that stop late or end by themselves.
    fn watch_hosts(&mut self, fleet: &mut SoakFleet, now: Instant) {
        for (number, host) in fleet.hosts.iter_mut().enumerate() {
            let limit = self.stopping.get(&number).copied();
            match (host.ended(), limit) {
                (None, Some(limit)) if now > limit => {
                    self.findings
                        .push(format!("host {number} didn't stop within its grace"));
                }
                (None, _) => continue,
                (Some(status), Some(_)) if status.success() => {}
                (Some(status), _) => {
                    self.findings
                        .push(format!("host {number} ended with {status}"));
                }
            }
            self.stopping.remove(&number);
            let troubles = self.troubles.entry(number).or_default();
            troubles.push(HostTrouble {
                from: now,
                until: now + Duration::from_secs(1),
            });
            host.restart();
        }
    }
}

/// A script whose refusals say "not run" in the form that the platform's servers use.
pub fn script(fault: BackendFault) -> BackendScript {
    let promise = BTreeMap::from([("Not-Executed".to_owned(), "1".to_owned())]);
    let (headers, refusal_headers) = match fault {
        BackendFault::NotRun | BackendFault::RepeatedRefusal => (promise, BTreeMap::new()),
        _ => (BTreeMap::new(), promise),
    };
    BackendScript {
        fault,
        headers,
        refusal_headers,
        delay_ms: 5,
        id_header: "request-id".to_owned(),
        instance_header: "expected-instance".to_owned(),
        ..BackendScript::default()
    }
}
