//! Bytes without end that take the place of a response, or a part of it.

use crate::server::EndlessShape;

const fn broken(start: &'static str, forever: &'static str) -> EndlessShape {
    EndlessShape {
        second: false,
        start,
        forever,
        whole: false,
    }
}

const fn whole(start: &'static str, forever: &'static str) -> EndlessShape {
    EndlessShape {
        second: false,
        start,
        forever,
        whole: true,
    }
}

macro_rules! chunked {
    ($status:literal, $rest:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nrequest-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n",
            $rest
        )
    };
}

macro_rules! sized {
    ($status:literal, $lines:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\ncontent-length: 9000000000000000000\r\n",
            $lines,
            "\r\n"
        )
    };
}

/// Chunks of a few bytes.
pub const SMALL_CHUNKS: EndlessShape = broken(chunked!("200 OK", ""), "5\r\nright\r\n");

/// A copy of the response to the request before.
pub const COPIES: &[EndlessShape] = &[
    EndlessShape {
        second: true,
        ..broken(sized!("200 OK", "request-id: {previous}\r\n"), "right")
    },
    EndlessShape {
        second: true,
        ..broken(
            "HTTP/1.1 200 OK\r\nrequest-id: {previous}\r\ntransfer-encoding: chunked\r\n\r\n",
            "5\r\nright\r\n",
        )
    },
];
/// Answers of the store.
pub const STORE_ANSWERS: &[EndlessShape] = &[
    broken("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    broken("HTTP/1.1 200 OK\r\nx-a: ", "b"),
    broken("", "HTTP/1.1 100 Continue\r\n\r\n"),
    broken(chunked!("200 OK", "5;a="), "b"),
    broken(chunked!("200 OK", ""), "1;a=b\r\n \r\n"),
    broken(chunked!("200 OK", "0\r\nx-a: "), "b"),
    broken(chunked!("503 Busy", ""), "5\r\nright\r\n"),
    broken(sized!("200 OK", ""), " "),
    broken("HTTP/1.1 200 OK\r\n\r\n", " "),
    broken(chunked!("200 OK", ""), "5\r\nright\r\n"),
];
/// One of each kind.
pub const SHAPES: &[EndlessShape] = &[
    broken("", ""),
    SMALL_CHUNKS,
    broken("", "HTTP/1.1 200 OK"),
    broken("", "garbage"),
    broken("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    broken("HTTP/1.1 200 OK\r\nx-a: ", "b"),
    broken("", "HTTP/1.1 100 Continue\r\n\r\n"),
    broken("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    broken(chunked!("200 OK", ""), "5;a="),
    broken(chunked!("200 OK", "0\r\n"), "x-a: b\r\n"),
    broken(sized!("200 OK", "request-id: {id}\r\n"), "right"),
    broken(sized!("200 OK", "request-id: other\r\n"), "right"),
    broken("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n", "right"),
    broken("HTTP/1.0 200 OK\r\nrequest-id: {id}\r\n\r\n", "right"),
    broken(sized!("500 Failed", "request-id: {id}\r\n"), "right"),
    broken(
        sized!("503 Busy", "request-id: {id}\r\nnot-executed: 1\r\n"),
        "right",
    ),
    broken(chunked!("503 Busy", ""), "5\r\nright\r\n"),
    whole(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 5\r\n\r\nright",
        "more",
    ),
    whole(
        "HTTP/1.1 204 No Content\r\nrequest-id: {id}\r\n\r\n",
        "more",
    ),
    whole(
        "HTTP/1.1 304 Not Modified\r\nrequest-id: {id}\r\n\r\n",
        "more",
    ),
];
