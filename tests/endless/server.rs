//! Servers that send bytes without end.

use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How long a server without bytes holds its connections.
const SILENCE: Duration = Duration::from_mins(1);
/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// What a server sends after a request.
#[derive(Clone, Copy, Debug)]
pub struct EndlessShape {
    /// Sent first. `{id}` stands for the id of the request.
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
}

impl EndlessServer {
    /// Starts a server.
    pub async fn start(shape: EndlessShape) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let server = Self {
            address: listener.local_addr().expect("has an address"),
            shape,
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shape));
            }
        });
        server
    }
}

async fn serve(mut stream: TcpStream, shape: EndlessShape) -> Option<()> {
    let id = read_head(&mut stream).await?;
    let text = shape.start.replace("{id}", &id);
    stream.write_all(text.as_bytes()).await.ok()?;
    send_forever(&mut stream, shape.forever).await;
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
