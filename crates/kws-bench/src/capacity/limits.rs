//! Limits ledger and loans.

use super::{
    fit::FitPoint,
    probe::{best_of, nanos_each, on_fresh_heap, resident},
    report::{BudgetLine, MeasuredSlope, RoleCost, RoleReport},
    synthetic::{TreeSize, host_name, region_name, snapshot, team_name},
    target::{
        FRAME_OVERHEAD, HOST_REQUESTS, HOSTS, NETWORK_BUDGET, REGION_HOSTS, REGIONS, REVISION_RATE,
        ROUTES, SERVICES, TEAMS, UPSTREAMS,
    },
};
use crate::limits::scenario::{ArrivalKind, FaultKind, RuleKind, SCORED_SECONDS, TableRun};
use kws_limits::{AdmitDecision, LedgerAction, LimitsLedger, LimitsPolicy, region_holders};
use kws_protocol::{FleetSnapshot, LoanId, LoanMessage, PeerMessage, encode_message};
use std::{sync::Arc, thread, time::Duration};
use tokio::time::Instant;

const ACTIVE_SIZES: [usize; 3] = [2_000, 20_000, TEAMS];
const REGION_SIZES: [usize; 3] = [20, 60, REGION_HOSTS];
/// Fleets of the runs in virtual time, which grow with the square of the hosts.
const FLEET_SIZES: [usize; 3] = [20, 40, 80];
const BUSY_SIZES: [usize; 3] = [10, 30, 100];
const FIRST_TOUCHES: usize = 2_000;
const TICKS: usize = 200;
/// Ticks of the ledger in a second.
const TICK_RATE: f64 = 1_000.0;
/// Seconds between two sweeps.
const SWEEP_SECONDS: f64 = 5.0;
/// How long a request keeps a team in the ledger, in seconds: two sweeps.
const ACTIVE_SECONDS: f64 = 2.0 * SWEEP_SECONDS;
/// How long a loan keeps a team busy: until an idle loan is returned.
const BUSY_SECONDS: f64 = 0.2;
/// Revisions that the window keeps for buckets that were idle: two minutes of them, 16 at most.
const KEPT_REVISIONS: f64 = 16.0;
/// Seconds for which the window keeps revisions that left it.
const KEPT_SECONDS: f64 = 120.0;
/// Time added to a request for 99 in 100, in milliseconds.
const ADDED_BUDGET: f64 = 1.1;
/// The lease of the measured hosts.
const LEASE: Duration = Duration::from_hours(1);

/// Measures both roles.
pub fn measure() -> [RoleReport; 2] {
    [ledger(), loans()]
}

fn size(hosts: usize, teams: usize) -> TreeSize {
    TreeSize {
        hosts,
        services: 1,
        upstreams: UPSTREAMS / SERVICES,
        routes: 1,
        teams,
    }
}

/// A ledger that may use its shares of the tree.
fn settled(tree: &Arc<FleetSnapshot>, now: Instant) -> LimitsLedger {
    let mut ledger = LimitsLedger::new(host_name(0), region_name(0), now);
    ledger.adopt(tree, now);
    ledger.set_lease_end(now + LEASE, now);
    for region in 0..REGIONS {
        let retained = LoanMessage::Retained {
            region: region_name(region),
            oldest: tree.revision,
        };
        ledger.receive(&host_name(REGIONS), &retained, now);
    }
    ledger.tick(now);
    assert!(ledger.is_synced(), "the ledger still waits for revisions");
    ledger
}

/// Teams of which the host holds a share, for as many as are wanted.
fn own_teams(tree: &FleetSnapshot) -> usize {
    let policy = LimitsPolicy::default();
    let own = host_name(0);
    let region = region_name(0);
    (0..FIRST_TOUCHES)
        .filter(|team| region_holders(&policy, tree, &region, &team_name(*team)).contains(&own))
        .count()
}

fn ledger() -> RoleReport {
    let tree = snapshot(size(HOSTS, TEAMS), 1);
    let [again, held, sweep] = on_fresh_heap(move || active_slopes(&tree));
    let first = first_touch();
    let adopt = adopt_slope();
    let kept = kept_tree();
    let busy = busy_ticks();
    let revisions = (REVISION_RATE * KEPT_SECONDS).min(KEPT_REVISIONS);
    let active = HOST_REQUESTS * ACTIVE_SECONDS;
    // First requests are counted with the loans, as if each request were one.
    let sweeps = sweep.at_target() * 1e6 * active / TEAMS as f64 / SWEEP_SECONDS;
    let nanos = again.at_target() * HOST_REQUESTS + busy.at_target() * TICK_RATE + sweeps;
    let lines = vec![BudgetLine {
        what: "memory of the revisions that the window keeps",
        value: kept.at_target() * revisions,
        budget: 64.0,
        unit: "MB",
    }];
    let memory = held.at_target() * active / TEAMS as f64 + kept.at_target() * 1e6 * revisions;
    RoleReport {
        role: "Limits ledger",
        slopes: vec![again, first, adopt, held, sweep, busy, kept],
        cost: RoleCost {
            core: nanos / 1e9,
            memory,
            ..RoleCost::default()
        },
        lines,
    }
}

fn active_slopes(tree: &Arc<FleetSnapshot>) -> [MeasuredSlope; 3] {
    let start = Instant::now();
    let mut ledger = settled(tree, start);
    let before = resident();
    let mut again = Vec::new();
    let mut held = Vec::new();
    let mut sweep = Vec::new();
    let mut touched = 0;
    for active in ACTIVE_SIZES {
        for team in touched..active {
            ledger.admit(&team_name(team), start);
            ledger.take_actions();
        }
        touched = active;
        held.push(FitPoint::new(active, resident() - before));
        // Long past every wait and loan, so that the accounts are idle again.
        let later = Instant::now() + Duration::from_secs(30);
        ledger.tick(later);
        ledger.take_actions();
        let admit = |call: usize| {
            let decision = ledger.admit(&team_name(call * 7919 % active), later);
            ledger.take_actions();
            decision
        };
        again.push(FitPoint::new(active, nanos_each(FIRST_TOUCHES, admit)));
        let sweeping = later + Duration::from_secs(30);
        sweep.push(FitPoint::new(
            active,
            nanos_each(1, |_| ledger.tick(sweeping)) / 1e6,
        ));
        ledger.take_actions();
        // The sweep drops idle full accounts; those are touched anew for the next size.
        touched = touched.min(ledger.active_teams());
    }
    let slope =
        |what, unit, points| MeasuredSlope::new(what, unit, "active teams", points, TEAMS as f64);
    [
        slope("a later request of a team", "ns", again),
        slope("accounts held", "bytes", held),
        slope("sweep of idle accounts, each 5 s", "ms", sweep),
    ]
}

fn first_touch() -> MeasuredSlope {
    let points = REGION_SIZES.map(|hosts| {
        let tree = snapshot(size(hosts * REGIONS, FIRST_TOUCHES), 1);
        let time = best_of(3, || touch_all(&tree)) - best_of(3, || settled(&tree, Instant::now()));
        FitPoint::new(hosts, time / FIRST_TOUCHES as f64)
    });
    MeasuredSlope::new(
        "first request of a team, also after a revision",
        "ns",
        "hosts of the region",
        points.into(),
        REGION_HOSTS as f64,
    )
}

fn touch_all(tree: &Arc<FleetSnapshot>) -> usize {
    let now = Instant::now();
    let mut ledger = settled(tree, now);
    for team in 0..FIRST_TOUCHES {
        ledger.admit(&team_name(team), now);
    }
    ledger.take_actions().len()
}

fn adopt_slope() -> MeasuredSlope {
    let points = ACTIVE_SIZES.map(|teams| {
        let first = snapshot(size(HOSTS, teams), 1);
        let second = snapshot(size(HOSTS, teams), 2);
        let adopt = || {
            let mut ledger = settled(&first, Instant::now());
            nanos_each(1, |_| ledger.adopt(&second, Instant::now()))
        };
        let nanos = (0..3).map(|_| adopt()).fold(f64::INFINITY, f64::min);
        FitPoint::new(teams, nanos / 1e3)
    });
    MeasuredSlope::new(
        "adopt a revision",
        "us",
        "teams",
        points.into(),
        TEAMS as f64,
    )
}

/// What one more revision holds while it is kept.
fn kept_tree() -> MeasuredSlope {
    let points = ACTIVE_SIZES.map(|teams| {
        let whole = TreeSize {
            services: SERVICES,
            upstreams: UPSTREAMS,
            routes: ROUTES,
            ..size(HOSTS, teams)
        };
        let tree = snapshot(whole, 1);
        let held = on_fresh_heap(move || {
            let before = resident();
            let copy = FleetSnapshot::clone(&tree);
            let held = resident() - before;
            drop(copy);
            held
        });
        FitPoint::new(teams, held / 1e6)
    });
    MeasuredSlope::new(
        "one kept revision, without its names",
        "MB",
        "teams",
        points.into(),
        TEAMS as f64,
    )
}

fn busy_ticks() -> MeasuredSlope {
    let tree = snapshot(size(HOSTS, FIRST_TOUCHES), 1);
    let points = BUSY_SIZES.map(|busy| {
        let now = Instant::now();
        let mut ledger = settled(&tree, now);
        let mut waiting = 0;
        for team in 0..FIRST_TOUCHES {
            if waiting < busy {
                let decision = ledger.admit(&team_name(team), now);
                waiting += usize::from(matches!(decision, AdmitDecision::Waiting(_)));
            }
        }
        let tick = best_of(3, || nanos_each(TICKS, |_| ledger.tick(now))) / TICKS as f64;
        FitPoint::new(waiting, tick)
    });
    MeasuredSlope::new(
        "one tick, of which there are 1,000 a second",
        "ns",
        "teams that wait for a loan",
        points.into(),
        HOST_REQUESTS * BUSY_SECONDS,
    )
}

/// Admits one request by a loan; false when the host had a share of its own or nobody was asked.
fn borrow_once(ledger: &mut LimitsLedger, team: usize, now: Instant) -> bool {
    let AdmitDecision::Waiting(_) = ledger.admit(&team_name(team), now) else {
        ledger.take_actions();
        return false;
    };
    for action in ledger.take_actions() {
        if let LedgerAction::Send {
            to,
            message: LoanMessage::Borrow { id, team, tokens },
        } = action
        {
            ledger.receive(&to, &LoanMessage::Lend { id, team, tokens }, now);
        }
    }
    ledger.take_actions();
    true
}

fn loans() -> RoleReport {
    let tree = snapshot(size(HOSTS, FIRST_TOUCHES), 1);
    let share = own_teams(&tree) as f64 / FIRST_TOUCHES as f64;
    let runs = FLEET_SIZES.map(|hosts| thread::spawn(move || loan_run(hosts)));
    let runs = runs.map(|run| run.join().expect("a run panicked"));
    let slope = |what, unit, value: fn(&LoanRun) -> f64| {
        let points = FLEET_SIZES.iter().zip(&runs);
        let points = points.map(|(hosts, run)| FitPoint::new(*hosts, value(run)));
        MeasuredSlope::new(what, unit, "hosts", points.collect(), HOSTS as f64)
    };
    let messages = slope("messages, 8 teams, even arrival", "/s a host", |run| {
        run.messages
    });
    let wait = slope("wait for tokens, 99 in 100", "ms", |run| run.wait);
    let refused = slope("refused within the rate", "%", |run| run.refused);
    let cycle = cycle_slope();
    // A request of a team without a share here is a question, and the answer to a peer's one.
    let rate = HOST_REQUESTS * (1.0 - share) * 2.0;
    let network = rate * (message_bytes() + FRAME_OVERHEAD);
    let cost = RoleCost {
        core: cycle.at_target() * HOST_REQUESTS * (1.0 - share) / 1e9,
        network,
        messages: rate,
        ..RoleCost::default()
    };
    let lines = vec![
        BudgetLine {
            what: "bytes of loans when each request is of another team",
            value: network,
            budget: NETWORK_BUDGET,
            unit: "B/s",
        },
        BudgetLine {
            what: "requests that wait for a round trip between hosts, of 1 in 100",
            value: (1.0 - share) * 1e2,
            budget: 1.0,
            unit: "%",
        },
        BudgetLine {
            what: "that round trip between data centres of the association",
            value: 1.5,
            budget: ADDED_BUDGET,
            unit: "ms",
        },
    ];
    RoleReport {
        role: "Loans",
        slopes: vec![messages, wait, refused, cycle],
        cost,
        lines,
    }
}

fn message_bytes() -> f64 {
    let message = PeerMessage::Loan(LoanMessage::Borrow {
        id: LoanId(u64::MAX / 3),
        team: team_name(1),
        tokens: 1.0,
    });
    encode_message(&message).map_or(f64::NAN, |frame| frame.len() as f64)
}

/// A borrowed request, from the request to its admission.
fn cycle_slope() -> MeasuredSlope {
    let points = REGION_SIZES.map(|hosts| {
        let tree = snapshot(size(hosts * REGIONS, FIRST_TOUCHES), 1);
        let run = || {
            let now = Instant::now();
            let mut ledger = settled(&tree, now);
            let borrowed = (0..FIRST_TOUCHES).filter(|team| borrow_once(&mut ledger, *team, now));
            borrowed.count()
        };
        let time = best_of(3, run) - best_of(3, || settled(&tree, Instant::now()));
        FitPoint::new(hosts, time / FIRST_TOUCHES as f64)
    });
    MeasuredSlope::new(
        "first request of a team, borrowed for",
        "ns",
        "hosts of the region",
        points.into(),
        REGION_HOSTS as f64,
    )
}

/// What a run in virtual time gave.
struct LoanRun {
    messages: f64,
    wait: f64,
    refused: f64,
}

fn loan_run(hosts: usize) -> LoanRun {
    let run = TableRun {
        rule: RuleKind::Product,
        policy: LimitsPolicy::default(),
        arrival: ArrivalKind::Even,
        fault: FaultKind::Calm,
        hosts,
        load: 0.8,
    };
    let score = run.run();
    LoanRun {
        messages: score.messages as f64 / hosts as f64 / SCORED_SECONDS,
        wait: score.wait(99.0),
        refused: score.refused_percent(),
    }
}
