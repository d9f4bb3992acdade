//! An entry of another writer whose key has a character that a query must escape, on the border of two
//! pages, while the whole fleet is started again.

#[allow(dead_code)]
mod base;
use base::*;
use std::{sync::Arc, thread, time::Duration};

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
    store.put("op/config", till_config(1, 46, 46).as_bytes());
    let mut daemons = start_daemons(&["north", "north", "south"], store.address, &folder);
    if !wait_for(Duration::from_secs(15), || {
        daemons.iter().all(Daemon::is_ready)
    }) {
        record.say("the daemons did not become ready");
        finish(&record, daemons, &folder, 2);
    }
    nap(2_000);
    if trouble() {
        // 800,000 bytes that can't be read, below the store's 1,048,576 for a value.
        let key = std::env::var("ODD_KEY").unwrap_or_else(|_| "servers/i-31f0#old".to_owned());
        store.put(&key, &vec![0xff; 800_000]);
        record.line(&format!("another writer's entry {key} is written"));
    }
    nap(3_000);
    let before = served(&daemons, &record, "before");
    record.say(&format!(
        "before the restart: {before} of 60 requests served"
    ));
    for daemon in &mut daemons {
        daemon.kill();
    }
    record.line("all processes killed");
    nap(1_000);
    for daemon in &mut daemons {
        daemon.start_again();
    }
    record.line("all processes started again");
    // `recovery` is 15 s.
    nap(16_000);
    let after = served(&daemons, &record, "after");
    record.say(&format!(
        "later than `recovery` after the restart: {after} of 60 requests served"
    ));
    let code = if before < 15 {
        2
    } else {
        i32::from(after < 15)
    };
    finish(&record, daemons, &folder, code);
}

/// Sends 60 requests over 3 s and counts those that are served.
fn served(daemons: &[Daemon], record: &Record, when: &'static str) -> usize {
    let mut sent = Vec::new();
    for at in 0..60 {
        let daemon = &daemons[at % daemons.len()];
        let (front, name, record) = (daemon.front, daemon.name.clone(), record.clone());
        sent.push(thread::spawn(move || {
            let (id, outcome) = send(front, "POST", "/pay/1", Some(KEY), 3_000);
            record.line(&format!("{when}: request {id} to {name}: {outcome:?}"));
            usize::from(outcome.status() == 200)
        }));
        nap(50);
    }
    sent.into_iter()
        .map(|sender| sender.join().unwrap_or(0))
        .sum()
}
