//! Test fixture: a backend server that answers with the bytes it is told to.
#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
    time::sleep,
};

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum RawStep {
    /// Sends this text. `{id}` stands for the id of the request, `{previous}` for that of the one
    /// before it on the connection.
    Send(String),
    /// Sends this text if the connection has carried a request with the same id before.
    SendIfRepeated(String),
    /// Sends this text again and again until the peer closes the connection.
    SendForever(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Sends this text.
pub fn text(text: &str) -> RawStep {
    RawStep::Send(text.to_owned())
}

/// A running server.
pub struct RawServer {
    pub address: SocketAddr,
    /// Request ids by connection, in order of arrival.
    pub seen: Arc<Mutex<Vec<Vec<String>>>>,
}

impl RawServer {
    /// Starts a server that answers the n-th request with `answers[n]`, counted over all
    /// connections; the last answer repeats.
    pub async fn start(answers: Vec<Vec<RawStep>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (answers, all) = (Arc::new(answers), Arc::clone(&seen));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answers, seen) = (Arc::clone(&answers), Arc::clone(&all));
                tokio::spawn(async move { serve(stream, &answers, &seen).await });
            }
        });
        Self { address, seen }
    }

    /// Request ids by connection.
    pub async fn ids(&self) -> Vec<Vec<String>> {
        self.seen.lock().await.clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    answers: &[Vec<RawStep>],
    seen: &Mutex<Vec<Vec<String>>>,
) -> Option<()> {
    let connection = {
        let mut seen = seen.lock().await;
        seen.push(Vec::new());
        seen.len() - 1
    };
    loop {
        let id = read_head(&mut stream).await?;
        let (number, previous, is_repeated) = {
            let mut seen = seen.lock().await;
            let number: usize = seen.iter().map(Vec::len).sum();
            let previous = seen[connection].last().cloned().unwrap_or_default();
            let is_repeated = seen[connection].contains(&id);
            seen[connection].push(id.clone());
            (number, previous, is_repeated)
        };
        let answer = answers.get(number).or(answers.last())?;
        for step in answer {
            match step {
                RawStep::SendIfRepeated(_) if !is_repeated => {}
                RawStep::Send(text) | RawStep::SendIfRepeated(text) => {
                    let text = text.replace("{id}", &id).replace("{previous}", &previous);
                    stream.write_all(text.as_bytes()).await.ok()?;
                }
                RawStep::SendForever(text) => {
                    let text = text.replace("{previous}", &previous);
                    let block = text.repeat(1024 / text.len() + 1);
                    loop {
                        stream.write_all(block.as_bytes()).await.ok()?;
                    }
                }
                RawStep::Wait(time) => sleep(*time).await,
                RawStep::Close => return None,
                RawStep::Reset => {
                    stream.set_zero_linger().ok()?;
                    return None;
                }
            }
        }
    }
}

/// Reads a request without a body; returns its id.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    Some(id.unwrap_or_default().to_owned())
}
