//! A request whose path is a route's prefix without its last slash runs at the service of that
//! route, although the prefix doesn't begin the path.

use crate::{Verdict, fleet::Fleet, record::Record};
use std::{thread::sleep, time::Duration};

const ZONES: [(&str, &str); 2] = [("turaida", "vidzemes"), ("ligatne", "vidzemes")];
const HOST: &str = "jepu9.example";
const KEY: &str = "ctnfzs989anu6wsjnban";

/// `configApply` of the sites, with a second to spare.
const APPLY_TIME: Duration = Duration::from_millis(3_500);

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "\"{name}\":{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"1500ms\",\
         \"targetLatency\":\"1200ms\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false}}"
    )
}

fn configuration(version: u64, routes: &[String]) -> String {
    let service = "{\"healthCheckPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}";
    format!(
        "{{\"version\":{version},\"routes\":{{{}}},\"services\":{{\"huvo11a\":{service},\"wuno96b\":{service}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\
         \"tenants\":{{\"sese880\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":46,\"burst\":46}}}}}}",
        routes.join(",")
    )
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(record);
    for (id, service) in [
        ("i-a1", "huvo11a"),
        ("i-a2", "huvo11a"),
        ("i-b1", "wuno96b"),
        ("i-b2", "wuno96b"),
    ] {
        fleet.add_upstream(id, service, "turaida", Duration::from_millis(20));
    }
    // Each path below begins with the prefix "/lepu270/" alone, in every version.
    let first = route("r-eya6u6s", "/lepu270/", "non_idempotent", "huvo11a");
    fleet.configure(&configuration(7, std::slice::from_ref(&first)));
    if !fleet.start_daemons(&["turaida", "ligatne"], &ZONES) {
        return Verdict::NotRun("the daemons did not become ready".to_owned());
    }
    if trouble {
        let added = route("r-z9frge9", "/lepu270/ny95/", "non_idempotent", "wuno96b");
        fleet.configure(&configuration(11, &[first, added]));
        sleep(APPLY_TIME);
    }
    let (mut wrong, mut right) = (0, 0);
    for number in 0..20 {
        let id = format!("9c41d07be2a3{number:04x}");
        fleet.send(number % 2, &id, "POST /lepu270/ny95", HOST, KEY);
        for run in fleet.runs_of(&id) {
            if run.service == "huvo11a" {
                right += 1;
            } else {
                wrong += 1;
                record.line(&format!(
                    "BROKEN   {id} ran at {} of {}",
                    run.server, run.service
                ));
            }
        }
    }
    record.tell(&format!(
        "{right} requests ran at the service of their route, {wrong} at another"
    ));
    match (right, wrong) {
        (0, 0) => Verdict::NotRun("no request ran".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
