//! Requests as they arrived.

use super::script::BackendFault;
use std::io;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncRead, AsyncReadExt};

/// The largest head that is read, in bytes.
const MAX_HEAD: usize = 256 * 1024;
/// How much of a body is kept, in bytes.
const KEPT_BODY: usize = 4 * 1024;

/// One request as it arrived.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SeenRequest {
    /// Which connection brought it, counted from 0.
    pub connection: u64,
    /// Its head, as it was sent.
    pub head: String,
    /// Bytes of its body that arrived.
    pub body_bytes: u64,
    /// The start of its body.
    pub body: Vec<u8>,
    /// Whether its body ended as its framing says.
    pub whole: bool,
    /// How its answer was broken.
    pub fault: BackendFault,
    /// The status of its refusal; absent if it ran.
    pub refusal: Option<u16>,
}

impl SeenRequest {
    /// The value of the first header called `name`.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Whether the request ran: everything but a refusal counts as a run.
    pub fn has_run(&self) -> bool {
        self.refusal.is_none()
    }

    /// The request line.
    pub fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    fn keep(&mut self, bytes: &[u8]) {
        self.body_bytes += bytes.len() as u64;
        let room = KEPT_BODY.saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

/// Reads a head; nothing when the connection ends before one.
pub(crate) async fn read_head<R>(reader: &mut R) -> io::Result<Option<SeenRequest>>
where
    R: AsyncBufRead + Unpin,
{
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let count = reader.read_until(b'\n', &mut head).await?;
        if count == 0 || head.len() > MAX_HEAD {
            return Ok(None);
        }
    }
    Ok(Some(SeenRequest {
        head: String::from_utf8_lossy(&head).into_owned(),
        ..SeenRequest::default()
    }))
}

/// Reads the body of `seen` into it, as far as it comes.
pub(crate) async fn read_body<R>(reader: &mut R, seen: &mut SeenRequest) -> io::Result<()>
where
    R: AsyncBufRead + Unpin,
{
    if seen.header("transfer-encoding").is_some() {
        read_chunks(reader, seen).await?;
    } else {
        let length = seen.header("content-length");
        let length = length.map_or(Ok(0), str::parse).map_err(io::Error::other)?;
        read_sized(reader, seen, length).await?;
    }
    seen.whole = true;
    Ok(())
}

async fn read_chunks<R>(reader: &mut R, seen: &mut SeenRequest) -> io::Result<()>
where
    R: AsyncBufRead + Unpin,
{
    loop {
        let size = read_chunk_size(reader).await?;
        read_sized(reader, seen, size).await?;
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        if size == 0 {
            return Ok(());
        }
    }
}

async fn read_chunk_size<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<u64> {
    let mut line = String::new();
    reader.read_line(&mut line).await?;
    u64::from_str_radix(line.trim(), 16).map_err(io::Error::other)
}

async fn read_sized<R>(reader: &mut R, seen: &mut SeenRequest, size: u64) -> io::Result<()>
where
    R: AsyncRead + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    let mut missing = size;
    while missing > 0 {
        let wanted = buffer.len().min(missing as usize);
        let count = reader.read(&mut buffer[..wanted]).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        seen.keep(&buffer[..count]);
        missing -= count as u64;
    }
    Ok(())
}
