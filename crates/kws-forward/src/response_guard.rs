//! Tracks the framing of a backend server's responses, before the HTTP client parses the bytes.
//!
//! The client reads a chunk extension, a trailer or a line of a head to its end, however long. The
//! guard bounds each of them, removes extensions and trailers, and drops responses that carry the
//! id of an earlier request on the connection: copies that the server sent late.

use crate::control::ExtraResponseKind;
use ntex::util::BytesMut;
use std::{collections::VecDeque, mem, ops::RangeInclusive};
use thiserror::Error;

/// The statuses for which HTTP defines a class.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Maximum size of a response head, in bytes.
const MAX_HEAD: usize = 64 * 1024;
/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum total size of the trailers, in bytes.
const MAX_TRAILERS: usize = 8 * 1024;
/// Maximum number of bytes after the end of a response. The client discards the connection when it
/// wants to use it again; until then it would read them without end.
const MAX_SURPLUS: usize = 1024;
/// Number of these bytes that are passed on: the client sees them, and together with the head of a
/// response they are no head. An empty line is harmless.
const PASSED_SURPLUS: usize = 2;
/// Maximum number of copies that are dropped before the expected response.
const MAX_DROPPED: u32 = 4;
/// Maximum total size of these copies, in bytes. While bytes are dropped the connection is read without
/// a pause: nothing fills up that would stop the reads, and the worker serves nobody else.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;
/// Number of earlier requests on a connection of which copies are known.
const MAX_EARLIER: usize = 4;

/// The bytes are no response, or not the one that was asked for.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum ResponseFault {
    /// A line or the head is too long.
    #[error("a line of the response is too long")]
    TooLong,
    /// The framing is malformed.
    #[error("malformed framing of the response")]
    Malformed,
    /// Bytes that belong to no response.
    #[error("bytes after the end of the response")]
    Surplus,
    /// Too many copies of earlier responses, too large ones, or one whose end is unknown.
    #[error("too many copies of earlier responses, or too large ones")]
    Copies,
}

/// Position of the next byte from the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseState {
    /// No response is expected: none was asked for, or it is complete.
    Idle,
    /// Status line or headers.
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
    /// Body that ends with the connection.
    UntilClose,
}

/// The request that the next response belongs to.
#[derive(Clone, Debug, Default)]
struct ExpectedResponse {
    /// Whether the response has no body whatever its head says.
    bodiless: bool,
    /// Value of the request's id header.
    id: Option<Vec<u8>>,
}

/// What the head of a response says of its framing.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseHead {
    status: u16,
    length: Option<u64>,
    chunked: bool,
    /// Index of the earlier request whose id it carries, if any.
    copied: Option<usize>,
}

/// Tracks the requests and responses of one connection to a backend server.
#[derive(Debug)]
pub(crate) struct ResponseGuard {
    id_header: &'static str,
    state: ResponseState,
    expected: ExpectedResponse,
    /// The latest requests with an id before the expected response's.
    earlier: VecDeque<ExpectedResponse>,
    /// Bytes of the current request's body that are still to be sent.
    request_body: u64,
    /// Whether the end of the requests can't be followed any more. The connection isn't reused.
    last_request: bool,
    line: Vec<u8>,
    /// The head so far; passed on once it is known whose response it is.
    head: Vec<u8>,
    head_lines: u32,
    response: ResponseHead,
    /// Whether the current response is dropped.
    dropping: bool,
    dropped: u32,
    dropped_bytes: usize,
    section_bytes: usize,
    /// Bytes received while no response was expected.
    surplus: usize,
    /// Extra responses that were found and not taken yet.
    extra: Vec<FoundResponse>,
}

/// An extra response as the guard sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FoundResponse {
    /// What it is.
    pub(crate) kind: ExtraResponseKind,
    /// The id of the request that it was a response to.
    pub(crate) request_id: String,
    /// The id of the request whose response was expected, if any.
    pub(crate) expected_id: Option<String>,
    /// Its status; 0 if its head was not read.
    pub(crate) status: u16,
}

impl ResponseGuard {
    /// Creates the guard of a new connection. `id_header` is the name of the header that carries
    /// request ids, in lower case.
    pub(crate) fn new(id_header: &'static str) -> Self {
        Self {
            id_header,
            state: ResponseState::Idle,
            expected: ExpectedResponse::default(),
            earlier: VecDeque::new(),
            request_body: 0,
            last_request: false,
            line: Vec::new(),
            head: Vec::new(),
            head_lines: 0,
            response: ResponseHead::default(),
            dropping: false,
            dropped: 0,
            dropped_bytes: 0,
            section_bytes: 0,
            surplus: 0,
            extra: Vec::new(),
        }
    }

    /// Records bytes that are written to the server. The client writes a head in one piece.
    pub(crate) fn record_write<'a>(&mut self, pages: impl Iterator<Item = &'a [u8]> + Clone) {
        let count: usize = pages.clone().map(<[u8]>::len).sum();
        if count == 0 || self.last_request {
            return;
        }
        if self.request_body > 0 {
            self.request_body = self.request_body.saturating_sub(count as u64);
            return;
        }
        self.begin_request(&pages.collect::<Vec<_>>().concat());
    }

    fn begin_request(&mut self, bytes: &[u8]) {
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(head_end) = head_end else {
            self.last_request = true;
            self.expected = ExpectedResponse::default();
            return self.begin_response();
        };
        let head = &bytes[..head_end];
        if self.expected.id.is_some() {
            self.earlier.push_back(mem::take(&mut self.expected));
            if self.earlier.len() > MAX_EARLIER {
                self.earlier.pop_front();
            }
        }
        let mut length = 0;
        self.expected = ExpectedResponse {
            bodiless: head.starts_with(b"HEAD "),
            id: None,
        };
        for (name, value) in head.split(|byte| *byte == b'\n').filter_map(split_header) {
            if name.eq_ignore_ascii_case(b"content-length") {
                length = parse_decimal(value).unwrap_or_default();
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                self.last_request = true;
            } else if name.eq_ignore_ascii_case(self.id_header.as_bytes()) {
                self.expected.id = Some(value.to_vec());
            }
        }
        let sent = (bytes.len() - head_end - 4) as u64;
        self.request_body = length.saturating_sub(sent);
        self.dropped = 0;
        self.dropped_bytes = 0;
        self.begin_response();
    }

    fn begin_response(&mut self) {
        self.state = ResponseState::Head;
        self.line.clear();
        self.head.clear();
        self.head_lines = 0;
        self.section_bytes = 0;
        self.response = ResponseHead::default();
        self.dropping = false;
    }

    /// If more than `count` bytes of body data remain, consumes `count` of them and returns `true`:
    /// they pass unchanged.
    pub(crate) fn skip_body(&mut self, count: usize) -> bool {
        match self.state {
            ResponseState::Sized(left) | ResponseState::Chunk(left)
                if left > count as u64 && !self.dropping =>
            {
                self.consume_body(count);
                true
            }
            _ => false,
        }
    }

    /// Processes bytes from the server and appends those of the expected response to `output`.
    /// A few bytes that no response is expected for pass as well: the client then discards the
    /// connection.
    ///
    /// # Errors
    /// [`ResponseFault`] if the bytes are no response; the connection must be closed.
    pub(crate) fn feed(
        &mut self,
        mut input: &[u8],
        output: &mut BytesMut,
    ) -> Result<(), ResponseFault> {
        while !input.is_empty() {
            let taken = match self.state {
                ResponseState::Idle => self.take_surplus(input, output)?,
                ResponseState::UntilClose => {
                    output.extend_from_slice(input);
                    input.len()
                }
                ResponseState::Sized(left) | ResponseState::Chunk(left) => {
                    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    self.pass(&input[..count], output);
                    self.consume_body(count);
                    count
                }
                _ => self.feed_line(input, output)?,
            };
            self.count_dropped(taken)?;
            input = &input[taken..];
        }
        Ok(())
    }

    fn count_dropped(&mut self, count: usize) -> Result<(), ResponseFault> {
        if self.dropping {
            self.dropped_bytes += count;
        }
        if self.dropped_bytes > MAX_DROPPED_BYTES {
            return Err(ResponseFault::Copies);
        }
        Ok(())
    }

    /// Passes the first bytes of a surplus, by which the client sees that it can't use the connection
    /// again. More of them end the connection.
    fn take_surplus(
        &mut self,
        input: &[u8],
        output: &mut BytesMut,
    ) -> Result<usize, ResponseFault> {
        if self.surplus >= MAX_SURPLUS {
            return Err(ResponseFault::Surplus);
        }
        if self.surplus == 0 {
            self.extra.push(FoundResponse {
                kind: ExtraResponseKind::Unexpected,
                request_id: self.expected_id().unwrap_or_default(),
                expected_id: None,
                status: 0,
            });
        }
        let passed = input.len().min(PASSED_SURPLUS.saturating_sub(self.surplus));
        output.extend_from_slice(&input[..passed]);
        self.surplus += input.len();
        Ok(input.len())
    }

    /// Takes the extra responses found since the last call.
    pub(crate) fn take_extra(&mut self) -> Vec<FoundResponse> {
        mem::take(&mut self.extra)
    }

    fn expected_id(&self) -> Option<String> {
        self.expected.id.as_deref().map(readable_id)
    }

    fn pass(&self, bytes: &[u8], output: &mut BytesMut) {
        if !self.dropping {
            output.extend_from_slice(bytes);
        }
    }

    fn consume_body(&mut self, count: usize) {
        let count = count as u64;
        match self.state {
            ResponseState::Sized(left) if left == count => self.end_response(),
            ResponseState::Sized(left) => self.state = ResponseState::Sized(left - count),
            ResponseState::Chunk(left) if left == count => self.state = ResponseState::ChunkEnd,
            ResponseState::Chunk(left) => self.state = ResponseState::Chunk(left - count),
            _ => {}
        }
    }

    /// Ends the current response. After a dropped one the expected one may still follow.
    fn end_response(&mut self) {
        if self.dropping {
            self.begin_response();
        } else {
            self.state = ResponseState::Idle;
        }
    }

    /// Buffers input up to a line feed and processes the line once complete; returns the bytes
    /// taken.
    fn feed_line(&mut self, input: &[u8], output: &mut BytesMut) -> Result<usize, ResponseFault> {
        let end = input.iter().position(|byte| *byte == b'\n');
        let taken = end.map_or(input.len(), |at| at + 1);
        let is_too_long = match self.state {
            ResponseState::ChunkLine => self.line.len() + taken > MAX_CHUNK_LINE,
            ResponseState::ChunkEnd => self.line.len() + taken > 2,
            ResponseState::Trailers => self.section_bytes + taken > MAX_TRAILERS,
            _ => self.section_bytes + taken > MAX_HEAD,
        };
        if is_too_long {
            return Err(ResponseFault::TooLong);
        }
        self.section_bytes += taken;
        self.line.extend_from_slice(&input[..taken]);
        if end.is_some() {
            let line = mem::take(&mut self.line);
            self.read_line(&line, output)?;
        }
        Ok(taken)
    }

    fn read_line(&mut self, line: &[u8], output: &mut BytesMut) -> Result<(), ResponseFault> {
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        match self.state {
            ResponseState::Head => self.read_head_line(text, line, output),
            ResponseState::ChunkLine => self.read_chunk_line(text, output),
            ResponseState::ChunkEnd if text.is_empty() => {
                self.pass(b"\r\n", output);
                self.section_bytes = 0;
                self.state = ResponseState::ChunkLine;
                Ok(())
            }
            ResponseState::ChunkEnd => Err(ResponseFault::Malformed),
            _ => {
                if text.is_empty() {
                    self.pass(b"0\r\n\r\n", output);
                    self.end_response();
                }
                Ok(())
            }
        }
    }

    fn read_head_line(
        &mut self,
        text: &[u8],
        line: &[u8],
        output: &mut BytesMut,
    ) -> Result<(), ResponseFault> {
        self.head.extend_from_slice(line);
        if self.head_lines == 0 {
            self.response.status = read_status(text).ok_or(ResponseFault::Malformed)?;
        } else if text.is_empty() {
            return self.end_head(output);
        } else if let Some((name, value)) = split_header(text) {
            self.read_header(name, value);
        }
        self.head_lines += 1;
        Ok(())
    }

    /// Takes what the framing depends on. The client refuses contradictions.
    fn read_header(&mut self, name: &[u8], value: &[u8]) {
        if name.eq_ignore_ascii_case(b"content-length") {
            self.response.length = parse_decimal(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.response.chunked = value.eq_ignore_ascii_case(b"chunked");
        } else if name.eq_ignore_ascii_case(self.id_header.as_bytes()) {
            let is_expected = self.expected.id.as_deref() == Some(value);
            let mut earlier = self.earlier.iter();
            let earlier = earlier.position(|request| request.id.as_deref() == Some(value));
            self.response.copied = self.response.copied.or(earlier.filter(|_| !is_expected));
        }
    }

    fn end_head(&mut self, output: &mut BytesMut) -> Result<(), ResponseFault> {
        let copied = self
            .response
            .copied
            .map(|index| self.earlier[index].clone());
        self.dropping = copied.is_some();
        let is_bodiless_request = copied.as_ref().unwrap_or(&self.expected).bodiless;
        if let Some(ExpectedResponse { id: Some(id), .. }) = copied {
            self.extra.push(FoundResponse {
                kind: ExtraResponseKind::Copy,
                request_id: readable_id(&id),
                expected_id: self.expected_id(),
                status: self.response.status,
            });
            self.dropped += 1;
            if self.dropped > MAX_DROPPED {
                return Err(ResponseFault::Copies);
            }
        }
        let head = mem::take(&mut self.head);
        self.pass(&head, output);
        self.section_bytes = 0;
        match self.response {
            // Interim responses have no body, and the final one follows.
            ResponseHead { status, .. } if status < 200 => self.begin_response(),
            ResponseHead { status, .. } if is_bodiless(status) || is_bodiless_request => {
                self.end_response();
            }
            ResponseHead { chunked: true, .. } => self.state = ResponseState::ChunkLine,
            ResponseHead {
                length: Some(0), ..
            } => self.end_response(),
            ResponseHead {
                length: Some(length),
                ..
            } => self.state = ResponseState::Sized(length),
            _ if self.dropping => return Err(ResponseFault::Copies),
            _ => self.state = ResponseState::UntilClose,
        }
        Ok(())
    }

    fn read_chunk_line(&mut self, text: &[u8], output: &mut BytesMut) -> Result<(), ResponseFault> {
        let digits = text.split(|byte| *byte == b';').next().unwrap_or_default();
        let digits = str::from_utf8(digits.trim_ascii_end()).ok();
        let digits = digits.filter(|digits| digits.bytes().all(|byte| byte.is_ascii_hexdigit()));
        let size = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let size = size.ok_or(ResponseFault::Malformed)?;
        self.section_bytes = 0;
        if size == 0 {
            // Passed on with the end of the trailers.
            self.state = ResponseState::Trailers;
            return Ok(());
        }
        self.pass(format!("{size:x}\r\n").as_bytes(), output);
        self.state = ResponseState::Chunk(size);
        Ok(())
    }
}

fn readable_id(id: &[u8]) -> String {
    String::from_utf8_lossy(id).into_owned()
}

/// The status of a status line of HTTP/1: three digits, which stand for one of the five classes.
fn read_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.")?;
    let code = rest.get(2..5).filter(|_| rest[1] == b' ')?;
    let is_code = code.iter().all(u8::is_ascii_digit) && matches!(rest.get(5), None | Some(b' '));
    let status = str::from_utf8(code).ok().filter(|_| is_code)?.parse().ok();
    status.filter(|status| STATUSES.contains(status))
}

fn is_bodiless(status: u16) -> bool {
    matches!(status, 204 | 304)
}

/// The name and the trimmed value of a header line.
fn split_header(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    Some((&line[..colon], line[colon + 1..].trim_ascii()))
}

fn parse_decimal(value: &[u8]) -> Option<u64> {
    str::from_utf8(value).ok()?.parse().ok()
}
