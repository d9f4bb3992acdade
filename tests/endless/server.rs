//! Servers that send bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// A whole response.
const FIRST: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 5\r\n\r\nright";
/// How long a server without bytes holds its connections.
const SILENCE: Duration = Duration::from_mins(1);
/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// What a server sends after a request.
#[derive(Clone, Copy, Debug)]
pub struct EndlessShape {
    /// Whether the first request on a connection gets a whole response.
    pub second: bool,
    /// Sent first. `{id}` stands for the id of the request, `{previous}` for that of the one before
    /// it on the connection.
    pub start: &'static str,
    /// Sent again and again until the peer closes the connection.
    pub forever: &'static str,
    /// Whether callers get a whole answer.
    pub whole: bool,
}

/// A running server.
pub struct EndlessServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it sends.
    pub shape: EndlessShape,
    /// Connections on which it sends bytes without end.
    pub sending: Arc<AtomicUsize>,
}

impl EndlessServer {
    /// Starts a server.
    pub async fn start(shape: EndlessShape) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let server = Self {
            address: listener.local_addr().expect("has an address"),
            shape,
            sending: Arc::default(),
        };
        let sending = Arc::clone(&server.sending);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sending = Arc::clone(&sending);
                tokio::spawn(async move { serve(stream, shape, &sending).await });
            }
        });
        server
    }
}

/// Answers one request on a connection with `shape`.
pub async fn serve(
    mut stream: TcpStream,
    shape: EndlessShape,
    sending: &AtomicUsize,
) -> Option<()> {
    let mut previous = String::new();
    if shape.second {
        previous = read_head(&mut stream).await?;
        let answer = FIRST.replace("{id}", &previous);
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
    let id = read_head(&mut stream).await?;
    let text = shape.start.replace("{id}", &id);
    let text = text.replace("{previous}", &previous);
    stream.write_all(text.as_bytes()).await.ok()?;
    sending.fetch_add(1, Ordering::SeqCst);
    send_forever(&mut stream, shape.forever).await;
    sending.fetch_sub(1, Ordering::SeqCst);
    None
}

/// Sends `text` again and again until the peer closes the connection. Of an empty text nothing is sent.
pub async fn send_forever(stream: &mut TcpStream, text: &str) {
    if text.is_empty() {
        return sleep(SILENCE).await;
    }
    let block = text.repeat(BLOCK_BYTES / text.len());
    while stream.write_all(block.as_bytes()).await.is_ok() {}
}

/// Reads the head of a request; returns its id.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    Some(id.unwrap_or_default().to_owned())
}
