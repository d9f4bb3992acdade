//! Schedules the requests of a whole region onto the backend servers of a service. One host does
//! this for each service, so that slots are counted exactly, there is a single queue, and all
//! failures are weighed together. `docs/PLATFORM.md` describes how that host is selected.

mod evidence;
mod failure_reports;
mod pool;
mod queue_estimate;
mod server;
mod slot_queue;
mod table;

pub use evidence::ServerHealth;
use kws_protocol::{
    CenterName, FleetSettings, HostName, RefusalReason, RegionName, ServerLoad, ServerName,
    ServiceName, SlotOutcome, TeamName, TryKind,
};
use pool::ServicePool;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// A request for a slot on a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// Identifies the request; never reused.
    pub key: u64,
    /// The service to send it to.
    pub service: ServiceName,
    /// The data centre of the host that will send the request.
    pub center: CenterName,
    /// The team that sent the request; empty on routes without authentication.
    pub team: TeamName,
    /// The team's share in the queue relative to other teams, above 0.
    pub weight: f64,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// When the response must be complete.
    pub deadline: Instant,
    /// When a response stops being of full use to the caller; `None` if unknown.
    pub objective: Option<Instant>,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Expected size of request and response together, in bytes.
    pub bytes: u64,
    /// Share of the route's latest requests on the sending host that were not served, between 0 and
    /// 1. The route may also lead to other services.
    pub unserved_share: f64,
    /// Servers that earlier tries used; they are not selected again.
    pub excluded: Vec<ServerName>,
    /// What the try is for.
    pub kind: TryKind,
    /// Whether other hosts schedule onto the same servers at the same time. A free server is then
    /// drawn at random, so that not all hosts select the one last reported as least loaded.
    pub uncoordinated: bool,
}

/// An action that the caller of [`Placer`] carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceAction {
    /// The request holds a slot until [`Placer::complete`].
    Grant {
        /// The request.
        key: u64,
        /// The selected server.
        server: ServerName,
        /// The address that the server listens on.
        address: SocketAddr,
        /// The server's health when it was selected.
        health: ServerHealth,
    },
    /// The request is refused and no longer tracked.
    Refuse {
        /// The request.
        key: u64,
        /// Why it is refused.
        reason: RefusalReason,
        /// How long the caller should wait before it tries again.
        retry_after: Option<Duration>,
        /// The state that the refusal is based on.
        context: RefusalContext,
    },
    /// A server was ejected or brought back.
    HealthChanged {
        /// The service.
        service: ServiceName,
        /// The server.
        server: ServerName,
        /// Whether the server is ejected from now on.
        ejected: bool,
        /// What caused the change.
        cause: &'static str,
    },
}

/// The state that a refusal is based on: the service's servers in the region, and its queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalContext {
    /// Queued requests.
    pub queued: usize,
    /// Free slots of the servers that the next requests may use.
    pub free_slots: u32,
    /// Slots of the servers that the next requests may use.
    pub slots: u32,
    /// Servers of the region that are present and not ejected.
    pub available_servers: usize,
    /// Servers of the region in the settings.
    pub servers: usize,
    /// The average service time.
    pub service_time: Duration,
}

/// The result of one try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlaceOutcome {
    /// How the try ended.
    pub outcome: SlotOutcome,
    /// Time from the start of the try to the response head, or to the end of the try.
    pub latency: Duration,
    /// Whether the server announced that it is draining.
    pub draining: bool,
}

/// A report that a try ended: at which server, and which host reports it.
#[derive(Clone, Copy, Debug)]
pub struct PlaceReport<'a> {
    /// The host that reports the end.
    pub reporter: &'a HostName,
    /// The server that the request was sent to; `None` if it was not sent.
    pub server: Option<&'a ServerName>,
    /// The result of the try.
    pub outcome: PlaceOutcome,
}

/// Schedules the requests of one region onto the servers of its services.
#[derive(Clone, Debug)]
pub struct Placer {
    region: RegionName,
    seed: u64,
    pools: BTreeMap<ServiceName, ServicePool>,
    /// The service of each queued or running request.
    service_by_key: HashMap<u64, ServiceName>,
}

impl Placer {
    /// Creates a placer without services. `seed` must differ between hosts.
    pub fn new(region: RegionName, seed: u64) -> Self {
        Self {
            region,
            seed,
            pools: BTreeMap::new(),
            service_by_key: HashMap::new(),
        }
    }

    /// Applies newer settings. Requests queued for a removed service are refused.
    pub fn apply_settings(&mut self, settings: &FleetSettings, now: Instant) -> Vec<PlaceAction> {
        for (name, service) in &settings.services {
            let region = &self.region;
            self.pools
                .entry(name.clone())
                .or_insert_with(|| ServicePool::new(name, region.clone(), self.seed, now))
                .apply_settings(service, now);
        }
        let mut actions = Vec::new();
        self.pools.retain(|name, pool| {
            let kept = settings.services.contains_key(name);
            if !kept {
                actions.extend(pool.refuse_all(now));
            }
            kept
        });
        for name in settings.services.keys() {
            actions.extend(self.place_queued(name, now));
        }
        self.remove_refused(&actions);
        actions
    }

    /// Requests a slot. A request whose key is already known keeps its place in the queue.
    pub fn request_slot(&mut self, request: PlaceRequest, now: Instant) -> Vec<PlaceAction> {
        let key = request.key;
        if self.service_by_key.contains_key(&key) {
            return Vec::new();
        }
        let service = request.service.clone();
        let Some(pool) = self.pools.get_mut(&service) else {
            return vec![PlaceAction::Refuse {
                key,
                reason: RefusalReason::NoServer,
                retry_after: None,
                context: RefusalContext::default(),
            }];
        };
        self.service_by_key.insert(key, service.clone());
        let mut actions = pool.enqueue(request, now);
        actions.extend(pool.place_queued(now));
        self.remove_refused(&actions);
        actions
    }

    /// The service of a queued or running request.
    pub fn service_of(&self, key: u64) -> Option<&ServiceName> {
        self.service_by_key.get(&key)
    }

    /// Whether the request is queued.
    pub fn is_queued(&self, key: u64) -> bool {
        let pool = self
            .service_by_key
            .get(&key)
            .and_then(|name| self.pools.get(name));
        pool.is_some_and(|pool| pool.is_queued(key))
    }

    /// Ends a queued or running request. For a request that another host placed, the result of the
    /// try is still counted for the server.
    pub fn complete(
        &mut self,
        key: u64,
        service: &ServiceName,
        report: PlaceReport<'_>,
        now: Instant,
    ) -> Vec<PlaceAction> {
        self.finish(key, service, Some(report), now)
    }

    /// Notes that the sending host confirmed that a request is still running. A confirmed request
    /// that is overdue counts as a failure of its server. An unconfirmed one doesn't, since the
    /// message that reports its end may have been lost.
    pub fn confirm_running(&mut self, key: u64, now: Instant) -> Vec<PlaceAction> {
        let pool = self
            .service_by_key
            .get(&key)
            .and_then(|name| self.pools.get_mut(name));
        let change = pool.and_then(|pool| pool.confirm_running(key, now));
        change.into_iter().collect()
    }

    /// Removes a request whose sending host is gone.
    pub fn cancel(&mut self, key: u64, now: Instant) -> Vec<PlaceAction> {
        let Some(service) = self.service_by_key.get(&key).cloned() else {
            return Vec::new();
        };
        self.finish(key, &service, None, now)
    }

    /// Removes a request from its pool and gives the freed slot to queued requests.
    fn finish(
        &mut self,
        key: u64,
        service: &ServiceName,
        report: Option<PlaceReport<'_>>,
        now: Instant,
    ) -> Vec<PlaceAction> {
        // The host that reports an end may no longer know the service of the request.
        let known = self.service_by_key.remove(&key);
        let service = known.as_ref().unwrap_or(service);
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let mut actions = pool.finish(key, report, now);
        actions.extend(pool.place_queued(now));
        self.remove_refused(&actions);
        actions
    }

    /// Applies the server loads that a host of the region `sender` reports for the servers that it
    /// places on.
    pub fn apply_loads(
        &mut self,
        service: &ServiceName,
        loads: &[ServerLoad],
        sender: &RegionName,
        now: Instant,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.apply_loads(loads, sender, now);
        }
    }

    /// The server loads of `service` that this host reports to others.
    pub fn loads(&self, service: &ServiceName, now: Instant) -> Vec<ServerLoad> {
        let pool = self.pools.get(service);
        pool.map_or(Vec::new(), |pool| pool.loads(now))
    }

    /// The servers of `service` that this host suspects of failing.
    pub fn suspects(&self, service: &ServiceName, now: Instant) -> Vec<ServerLoad> {
        let pool = self.pools.get(service);
        pool.map_or(Vec::new(), |pool| pool.suspects(now))
    }

    /// Handles timeouts. Call it about every 10 ms while requests are queued, and every 100 ms
    /// otherwise.
    pub fn tick(&mut self, now: Instant) -> Vec<PlaceAction> {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            actions.extend(pool.tick(now));
            actions.extend(pool.place_queued(now));
            actions.extend(pool.refuse_late(now));
        }
        self.remove_refused(&actions);
        actions
    }

    /// Number of queued requests over all services.
    pub fn queue_length(&self) -> usize {
        self.pools.values().map(ServicePool::queue_length).sum()
    }

    /// Number of queued requests by service.
    pub fn queue_lengths(&self) -> impl Iterator<Item = (&ServiceName, usize)> {
        let pools = self.pools.iter();
        pools.map(|(name, pool)| (name, pool.queue_length()))
    }

    /// Current health of every server of every service.
    pub fn server_health(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceName, &ServerName, ServerHealth)> {
        let pools = self.pools.iter();
        pools.flat_map(move |(name, pool)| {
            let servers = pool.server_health(now);
            servers.map(move |(server, health)| (name, server, health))
        })
    }

    /// Names of the servers of `service`.
    pub fn servers(&self, service: &ServiceName) -> BTreeSet<&ServerName> {
        let pool = self.pools.get(service);
        pool.into_iter()
            .flat_map(ServicePool::server_names)
            .collect()
    }

    fn place_queued(&mut self, service: &ServiceName, now: Instant) -> Vec<PlaceAction> {
        let pool = self.pools.get_mut(service);
        pool.map_or(Vec::new(), |pool| pool.place_queued(now))
    }

    fn remove_refused(&mut self, actions: &[PlaceAction]) {
        for action in actions {
            if let PlaceAction::Refuse { key, .. } = action {
                self.service_by_key.remove(key);
            }
        }
    }
}
