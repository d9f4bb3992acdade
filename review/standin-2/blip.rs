//! The three machines that the seeds name lose power for 2 s, while one tenant sends more than its limit.

#[allow(dead_code)]
mod base;
use base::*;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

const RATE: u32 = 46;
const BURST: u32 = 46;

fn main() {
    let record = Record::new(&std::env::args().nth(1).expect("the path of record.txt"));
    let folder = work_folder();
    let runs: Runs = Arc::default();
    let store = Store::start();
    let names = ["i-31f0", "i-77a2", "i-9c5e", "i-b804"];
    let upstreams: Vec<Upstream> = names
        .iter()
        .map(|name| Upstream::start(name, "till", "north", 20, &runs, &record))
        .collect();
    for upstream in &upstreams {
        upstream.register(&store, "ready");
    }
    store.put("op/config", till_config(1, RATE, BURST).as_bytes());
    let mut daemons = start_daemons(
        &["north", "south", "north", "south", "north", "south"],
        store.address,
        &folder,
    );
    if !wait_for(Duration::from_secs(15), || {
        daemons.iter().all(Daemon::is_ready)
    }) {
        record.say("the daemons did not become ready");
        finish(&record, daemons, &folder, 2);
    }
    nap(6_000);
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let stop = flag();
    // The tenant sends 7.5 times its usual, which is its rate / 1.6, spread over all machines.
    for daemon in &daemons {
        press(daemon.front, &daemon.name, 36, &stop, &sent, &record);
    }
    nap(6_000);
    let limit = (f64::from(RATE) * 5.0 + f64::from(BURST)) * 1.25 + 20.0;
    if trouble() {
        for daemon in &mut daemons[..3] {
            daemon.kill();
        }
        record.line("the three machines that the seeds name lost power");
        nap(2_000);
        for daemon in &mut daemons[..3] {
            daemon.start_again();
        }
        record.line("they start again, with the same settings");
    } else {
        nap(2_000);
    }
    nap(15_000);
    stop.store(true, Ordering::Relaxed);
    nap(3_500);
    let most = most_in_window(&runs, &sent, Duration::from_secs(5));
    record.say(&format!(
        "at most {most} requests of the tenant were sent and run in 5 s; allowed are {limit}"
    ));
    finish(&record, daemons, &folder, i32::from(most as f64 > limit));
}
