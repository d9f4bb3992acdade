//! Strict validation of request framing, before the HTTP server parses the bytes.
//!
//! The HTTP server accepts syntax that a backend server may interpret differently, such as bare
//! line feeds, which allows request smuggling. The guard tracks the framing of each request and
//! forwards only unambiguous bytes; trailers and chunk extensions are removed.

use ntex::util::BytesMut;
use thiserror::Error;

/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum total size of the trailers, in bytes.
const MAX_TRAILERS: usize = 8 * 1024;
/// A line that every HTTP parser rejects as part of a head.
const MALFORMED_LINE: &[u8] = b"\0\r\n";

/// The framing of a body is malformed; the connection cannot be used further.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("malformed framing of a request body")]
pub(crate) struct FramingError;

/// Position of the next byte within a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum GuardState {
    /// Request line or headers.
    Head,
    /// Body with `content-length`; the number is the count of remaining bytes.
    Sized(u64),
    /// Chunk size line.
    ChunkLine,
    /// Chunk data; the number is the count of remaining bytes.
    Chunk(u64),
    /// Line end after the chunk data.
    ChunkEnd,
    /// Trailers after the last chunk.
    Trailers,
    /// Head above the size limit; it is passed on for the HTTP server to refuse.
    OversizedHead,
    /// After the last request on this connection; further bytes are discarded.
    Closed,
}

/// Framing of the body as declared by the head.
#[derive(Clone, Copy, Debug, Default)]
struct HeadFraming {
    lines: u32,
    length: Option<u64>,
    chunked: bool,
    upgrade: bool,
}

/// Validates the framing of the requests on one connection.
#[derive(Debug)]
pub(crate) struct FrameGuard {
    state: GuardState,
    line: Vec<u8>,
    framing: HeadFraming,
    /// Bytes read so far of the current head or of the current trailers.
    section_bytes: usize,
    max_head: usize,
}

impl FrameGuard {
    /// Creates a guard for a new connection, with the size limit of a head in bytes.
    pub(crate) fn new(max_head: usize) -> Self {
        Self {
            state: GuardState::Head,
            line: Vec::new(),
            framing: HeadFraming::default(),
            section_bytes: 0,
            max_head,
        }
    }

    /// Whether the connection is between two requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.state == GuardState::Head && self.framing.lines == 0 && self.line.is_empty()
    }

    /// Whether all further bytes are discarded.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == GuardState::Closed
    }

    /// Discards all further bytes.
    pub(crate) fn close(&mut self) {
        self.state = GuardState::Closed;
    }

    /// If more than `count` bytes of body data remain, consumes `count` of them and returns `true`:
    /// they pass unchanged.
    pub(crate) fn skip_body(&mut self, count: usize) -> bool {
        match self.state {
            GuardState::Sized(left) | GuardState::Chunk(left) if left > count as u64 => {
                self.consume_body(count);
                true
            }
            _ => false,
        }
    }

    /// Processes `input` and appends the validated bytes to `output`.
    ///
    /// A malformed head is replaced by a line that the HTTP server rejects.
    ///
    /// # Errors
    /// [`FramingError`] if the framing of a body is malformed.
    pub(crate) fn feed(
        &mut self,
        mut input: &[u8],
        output: &mut BytesMut,
    ) -> Result<(), FramingError> {
        while !input.is_empty() {
            let taken = match self.state {
                GuardState::Closed => input.len(),
                GuardState::OversizedHead => {
                    output.extend_from_slice(input);
                    input.len()
                }
                GuardState::Sized(left) | GuardState::Chunk(left) => {
                    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    output.extend_from_slice(&input[..count]);
                    self.consume_body(count);
                    count
                }
                _ => self.feed_line(input, output)?,
            };
            input = &input[taken..];
        }
        Ok(())
    }

    fn consume_body(&mut self, count: usize) {
        self.state = match self.state {
            GuardState::Sized(left) if left == count as u64 => self.next_request(),
            GuardState::Sized(left) => GuardState::Sized(left - count as u64),
            GuardState::Chunk(left) if left == count as u64 => GuardState::ChunkEnd,
            GuardState::Chunk(left) => GuardState::Chunk(left - count as u64),
            other => other,
        };
    }

    fn next_request(&mut self) -> GuardState {
        self.framing = HeadFraming::default();
        self.section_bytes = 0;
        GuardState::Head
    }

    /// Buffers input up to a line feed and processes the line once complete; returns the bytes
    /// taken.
    fn feed_line(&mut self, input: &[u8], output: &mut BytesMut) -> Result<usize, FramingError> {
        let end = input.iter().position(|byte| *byte == b'\n');
        let taken = end.map_or(input.len(), |at| at + 1);
        self.line.extend_from_slice(&input[..taken]);
        self.section_bytes += taken;
        self.check_size(output)?;
        if end.is_some() && self.state != GuardState::OversizedHead {
            let line = std::mem::take(&mut self.line);
            self.read_line(&line, output)?;
        }
        Ok(taken)
    }

    fn check_size(&mut self, output: &mut BytesMut) -> Result<(), FramingError> {
        match self.state {
            GuardState::Head if self.section_bytes > self.max_head => {
                output.extend_from_slice(&self.line);
                self.line.clear();
                self.state = GuardState::OversizedHead;
                Ok(())
            }
            GuardState::ChunkLine if self.line.len() > MAX_CHUNK_LINE => Err(FramingError),
            GuardState::ChunkEnd if self.line.len() > 2 => Err(FramingError),
            GuardState::Trailers if self.section_bytes > MAX_TRAILERS => Err(FramingError),
            _ => Ok(()),
        }
    }

    fn read_line(&mut self, line: &[u8], output: &mut BytesMut) -> Result<(), FramingError> {
        let text = plain_line(line);
        match self.state {
            GuardState::Head => {
                self.state = self.read_head_line(text, line, output);
                Ok(())
            }
            GuardState::ChunkLine => self.read_chunk_line(text.ok_or(FramingError)?, output),
            GuardState::ChunkEnd => {
                let text = text.filter(|text| text.is_empty());
                text.ok_or(FramingError)?;
                output.extend_from_slice(line);
                self.state = GuardState::ChunkLine;
                Ok(())
            }
            _ => {
                if text.ok_or(FramingError)?.is_empty() {
                    output.extend_from_slice(line);
                    self.state = self.next_request();
                }
                Ok(())
            }
        }
    }

    fn read_head_line(
        &mut self,
        text: Option<&[u8]>,
        line: &[u8],
        output: &mut BytesMut,
    ) -> GuardState {
        let Some(text) = text else {
            output.extend_from_slice(MALFORMED_LINE);
            return GuardState::Closed;
        };
        if text.is_empty() && self.framing.lines == 0 {
            // Empty lines before the request line are ignored (RFC 9112, 2.2).
            return GuardState::Head;
        }
        if text.is_empty() {
            output.extend_from_slice(line);
            return self.end_head();
        }
        if self.framing.lines > 0 && !self.framing.read_header(text) {
            output.extend_from_slice(MALFORMED_LINE);
            return GuardState::Closed;
        }
        self.framing.lines += 1;
        output.extend_from_slice(line);
        GuardState::Head
    }

    fn end_head(&mut self) -> GuardState {
        self.section_bytes = 0;
        match self.framing {
            HeadFraming { upgrade: true, .. } => GuardState::Closed,
            HeadFraming { chunked: true, .. } => GuardState::ChunkLine,
            HeadFraming {
                length: Some(length @ 1..),
                ..
            } => GuardState::Sized(length),
            _ => self.next_request(),
        }
    }

    fn read_chunk_line(&mut self, text: &[u8], output: &mut BytesMut) -> Result<(), FramingError> {
        let digits = text.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = digits.trim_ascii_end();
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(FramingError);
        }
        let text = str::from_utf8(digits).map_err(|_| FramingError)?;
        let size = u64::from_str_radix(text, 16).map_err(|_| FramingError)?;
        // The HTTP server rejects a size of more than 16 digits.
        output.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        self.section_bytes = 0;
        self.state = if size == 0 {
            GuardState::Trailers
        } else {
            GuardState::Chunk(size)
        };
        Ok(())
    }
}

impl HeadFraming {
    /// Parses a header line; returns `false` if it is malformed or conflicts with an earlier one.
    fn read_header(&mut self, text: &[u8]) -> bool {
        let Some(colon) = text.iter().position(|byte| *byte == b':') else {
            return false;
        };
        let (name, value) = (&text[..colon], text[colon + 1..].trim_ascii());
        if name.is_empty() || !name.iter().all(|byte| is_token(*byte)) {
            return false;
        }
        match name.to_ascii_lowercase().as_slice() {
            b"content-length" => self.read_length(value),
            b"transfer-encoding" => self.read_coding(value),
            b"upgrade" => {
                self.upgrade = true;
                true
            }
            _ => true,
        }
    }

    fn read_length(&mut self, value: &[u8]) -> bool {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = str::from_utf8(value).ok().filter(|_| digits);
        let length = text.and_then(|text| text.parse().ok());
        let single = self.length.is_none() && !self.chunked;
        self.length = length;
        single && length.is_some()
    }

    fn read_coding(&mut self, value: &[u8]) -> bool {
        let single = self.length.is_none() && !self.chunked;
        self.chunked = true;
        single && value.eq_ignore_ascii_case(b"chunked")
    }
}

/// Returns the line without its line end, or `None` if it ends in a bare line feed or contains a
/// control character.
fn plain_line(line: &[u8]) -> Option<&[u8]> {
    let text = line.strip_suffix(b"\r\n")?;
    let plain = text
        .iter()
        .all(|byte| *byte == b'\t' || (*byte >= 0x20 && *byte != 0x7f));
    plain.then_some(text)
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
