//! While the two hosts that read the store for their region are suspended, the others go on sending
//! requests to an upstream that left longer ago than `drain`.

use crate::{
    Verdict,
    daemon::{SIGCONT, SIGSTOP},
    fleet::Fleet,
    record::Record,
};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};

const ZONES: [(&str, &str); 2] = [("turaida", "vidzemes"), ("ligatne", "vidzemes")];
const HOST: &str = "jepu9.example";
const KEY: &str = "ctnfzs989anu6wsjnban";
/// The upstream that leaves.
const LEAVING: &str = "i-a1";

/// `drain` of the small sites.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `contact` of the sites: how long hosts and store were without impairment before.
const CONTACT: Duration = Duration::from_millis(4_000);
/// How long two hosts are suspended: the length that the bench takes when a day gives none.
const SUSPENSION: Duration = Duration::from_secs(5);
/// The time between the suspension and the change.
const CHANGE_DELAY: Duration = Duration::from_millis(100);

fn configuration(version: u64, key: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":{{\"r-eya6u6s\":{{\"host\":\"{HOST}\",\"prefix\":\"/lepu270/\",\
         \"kind\":\"non_idempotent\",\"timeout\":\"1500ms\",\"targetLatency\":\"1200ms\",\"priority\":1,\
         \"service\":\"huvo11a\",\"maxAttempts\":2,\"public\":false}}}},\
         \"services\":{{\"huvo11a\":{{\"healthCheckPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\
         \"tenants\":{{\"sese880\":{{\"apiKeys\":[\"{key}\"],\"priority\":1,\"ratePerS\":200,\"burst\":200}}}}}}"
    )
}

/// The daemons that read the store now: those whose count of reads grows.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let count = || {
        fleet
            .daemons
            .iter()
            .map(|daemon| daemon.platform_reads())
            .collect::<Vec<_>>()
    };
    let before = count();
    sleep(Duration::from_secs(4));
    let after = count();
    (0..before.len())
        .filter(|at| after[*at] > before[*at])
        .collect()
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(record);
    for id in ["i-a1", "i-a2", "i-a3", "i-a4", "i-a5", "i-a6"] {
        fleet.add_upstream(id, "huvo11a", "turaida", Duration::from_millis(20));
    }
    fleet.configure(&configuration(7, KEY));
    let placed = [
        "turaida", "ligatne", "turaida", "ligatne", "turaida", "ligatne",
    ];
    if !fleet.start_daemons(&placed, &ZONES) {
        return Verdict::NotRun("the daemons did not become ready".to_owned());
    }
    sleep(CONTACT + Duration::from_secs(2));
    let readers = readers(&fleet);
    record.line(&format!("readers of the store: {readers:?}"));
    if readers.len() != 2 {
        return Verdict::NotRun(format!("{} daemons read the store", readers.len()));
    }
    let calm: Vec<usize> = (0..placed.len())
        .filter(|at| !readers.contains(at))
        .collect();
    if trouble {
        for at in &readers {
            fleet.daemons[*at].signal(SIGSTOP);
            record.line(&format!(
                "stop     {} is suspended",
                fleet.daemons[*at].name
            ));
        }
    }
    let suspended = Instant::now();
    sleep(CHANGE_DELAY);
    fleet.remove_upstream(LEAVING);
    let confirmed = Instant::now();
    let (mut late, mut sent, mut resumed) = (0, 0, false);
    let mut latest = Duration::ZERO;
    while confirmed.elapsed() < Duration::from_secs(9) {
        if trouble && !resumed && suspended.elapsed() >= SUSPENSION {
            resumed = true;
            for at in &readers {
                fleet.daemons[*at].signal(SIGCONT);
                record.line(&format!("continue {} goes on", fleet.daemons[*at].name));
            }
        }
        for at in &calm {
            let id = format!("9c41d07be2a3{sent:04x}");
            sent += 1;
            fleet.send(*at, &id, "POST /lepu270/2f", HOST, KEY);
            for run in fleet.runs_of(&id) {
                let age = run.at.saturating_duration_since(confirmed);
                if run.server == LEAVING && age > DRAIN {
                    late += 1;
                    latest = latest.max(age);
                    record.line(&format!(
                        "BROKEN   {id} ran at {LEAVING} {} ms after it left, sent on by {}",
                        age.as_millis(),
                        fleet.daemons[*at].name
                    ));
                }
            }
        }
        sleep(Duration::from_millis(50));
    }
    let runs = fleet.runs.lock().unwrap();
    let before = runs.iter().filter(|run| run.server == LEAVING).count();
    record.tell(&format!(
        "{sent} requests, {before} ran at {LEAVING}, {late} of them later than {} ms after it left, the latest {} ms after it",
        DRAIN.as_millis(),
        latest.as_millis()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
