//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether its body ended as its framing says.
    pub whole: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

/// A response as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub whole: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// Reads up to and with the empty line that ends a head.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > 64 * 1024 || stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn split_headers(head: &str) -> Vec<(String, String)> {
    head.lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect()
}

fn read_exact(stream: &mut TcpStream, count: usize, body: &mut Vec<u8>) -> bool {
    let mut buffer = vec![0; count];
    let mut got = 0;
    while got < count {
        match stream.read(&mut buffer[got..]) {
            Ok(read) if read > 0 => got += read,
            _ => break,
        }
    }
    body.extend_from_slice(&buffer[..got]);
    got == count
}

fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&line).trim().to_owned())
}

/// Reads a body by its headers. Returns whether it is whole.
fn read_body(stream: &mut TcpStream, headers: &[(String, String)], body: &mut Vec<u8>) -> bool {
    if find_header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let Some(size) = read_line(stream)
                .and_then(|line| usize::from_str_radix(line.split(';').next()?.trim(), 16).ok())
            else {
                return false;
            };
            if size > 0 && !read_exact(stream, size, body) {
                return false;
            }
            if read_line(stream).is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }
    let length = find_header(headers, "content-length").parse().unwrap_or(0);
    read_exact(stream, length, body)
}

pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let head = read_head(stream)?;
    let mut words = head.lines().next()?.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers: split_headers(&head),
        ..Request::default()
    };
    let headers = request.headers.clone();
    request.whole = read_body(stream, &headers, &mut request.body);
    Some(request)
}

/// Writes a response with a length. Returns whether the connection still works.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut text = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Sends bytes on a new connection and reads one response. `None` if the connection failed or ended
/// without a response head.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Response> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = limit.checked_sub(started.elapsed())?;
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    stream.write_all(bytes).ok()?;
    read_response(&mut stream)
}

pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let head = read_head(stream)?;
    let mut response = Response {
        status: head.split(' ').nth(1)?.parse().ok()?,
        headers: split_headers(&head),
        ..Response::default()
    };
    let headers = response.headers.clone();
    response.whole = read_body(stream, &headers, &mut response.body);
    Some(response)
}

/// The decoded value of a query parameter.
pub fn query_value(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value)
        .next();
    let mut decoded = Vec::new();
    let bytes = found.unwrap_or("").as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|code| std::str::from_utf8(code).ok())
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        decoded.push(escaped.unwrap_or(bytes[at]));
        at += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"")
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
