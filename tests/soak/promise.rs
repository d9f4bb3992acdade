//! What must hold whatever fails, judged by what callers and backend servers saw.

use crate::{
    caller::{Outcome, TEAM, TEAM_KEY},
    fault::HostTrouble,
    fleet::SoakFleet,
};
use kws_standin::backend::SeenRequest;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The routes' timeout, and half a second to say so.
const LATEST_ANSWER: Duration = Duration::from_secs(3);
/// Statuses that promise that the request did not run and never will.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// The size of a server's body, in bytes.
const BODY_BYTES: usize = 64;

/// Everything that was seen against the promises.
pub fn broken_promises(
    fleet: &SoakFleet,
    outcomes: &[Outcome],
    troubles: &BTreeMap<usize, Vec<HostTrouble>>,
) -> Vec<String> {
    let mut findings = Vec::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for server in &fleet.servers {
        for request in server.server.seen() {
            judge_arrival(&request, &mut findings);
            if request.has_run() {
                let id = request.header("Request-Id").unwrap_or_default().to_owned();
                *runs.entry(id).or_default() += 1;
            }
        }
    }
    for outcome in outcomes {
        let ran = runs.get(&outcome.id).copied().unwrap_or_default();
        judge_outcome(outcome, ran, &mut findings);
        let spared = troubles
            .get(&outcome.host)
            .is_some_and(|all| touches(all, outcome));
        if outcome.took > LATEST_ANSWER && !spared {
            findings.push(format!("{} held for {:?}", outcome.id, outcome.took));
        }
    }
    findings
}

fn judge_arrival(request: &SeenRequest, findings: &mut Vec<String>) {
    let id = request.header("Request-Id").unwrap_or_default();
    if request.head.contains(TEAM_KEY) {
        findings.push(format!("{id}: a server saw the key"));
    }
    if request.header("Tenant") != Some(TEAM) {
        let team = request.header("Tenant");
        findings.push(format!("{id}: {:?} for the team {team:?}", request.line()));
    }
}

fn judge_outcome(outcome: &Outcome, ran: usize, findings: &mut Vec<String>) {
    let id = &outcome.id;
    if outcome.once && ran > 1 {
        findings.push(format!("{id} ran {ran} times"));
    }
    let Some(status) = outcome.status else {
        return;
    };
    if outcome.once && ran > 0 && NOT_RUN.contains(&status) {
        findings.push(format!("{id} ran and was answered {status}"));
    }
    if status == 200 {
        let pattern = format!("{id};").repeat(BODY_BYTES);
        if ran == 0 || outcome.body != pattern[..BODY_BYTES] {
            findings.push(format!("{id} got {:?}", outcome.body));
        }
    }
    if [401, 403, 404].contains(&status) {
        findings.push(format!("{id} was answered {status}"));
    }
}

fn touches(troubles: &[HostTrouble], outcome: &Outcome) -> bool {
    let end = outcome.sent + outcome.took;
    let mut troubles = troubles.iter();
    troubles.any(|trouble| trouble.from <= end && outcome.sent <= trouble.until)
}
