//! Selection of the hosts that may be asked for a loan.

use super::LimitsLedger;
use crate::{
    account::{LenderList, LoanSource},
    placement::{region_holders, region_weight},
};
use kws_protocol::{FleetSnapshot, RegionName, TeamName, TeamSettings, rendezvous_score};
use std::sync::Arc;

impl LimitsLedger {
    /// The holders in the regions that `wanted` selects; recomputed after a change of revision.
    pub(super) fn sources(
        &self,
        team: &TeamName,
        list: &mut LenderList,
        wanted: impl Fn(&RegionName) -> bool,
    ) -> Arc<[LoanSource]> {
        let revision = self.window.newest_revision();
        let newest = self.window.newest();
        let settings = newest.and_then(|newest| newest.settings.teams.get(team));
        if let (Some(newest), Some(settings)) = (newest, settings)
            && list.revision != revision
        {
            let regions = newest
                .settings
                .regions
                .keys()
                .filter(|region| wanted(region));
            list.sources = regions
                .flat_map(|region| self.region_sources(newest, settings, region))
                .collect();
            list.revision = revision;
        }
        Arc::clone(&list.sources)
    }

    fn region_sources(
        &self,
        newest: &FleetSnapshot,
        settings: &TeamSettings,
        region: &RegionName,
    ) -> Vec<LoanSource> {
        let holders = region_holders(&self.policy, newest, region, &settings.name);
        let in_region = region == &self.region;
        let share = region_weight(newest, region) / holders.len().max(1) as f64;
        let mut sources: Vec<LoanSource> = holders
            .into_iter()
            .filter(|holder| share > 0.0 && holder != &self.host)
            .map(|lender| LoanSource {
                lender,
                in_region,
                burst: settings.burst * share,
                cooldown: self
                    .policy
                    .lender_cooldown(settings.rate * share, in_region),
            })
            .collect();
        // Each borrower has an order of its own, so that not all of them ask the same holder first.
        sources.sort_by_key(|source| rendezvous_score(self.host.as_str(), source.lender.as_str()));
        sources
    }
}
