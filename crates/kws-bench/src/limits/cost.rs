//! What the ledger costs on one host of a large fleet.

use super::scenario::{FleetPlan, REGIONS};
use kws_limits::LimitsLedger;
use kws_protocol::{FreshnessSettings, HostName, LoanMessage, RegionName, TeamName, TreeRevision};
use std::{fs, hint::black_box, time::Duration};
use tokio::time::Instant;

const HOSTS: usize = 570;
const TEAMS: usize = 54_000;
const PAGE_BYTES: f64 = 4_096.0;

/// What was measured; times are of one call.
#[derive(Clone, Copy, Debug)]
pub struct LedgerCost {
    /// Taking a revision into use.
    pub adopt: Duration,
    /// The first request of a team.
    pub first_admit: Duration,
    /// A later request.
    pub admit: Duration,
    /// A request after a change of revision.
    pub changed_admit: Duration,
    /// A tick with no loan out.
    pub tick: Duration,
    /// Memory of a team with state, in bytes.
    pub team_bytes: f64,
}

/// Measures a ledger with every team active.
pub fn measure() -> LedgerCost {
    let names: Vec<TeamName> = (0..TEAMS)
        .map(|index| TeamName::new(&format!("team-{index}")))
        .collect();
    let plan = FleetPlan {
        freshness: FreshnessSettings {
            lease: Duration::from_secs(2),
            list_lag: Duration::from_secs(1),
            stale_region: Duration::from_mins(10),
            clock_drift_ppm: 200,
        },
        teams: names.iter().map(|name| (name.clone(), 2.0, 4.0)).collect(),
    };
    let hosts: Vec<(HostName, usize)> = (0..HOSTS)
        .map(|index| (HostName::new(&format!("host-{index}")), index % 2))
        .collect();
    let (first, second) = (
        plan.snapshot(1, &hosts, [0.5, 0.5]),
        plan.snapshot(2, &hosts, [0.5, 0.5]),
    );
    let born = Instant::now();
    let own = RegionName::new(REGIONS[0]);
    let mut ledger = LimitsLedger::new(hosts[0].0.clone(), own, born);
    ledger.set_lease_end(born + Duration::from_hours(1), born);
    let adopt = time(1, || ledger.adopt(&first, born));
    for region in REGIONS {
        let (region, oldest) = (RegionName::new(region), TreeRevision::first(1));
        let message = LoanMessage::Retained { region, oldest };
        ledger.receive(&hosts[2].0, &message, born);
    }
    let mut at = born + Duration::from_mins(1);
    let mut round = |ledger: &mut LimitsLedger| {
        at += Duration::from_mins(1);
        let spent = time(TEAMS, || {
            for name in &names {
                black_box(ledger.admit(name, at));
            }
        });
        ledger.take_actions();
        ledger.tick(at + Duration::from_secs(2));
        ledger.take_actions();
        spent
    };
    let before = resident_bytes();
    let first_admit = round(&mut ledger);
    let team_bytes = (resident_bytes() - before) / ledger.active_teams() as f64;
    let admit = round(&mut ledger);
    ledger.adopt(&second, born + Duration::from_mins(4));
    let changed_admit = round(&mut ledger);
    let later = born + Duration::from_mins(10);
    ledger.tick(later);
    LedgerCost {
        adopt,
        first_admit,
        admit,
        changed_admit,
        tick: time(1, || ledger.tick(later)),
        team_bytes,
    }
}

/// The real time of one of `calls` calls.
fn time(calls: usize, work: impl FnOnce()) -> Duration {
    let start = std::time::Instant::now();
    work();
    start.elapsed() / u32::try_from(calls).unwrap_or(u32::MAX)
}

fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
