//! Requests whose bodies are sent in two parts, the second one late.

use crate::caller::TEAM_KEY;
use kws_standin::caller::{CallerAnswer, CallerConnection};
use std::net::SocketAddr;
use tokio::time::{Instant, sleep_until};

/// A request that may run only once.
#[derive(Clone, Debug)]
pub struct LateRequest {
    id: String,
    /// The head and the first part of the body.
    start: String,
    /// The rest of a body that is not complete.
    rest: Option<&'static str>,
    begins: Instant,
}

impl LateRequest {
    /// Creates a request that begins at `begins`, with the line that frames its body and the start of
    /// that. A body of length 4 lacks its last two bytes.
    pub fn new(number: u32, framing: &str, start: &str, begins: Instant) -> Self {
        let id = format!("{number:016x}");
        let head = format!(
            "POST /pay/slot HTTP/1.1\r\nHost: farm.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 30000\r\nAuthorization: Bearer {TEAM_KEY}\r\n{framing}\r\n"
        );
        Self {
            id,
            start: format!("{head}{start}"),
            rest: framing.contains(": 4").then_some("cd"),
            begins,
        }
    }

    /// Sets the rest of the body.
    pub fn ending(self, rest: &'static str) -> Self {
        Self {
            rest: Some(rest),
            ..self
        }
    }

    /// Sends the request, the rest of its body at `late`. Returns its id and its answer if that is
    /// whole.
    pub async fn send(self, address: SocketAddr, late: Instant) -> (String, Option<CallerAnswer>) {
        sleep_until(self.begins).await;
        let answer = self.exchange(address, late).await;
        (self.id, answer)
    }

    async fn exchange(&self, address: SocketAddr, late: Instant) -> Option<CallerAnswer> {
        let mut connection = CallerConnection::connect(address).await.ok()?;
        connection.send(&self.start).await.ok()?;
        if let Some(rest) = self.rest {
            sleep_until(late).await;
            // The host may have answered and closed the connection before.
            let _ = connection.send(rest).await;
        }
        connection.receive().await.ok()
    }
}
