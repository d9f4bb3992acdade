//! A caller that writes requests byte by byte.

use std::{io, net::SocketAddr};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The size of one read, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// What came back, as it was sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerAnswer {
    /// The bytes, with those that are no text replaced.
    pub text: String,
}

impl CallerAnswer {
    /// The status; 0 when there is none.
    pub fn status(&self) -> u16 {
        let code = self.text.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The value of the first header called `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// What follows the head.
    pub fn body(&self) -> &str {
        self.text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
    }

    /// Why the daemon answered by itself.
    pub fn reason(&self) -> &str {
        self.header("knapweedseam-reason").unwrap_or("")
    }

    /// What the daemon says of whether the request ran.
    pub fn run(&self) -> &str {
        self.header("knapweedseam-run").unwrap_or("")
    }

    /// Whether the framing says that the body is whole.
    pub fn is_whole(&self) -> bool {
        match self.header("content-length") {
            Some(length) => length.parse() == Ok(self.body().len()),
            None => self.body().ends_with("0\r\n\r\n"),
        }
    }
}

/// Reads until the connection ends, by a close or by a reset.
pub async fn read_to_end<R: AsyncRead + Unpin>(reader: &mut R) -> CallerAnswer {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        bytes.extend_from_slice(&buffer[..count]);
    }
    CallerAnswer {
        text: String::from_utf8_lossy(&bytes).into_owned(),
    }
}

/// A connection that is used for one request after the other.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl CallerConnection {
    /// Connects.
    ///
    /// # Errors
    /// When the connection cannot be made.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: vec![0; READ_BYTES],
        })
    }

    /// The connection without its buffer, to be held open.
    pub fn into_idle(self) -> TcpStream {
        self.stream
    }

    /// Sends a request and reads its answer, which must state its length.
    ///
    /// # Errors
    /// When the connection ends before the answer does.
    pub async fn exchange(&mut self, request: &str) -> io::Result<CallerAnswer> {
        self.send(request).await?;
        self.receive().await
    }

    /// Sends a request or a part of one.
    ///
    /// # Errors
    /// When the connection has ended.
    pub async fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads an answer, which must state its length.
    ///
    /// # Errors
    /// When the connection ends before the answer does.
    pub async fn receive(&mut self) -> io::Result<CallerAnswer> {
        let mut answer = CallerAnswer::default();
        while !(answer.text.contains("\r\n\r\n") && answer.is_whole()) {
            let count = self.stream.read(&mut self.buffer).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = String::from_utf8_lossy(&self.buffer[..count]);
            answer.text.push_str(&text);
        }
        Ok(answer)
    }
}
