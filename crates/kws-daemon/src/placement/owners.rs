//! Which host places the requests of a service.

use super::PlacementThread;
use kws_membership::SharedTask;
use kws_protocol::{FleetSettings, HostName, RegionName, ServerName, ServiceName};
use std::collections::HashMap;
use tokio::time::Instant;

/// Processor time that placement takes per slot in use, in millicores: three requests per second at
/// 0.5 ms each (`docs/CAPACITY.md`), doubled to leave the same for the host's own callers.
const SLOT_MILLICORES: u32 = 3;

impl PlacementThread {
    /// Owner of `service` in this region; this host if no other is known.
    pub(super) fn owner(&mut self, service: &ServiceName, now: Instant) -> HostName {
        let region = self.shared.identity.region.clone();
        let owner = self.owner_in(&region, service, now);
        owner.unwrap_or_else(|| self.shared.identity.host.clone())
    }

    /// Owner of `service` in `region`.
    pub(super) fn owner_in(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        now: Instant,
    ) -> Option<HostName> {
        let task = SharedTask {
            name: service.as_str(),
            millicores: self.needed_millicores(region, service),
        };
        self.owners.owner(region, task, now)
    }

    /// Processor share that the owner of `service` in `region` needs, in thousandths of a processor.
    pub(super) fn needed_millicores(&self, region: &RegionName, service: &ServiceName) -> u32 {
        let needed = self.needed.get(service);
        let needed = needed.and_then(|regions| regions.get(region));
        needed.copied().unwrap_or_default()
    }

    /// Owner of `service` in the region of `server`, if that is another region.
    pub(super) fn remote_owner(
        &mut self,
        service: &ServiceName,
        server: &ServerName,
        now: Instant,
    ) -> Option<HostName> {
        let snapshot = self.snapshot.as_ref()?;
        let server = snapshot
            .settings
            .services
            .get(service)?
            .servers
            .get(server)?;
        let region = server.region.clone();
        if region == self.shared.identity.region {
            return None;
        }
        self.owner_in(&region, service, now)
    }
}

/// Processor share that the owner of each service in each region needs, in thousandths of a
/// processor: a service with many slots needs a host with many processors.
pub(super) fn owner_millicores(
    settings: &FleetSettings,
) -> HashMap<ServiceName, HashMap<RegionName, u32>> {
    let services = settings.services.iter();
    let needs = services.map(|(name, service)| {
        let mut needed: HashMap<RegionName, u32> = HashMap::new();
        for server in service.servers.values() {
            let millicores = needed.entry(server.region.clone()).or_default();
            *millicores = millicores.saturating_add(server.slots.saturating_mul(SLOT_MILLICORES));
        }
        (name.clone(), needed)
    });
    needs.collect()
}
