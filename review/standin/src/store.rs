//! A stand-in for the platform's metadata store: `kv-range` and `kv-watch` over HTTP/1.1.

use crate::http::{self, base64, escape, query_value};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The largest number of items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Key, revision and value; no value for a removed key.
    events: Vec<(String, u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value; it is confirmed when the call returns.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(text) => state.items.insert(key.to_owned(), (revision, text.clone())),
            None => state.items.remove(key),
        };
        state.events.push((key.to_owned(), revision, value));
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = http::read_request(&mut stream) {
            let (path, query) = request
                .target
                .split_once('?')
                .unwrap_or((&request.target, ""));
            let body = match path {
                "/api/kv-range" => self.range(query),
                "/api/kv-watch" => self.watch(query),
                _ => {
                    http::write_response(&mut stream, 404, &[], b"{}");
                    continue;
                }
            };
            let headers = [("Content-Type", "application/json")];
            if !http::write_response(&mut stream, 200, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let prefix = query_value(query, "prefix");
        let after = query_value(query, "after");
        let state = self.shared.0.lock().unwrap();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let truncated = found.len() > PAGE_ITEMS;
        let page: Vec<String> = found.into_iter().take(PAGE_ITEMS).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"currentRev\":{}}}",
            page.join(","),
            state.revision
        )
    }

    fn watch(&self, query: &str) -> String {
        let prefix = query_value(query, "prefix");
        let after: u64 = query_value(query, "after").parse().unwrap_or(0);
        let wait: u64 = query_value(query, "waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix))
                .map(|(key, revision, value)| item(key, *revision, value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{}\",\"value\":\"{}\",\"revision\":{revision},\"createRevision\":{revision},\"lease\":0}}",
            escape(key),
            base64(value.as_bytes())
        ),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{revision},\"deleted\":true}}",
            escape(key)
        ),
    }
}
