//! A daemon that was told to stop goes on taking requests on kept connections until it is killed,
//! and the last ones are cut.

use crate::{
    Verdict,
    daemon::{SIGKILL, SIGTERM},
    fleet::Fleet,
    http,
    record::Record,
};
use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

const ZONES: [(&str, &str); 2] = [("turaida", "vidzemes"), ("ligatne", "vidzemes")];
const HOST: &str = "hulo84.example";
const KEY: &str = "ctnfzs989anu6wsjnban";

/// `grace` of the small sites: SIGKILL follows SIGTERM after this time.
const GRACE: Duration = Duration::from_secs(6);
/// The time limit of `slota-maksa` and `repair-booking`, in milliseconds.
const TIME_LIMIT_MS: u64 = 3_000;
/// The timeout of their route, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 1_500;

/// A request on a kept connection: when it is sent after the SIGTERM, and how long it takes at its
/// upstream, both in milliseconds.
struct Planned {
    id: &'static str,
    sent_ms: u64,
    work_ms: u64,
}

/// Each is sent while the one before it is at work. The first two are answered before the kill; the
/// last is sent in time to be answered within its time limit and its route's timeout.
const PLANNED: [Planned; 3] = [
    Planned {
        id: "9c41d07be2a30001",
        sent_ms: 2_600,
        work_ms: 1_400,
    },
    Planned {
        id: "9c41d07be2a30002",
        sent_ms: 3_750,
        work_ms: 1_400,
    },
    Planned {
        id: "9c41d07be2a30003",
        sent_ms: 4_950,
        work_ms: 1_400,
    },
];

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":{{\"r-z9frge9\":{{\"host\":\"{HOST}\",\"prefix\":\"/xapu221/\",\
         \"kind\":\"non_idempotent\",\"timeout\":\"{ROUTE_TIMEOUT_MS}ms\",\"targetLatency\":\"1200ms\",\"priority\":1,\
         \"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false}}}},\
         \"services\":{{\"wuno96b\":{{\"healthCheckPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}}},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\
         \"tenants\":{{\"sese880\":{{\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"ratePerS\":46,\"burst\":46}}}}}}"
    )
}

fn send(stream: &mut TcpStream, record: &Record, id: &str, work_ms: u64) -> bool {
    record.line(&format!(
        "send     {id} POST /xapu221/2f?work={work_ms} on a kept connection"
    ));
    let text = format!(
        "POST /xapu221/2f?work={work_ms} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {TIME_LIMIT_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Reads an answer and records it. Returns its status; 0 when the connection ended without one.
fn receive(stream: &mut TcpStream, record: &Record, id: &str) -> u16 {
    let response = http::read_response(stream).filter(|response| response.whole);
    let status = response.as_ref().map_or(0, |response| response.status);
    let told = response.map_or(
        "connection ended without a complete answer".to_owned(),
        |response| format!("{status} Connection: {}", response.header("Connection")),
    );
    record.line(&format!("answer   {id} {told}"));
    status
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::new(record);
    for id in ["i-b1", "i-b2", "i-b3", "i-b4"] {
        fleet.add_upstream(id, "wuno96b", "turaida", Duration::from_millis(50));
    }
    fleet.configure(&configuration());
    if !fleet.start_daemons(&["turaida", "ligatne"], &ZONES) {
        return Verdict::NotRun("the daemons did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    // Each client uses its connection once, before the SIGTERM, and keeps it.
    let mut streams = Vec::new();
    for at in 0..PLANNED.len() {
        let Ok(mut stream) = TcpStream::connect(fleet.daemons[0].addresses.listen) else {
            return Verdict::NotRun("no connection".to_owned());
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(TIME_LIMIT_MS)));
        let id = format!("9c41d07be2a3f00{at}");
        if !send(&mut stream, record, &id, 50) || receive(&mut stream, record, &id) != 200 {
            return Verdict::NotRun("a request before the SIGTERM was not served".to_owned());
        }
        streams.push(stream);
    }
    let stopped = Instant::now();
    if trouble {
        fleet.daemons[0].signal(SIGTERM);
        record.line("stop     SIGTERM to front-1");
    }
    let clients: Vec<_> = PLANNED
        .iter()
        .zip(streams)
        .map(|(planned, mut stream)| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(
                    Duration::from_millis(planned.sent_ms).saturating_sub(stopped.elapsed()),
                );
                let written = send(&mut stream, &record, planned.id, planned.work_ms);
                let status = if written {
                    receive(&mut stream, &record, planned.id)
                } else {
                    0
                };
                (status, stopped.elapsed())
            })
        })
        .collect();
    if trouble {
        while stopped.elapsed() < GRACE {
            if fleet.daemons[0].has_ended() {
                record.line("stop     front-1 has ended by itself");
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        if !fleet.daemons[0].has_ended() {
            fleet.daemons[0].signal(SIGKILL);
            record.line("stop     SIGKILL to front-1, after the grace");
        }
    }
    let mut lost = 0;
    for (planned, client) in PLANNED.iter().zip(clients) {
        let (status, at) = client.join().unwrap_or((0, Duration::ZERO));
        let runs = fleet.runs_of(planned.id).len();
        record.tell(&format!(
            "{} sent {} ms after the SIGTERM: ran {runs} times, answered {status}, ended after {} ms",
            planned.id,
            planned.sent_ms,
            at.as_millis()
        ));
        // Read by the process and passed on, but never answered.
        lost += usize::from(runs > 0 && status == 0);
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
