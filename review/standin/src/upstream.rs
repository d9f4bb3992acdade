//! A stand-in for an upstream: it runs each request that expects it, and signs its answers.

use crate::{http, record::Record};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request that an upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub service: String,
    pub request: http::Request,
}

#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    work: Duration,
    left: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Self {
            address: listener.local_addr().expect("an address"),
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            left: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// The value of its entry in the store.
    pub fn entry(&self, zone: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":3}},\
             \"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"warmupLeft\":\"0ms\"}},\"born\":1790000000000}}",
            self.address, self.service
        )
    }

    /// Ends its heartbeats.
    pub fn leave(&self) {
        self.left.store(true, Ordering::SeqCst);
    }

    pub fn has_left(&self) -> bool {
        self.left.load(Ordering::SeqCst)
    }

    /// How long a request takes: the milliseconds of `work` in its query, or as long as usual.
    fn work_of(&self, target: &str) -> Duration {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let millis = http::query_value(query, "work").parse().ok();
        millis.map_or(self.work, Duration::from_millis)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = http::read_request(&mut stream) {
            let id = request.header("Request-Id").to_owned();
            if request.target == "/health" {
                if !http::write_response(&mut stream, 200, &[("Instance-Id", &self.id)], b"") {
                    return;
                }
                continue;
            }
            let expected = request.header("Expected-Instance");
            if !expected.is_empty() && expected != self.id {
                let headers = [("Request-Id", id.as_str()), ("Instance-Id", &self.id)];
                if !http::write_response(&mut stream, 421, &headers, b"") {
                    return;
                }
                continue;
            }
            self.record.line(&format!(
                "run      {id} {} {} by {} ({}) tenant={} whole={} body={}",
                request.method,
                request.target,
                self.id,
                self.service,
                request.header("Tenant"),
                request.whole,
                request.body.len()
            ));
            self.runs.lock().unwrap().push(Run {
                at: Instant::now(),
                server: self.id.clone(),
                service: self.service.clone(),
                request: request.clone(),
            });
            if !request.whole {
                return;
            }
            thread::sleep(self.work_of(&request.target));
            let signature = format!("signed-{}-{id}", self.id);
            let body = format!("{} ran {id} for {}\n", self.id, self.service);
            let headers = [
                ("Request-Id", id.as_str()),
                ("Server-Signature", &signature),
            ];
            if !http::write_response(&mut stream, 200, &headers, body.as_bytes()) {
                return;
            }
        }
    }
}
