//! Callers of endless servers.

use crate::{
    host::{ENDLESS_TIMEOUT, EndlessHost, request, service},
    server::send_forever,
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// A small chunk of a request's body.
const CHUNK: &str = "28\r\nrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrr\r\n";
/// Size of one read, in bytes.
const READ_BYTES: usize = 64 * 1024;
/// How long a caller waits for the end of its response, longer than the route's timeout.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// What a caller does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerKind {
    /// Reads the response to its end.
    Reading,
    /// Never reads the response.
    Waiting,
    /// Closes the connection once the response has begun.
    Leaving,
    /// Sends a body without end, and reads nothing.
    Sending,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallEnd {
    /// Whether the connection ended before the caller gave up.
    closed: bool,
    /// Whether the response is complete, by its framing.
    whole: bool,
    /// Whether a server's response is expected to be complete.
    can_be_whole: bool,
}

impl CallEnd {
    /// Whether the response is complete, by its framing.
    pub fn is_whole(self) -> bool {
        self.whole
    }

    /// Whether the end is what a caller of this kind must see.
    pub fn is_true(self, kind: CallerKind) -> bool {
        match kind {
            CallerKind::Waiting | CallerKind::Leaving => true,
            CallerKind::Sending => self.closed,
            CallerKind::Reading => self.closed && (!self.whole || self.can_be_whole),
        }
    }
}

/// Requests the service with this number.
pub async fn call(host: &EndlessHost, number: usize, kind: CallerKind) -> CallEnd {
    let mut stream = host.connect().await;
    let (method, lines) = match kind {
        CallerKind::Sending => ("POST", "Transfer-Encoding: chunked\r\n"),
        _ => ("GET", "Connection: close\r\n"),
    };
    let request = request(method, &service(number), lines);
    stream.write_all(request.as_bytes()).await.expect("writes");
    let act = async {
        match kind {
            CallerKind::Reading => return read_response(&mut stream).await,
            CallerKind::Waiting => sleep(ENDLESS_TIMEOUT * 2).await,
            CallerKind::Leaving => drop(stream.read_u8().await),
            CallerKind::Sending => send_forever(&mut stream, CHUNK).await,
        }
        false
    };
    let whole = timeout(MAX_WAIT, act).await;
    CallEnd {
        closed: whole.is_ok(),
        whole: whole.unwrap_or_default(),
        can_be_whole: host.servers[number].shape.whole,
    }
}

/// Reads to the end of the connection; whether a response with status 200 is complete. Only its begin
/// and its end are kept.
async fn read_response(stream: &mut TcpStream) -> bool {
    let mut buffer = vec![0; READ_BYTES];
    let (mut first, mut last, mut bytes) = (Vec::new(), Vec::new(), 0);
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        bytes += count;
        if first.len() < READ_BYTES {
            first.extend_from_slice(&buffer[..count]);
        }
        last.extend_from_slice(&buffer[..count]);
        last.drain(..last.len().saturating_sub(5));
    }
    let text = String::from_utf8_lossy(&first).to_ascii_lowercase();
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let complete = match length.and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => bytes == head.len() + 4 + length,
        None => !head.contains("chunked") || last == b"0\r\n\r\n",
    };
    head.starts_with("http/1.1 200") && complete
}
