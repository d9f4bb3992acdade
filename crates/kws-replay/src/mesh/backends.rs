//! The servers, which write their entries at each heartbeat.

use super::{
    ENTRY_RETURN, HEARTBEAT,
    store::OrderStore,
    values::{LifeId, Registration},
};
use rand::{RngExt, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// The shortest and longest time between the report that a server drains and its end.
const DRAINING_MS: std::ops::Range<u64> = 2_500..6_000;

/// That a server drains or has left, as confirmed by the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmedLeave {
    pub(super) at: Instant,
    /// Whether the store was stable then.
    pub(super) was_stable: bool,
}

/// What is known of a server from one start on.
#[derive(Clone, Debug, Default)]
pub(super) struct LifeRecord {
    /// Whether it runs and is in service.
    pub(super) in_service: bool,
    /// When the store last confirmed the write of its entry in service.
    pub(super) written: Option<Instant>,
    pub(super) left: Option<ConfirmedLeave>,
    /// When the store confirmed that the server has started again.
    pub(super) replaced: Option<Instant>,
    /// Since when the store hasn't held it in service.
    pub(super) absent_since: Option<Instant>,
}

struct Backend {
    started_at_ms: u64,
    address: SocketAddr,
    in_service: bool,
    next_heartbeat: Instant,
    ends: Option<Instant>,
}

pub(super) struct Backends {
    running: BTreeMap<String, Backend>,
    lives: BTreeMap<LifeId, LifeRecord>,
    starts: u64,
}

impl Backends {
    pub(super) fn new() -> Self {
        Self {
            running: BTreeMap::new(),
            lives: BTreeMap::new(),
            starts: 0,
        }
    }

    pub(super) fn lives(&self) -> &BTreeMap<LifeId, LifeRecord> {
        &self.lives
    }

    /// The ids of the servers in service.
    pub(super) fn in_service(&self) -> Vec<String> {
        let running = self.running.iter().filter(|(_, server)| server.in_service);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// The ids of the servers that have ended.
    pub(super) fn ended(&self) -> Vec<String> {
        let ids: BTreeSet<&String> = self.lives.keys().map(|(id, _)| id).collect();
        let ended = ids.into_iter().filter(|id| !self.running.contains_key(*id));
        ended.cloned().collect()
    }

    /// Starts a server, again if the id was used before; its entry is written at once.
    pub(super) fn start(&mut self, id: &str, now: Instant) {
        self.end(id);
        self.starts += 1;
        let started_at_ms = 1_000 + 10 * self.starts;
        let address = SocketAddr::from(([10, 1, 0, self.starts as u8], 80));
        let server = Backend {
            started_at_ms,
            address,
            in_service: true,
            next_heartbeat: now,
            ends: None,
        };
        let life = LifeRecord {
            in_service: true,
            ..LifeRecord::default()
        };
        self.running.insert(id.to_owned(), server);
        self.lives.insert((id.to_owned(), started_at_ms), life);
    }

    /// Ends a server without a word.
    pub(super) fn end(&mut self, id: &str) {
        if let Some(server) = self.running.remove(id) {
            let life = self.lives.get_mut(&(id.to_owned(), server.started_at_ms));
            life.expect("a server that was started").in_service = false;
        }
    }

    /// The server reports that it drains, at once or at the next heartbeat that reaches the store.
    pub(super) fn drain(&mut self, id: &str, rng: &mut StdRng, now: Instant) {
        let draining = Duration::from_millis(rng.random_range(DRAINING_MS));
        if let Some(server) = self.running.get_mut(id) {
            server.in_service = false;
            server.next_heartbeat = now;
            server.ends = Some(now + draining);
            let life = self.lives.get_mut(&(id.to_owned(), server.started_at_ms));
            life.expect("a server that was started").in_service = false;
        }
    }

    /// Ends a server and removes its entry.
    pub(super) fn leave(&mut self, id: &str, store: &mut OrderStore, now: Instant) {
        let Some(server) = self.running.get(id) else {
            return;
        };
        let life = (id.to_owned(), server.started_at_ms);
        self.end(id);
        if store.is_away() {
            return;
        }
        store.remove(id, now);
        self.confirm_leave(&life, store, now);
    }

    fn confirm_leave(&mut self, life: &LifeId, store: &OrderStore, now: Instant) {
        let leave = ConfirmedLeave {
            at: now,
            was_stable: store.is_stable(now),
        };
        let life = self.lives.get_mut(life).expect("a server that was started");
        life.left.get_or_insert(leave);
    }

    /// The store is back: all servers write their entries soon.
    pub(super) fn handle_return(&mut self, rng: &mut StdRng, now: Instant) {
        for server in self.running.values_mut() {
            let delay = rng.random_range(50..=ENTRY_RETURN.as_millis() as u64 - 50);
            server.next_heartbeat = now + Duration::from_millis(delay);
        }
    }

    /// Sends due heartbeats and ends servers that have drained. Returns the ids of the entries that were
    /// written and of the servers that ended.
    pub(super) fn tick(&mut self, store: &mut OrderStore, now: Instant) -> Vec<String> {
        let mut notes = Vec::new();
        let due = self
            .running
            .iter()
            .filter(|(_, server)| now >= server.next_heartbeat);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            notes.extend(self.send_heartbeat(&id, store, now));
        }
        let ending = self.running.iter();
        let ending = ending.filter(|(_, server)| server.ends.is_some_and(|at| now >= at));
        let ending: Vec<String> = ending.map(|(id, _)| id.clone()).collect();
        for id in ending {
            notes.push(format!("{id} has drained and ends"));
            self.leave(&id, store, now);
        }
        notes
    }

    fn send_heartbeat(&mut self, id: &str, store: &mut OrderStore, now: Instant) -> Option<String> {
        let server = self.running.get_mut(id)?;
        server.next_heartbeat = now + HEARTBEAT;
        if store.is_away() {
            return None;
        }
        let entry = Registration {
            address: server.address,
            started_at_ms: server.started_at_ms,
            in_service: server.in_service,
        };
        let life = (id.to_owned(), server.started_at_ms);
        if !store.register(id, &entry, now) {
            return None;
        }
        if entry.in_service {
            let record = self
                .lives
                .get_mut(&life)
                .expect("a server that was started");
            record.written = Some(now);
        } else {
            self.confirm_leave(&life, store, now);
        }
        for ((other, started), record) in &mut self.lives {
            if other == id && *started < life.1 {
                record.replaced.get_or_insert(now);
            }
        }
        Some(format!("{id}: {entry}, revision {}", store.revision()))
    }

    /// Records which servers the store holds in service; to be called when its values may have changed.
    pub(super) fn record_held(&mut self, store: &OrderStore, now: Instant) {
        for (life, record) in &mut self.lives {
            if store.serves(life) {
                record.absent_since = None;
            } else {
                record.absent_since.get_or_insert(now);
            }
        }
    }
}
