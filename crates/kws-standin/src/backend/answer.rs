//! Answers, whole or broken.

use super::{
    refusal::MISDIRECTED,
    script::{BackendFault, BackendScript, BodyFraming},
};
use std::{fmt::Write, future::pending, io, time::Duration};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    time::sleep,
};

/// The name of the request that answers are for.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSubject {
    /// The identifier of the request.
    pub(crate) id: String,
    /// Whether the request asked for the head only.
    pub(crate) head_only: bool,
    /// The status with which the request is refused; absent if it runs.
    pub(crate) refusal: Option<u16>,
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AfterAnswer {
    /// It takes another request.
    Reuse,
    /// It ends.
    Close,
}

/// Writes the answer of `script` for `subject`.
pub(crate) async fn write_answer<W>(
    writer: &mut W,
    script: &BackendScript,
    subject: &AnswerSubject,
) -> io::Result<AfterAnswer>
where
    W: AsyncWrite + Unpin,
{
    pause(script.delay()).await;
    if let Some(status) = subject.refusal {
        let answer = refusal_answer(status, script, subject);
        writer.write_all(answer.as_bytes()).await?;
        return Ok(AfterAnswer::Reuse);
    }
    match script.fault {
        BackendFault::CutHead => return Ok(AfterAnswer::Close),
        BackendFault::SilentHead => return pending().await,
        _ => {}
    }
    writer.write_all(head(script, subject).as_bytes()).await?;
    if subject.head_only {
        return Ok(AfterAnswer::Reuse);
    }
    write_body(writer, script, subject).await
}

/// Waits; even a sleep of no time would take the timer's next tick.
pub(crate) async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// The refusal of a request, which promises that it did not run.
pub(crate) fn refusal_answer(
    status: u16,
    script: &BackendScript,
    subject: &AnswerSubject,
) -> String {
    let reason = match status {
        MISDIRECTED => "Misdirected Request",
        _ => "Service Unavailable",
    };
    let mut answer = format!("HTTP/1.1 {status} {reason}\r\n");
    answer.push_str("knapweedseam-run: not run\r\ncontent-length: 0\r\n");
    if script.echo_id {
        let _ = write!(answer, "{}: {}\r\n", script.id_header, subject.id);
    }
    for (name, value) in script.headers.iter().chain(&script.refusal_headers) {
        let _ = write!(answer, "{name}: {value}\r\n");
    }
    answer.push_str("\r\n");
    answer
}

fn head(script: &BackendScript, subject: &AnswerSubject) -> String {
    let old = script.framing == BodyFraming::OldLength;
    let version = if old { "1.0" } else { "1.1" };
    let mut head = format!("HTTP/{version} {} Scripted\r\n", script.status);
    let mut add = |name: &str, value: &str| {
        let _ = write!(head, "{name}: {value}\r\n");
    };
    match script.framing {
        BodyFraming::Length | BodyFraming::OldLength => {
            add("content-length", &script.body_bytes.to_string());
        }
        BodyFraming::Chunked => add("transfer-encoding", "chunked"),
        BodyFraming::Close => add("connection", "close"),
    }
    if script.echo_id {
        add(&script.id_header, &subject.id);
    }
    if script.draining {
        add("connection", "close");
        add("knapweedseam-drain", "1");
    }
    for (name, value) in &script.headers {
        add(name, value);
    }
    head.push_str("\r\n");
    head
}

/// The body repeats the identifier of the request; a wrong one repeats another.
fn pattern(script: &BackendScript, subject: &AnswerSubject) -> Vec<u8> {
    if script.fault == BackendFault::Wrong {
        return b"wrong;".to_vec();
    }
    format!("{};", subject.id).into_bytes()
}

async fn write_body<W>(
    writer: &mut W,
    script: &BackendScript,
    subject: &AnswerSubject,
) -> io::Result<AfterAnswer>
where
    W: AsyncWrite + Unpin,
{
    let pattern = pattern(script, subject);
    let stop = match script.fault {
        BackendFault::CutBody(bytes) | BackendFault::SilentBody(bytes) => bytes,
        _ => script.body_bytes,
    };
    let mut written = 0;
    while written < stop {
        let size = script.piece_bytes.clamp(1, stop - written);
        let piece: Vec<u8> = (written..written + size)
            .map(|at| pattern[at as usize % pattern.len()])
            .collect();
        write_piece(writer, script.framing, &piece).await?;
        written += size;
        pause(script.piece_delay()).await;
    }
    end_body(writer, script).await
}

async fn write_piece<W>(writer: &mut W, framing: BodyFraming, piece: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    if framing != BodyFraming::Chunked {
        return writer.write_all(piece).await;
    }
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    writer.write_all(&chunk).await
}

async fn end_body<W>(writer: &mut W, script: &BackendScript) -> io::Result<AfterAnswer>
where
    W: AsyncWrite + Unpin,
{
    match script.fault {
        BackendFault::CutBody(_) => return Ok(AfterAnswer::Close),
        BackendFault::SilentBody(_) => return pending().await,
        _ => {}
    }
    if script.framing == BodyFraming::Chunked {
        writer.write_all(b"0\r\n\r\n").await?;
    }
    if script.fault == BackendFault::ExtraBytes {
        let extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
        writer.write_all(extra.as_bytes()).await?;
    }
    let closes = matches!(script.framing, BodyFraming::Close | BodyFraming::OldLength)
        || script.draining
        || script.fault == BackendFault::Early;
    Ok(if closes {
        AfterAnswer::Close
    } else {
        AfterAnswer::Reuse
    })
}
