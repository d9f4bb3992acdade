//! Reads the log lines of hosts.

use serde_json::{Map, Value};
use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

/// One line.
#[derive(Clone, Debug)]
pub(crate) struct LogEvent {
    /// Where it was read: the host that a log collector names, else the file.
    pub source: String,
    /// The fleet's name of the host that wrote it; empty before its line `started`.
    pub host: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl LogEvent {
    /// The field `name`, empty when it is absent or no text.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The field `name`, when it is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// When it was written.
    pub fn time(&self) -> &str {
        self.text("time")
    }

    /// What it tells.
    pub fn event(&self) -> &str {
        self.text("event")
    }
}

/// What is known of those whose lines a file holds.
#[derive(Debug, Default)]
struct LogSource {
    /// The fleet's name of each, by source.
    hosts: BTreeMap<String, String>,
}

/// Reads a file line by line and tells how many lines are no JSON objects.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn read_log(path: &Path, mut take: impl FnMut(LogEvent)) -> io::Result<usize> {
    let file = path.display().to_string();
    let mut source = LogSource::default();
    let mut unreadable = 0;
    for line in BufReader::new(File::open(path)?).lines() {
        let line = line?;
        match parse_line(&file, &line) {
            Some((name, fields)) => {
                take(source.event(name, fields));
            }
            None => unreadable += 1,
        }
    }
    Ok(unreadable)
}

impl LogSource {
    fn event(&mut self, source: String, fields: Map<String, Value>) -> LogEvent {
        let mut event = LogEvent {
            host: String::new(),
            source,
            fields,
        };
        if event.event() == "started" {
            let host = event.text("host").to_owned();
            self.hosts.insert(event.source.clone(), host);
        }
        event.host = self.hosts.get(&event.source).cloned().unwrap_or_default();
        event
    }
}

/// The source and the fields of a line.
fn parse_line(file: &str, line: &str) -> Option<(String, Map<String, Value>)> {
    let (before, _) = line.split_once('{')?;
    let fields = serde_json::from_str(&line[before.len()..]).ok()?;
    let named = before.split_whitespace().nth(1);
    Some((named.unwrap_or(file).to_owned(), fields))
}
