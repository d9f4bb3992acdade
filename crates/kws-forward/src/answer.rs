//! Checks the head of a backend server's response and forwards it to the caller.

use crate::{
    answer_body::{AnswerBody, AnswerLength, AnswerSource, AnswerTimes, HeadBody},
    control::TryClass,
    head::strip_answer,
    single_try::{TryContext, TryEnd},
    try_guard::TryGuard,
};
use kws_dispatch::TryFailure;
use kws_protocol::{FlagHeader, HeaderDialect, RefusalReason, ResponseChecks};
use ntex::{
    client::ClientResponse,
    http::{
        HeaderMap, Method, Response, StatusCode, Version,
        body::{Body, BodySize},
        header,
    },
};
use std::rc::Rc;

/// Converts the response of a server into the response for the caller.
///
/// # Errors
/// A failed try if the server did not run the request or the response is invalid.
pub(crate) fn read_answer(
    context: TryContext<'_>,
    answer: &ClientResponse,
    times: AnswerTimes,
    mut guard: TryGuard,
) -> Result<Response, TryEnd> {
    let dialect = &context.worker.dialect;
    guard.head_came(is_draining(dialect, answer.headers()));
    let own = is_own(context, answer.headers());
    if own && let Some(class) = not_run_class(dialect, answer) {
        guard.finish(class);
        return Err(TryEnd::failed(TryFailure::ServerNotRun));
    }
    let passed = passed_answer(context, answer);
    let Some((headers, framing)) = passed.ok().filter(|_| own) else {
        guard.finish(TryClass::Bad);
        return Err(TryEnd::failed(TryFailure::BadAnswer));
    };
    Ok(build_response(
        context, answer, headers, framing, times, guard,
    ))
}

/// The headers to forward and the framing of a valid response.
///
/// # Errors
/// [`RefusalReason::BadAnswer`] for an invalid response.
fn passed_answer(
    context: TryContext<'_>,
    answer: &ClientResponse,
) -> Result<(HeaderMap, AnswerFraming), RefusalReason> {
    let headers = answer.headers();
    if answer.status().as_u16() < 200 {
        return Err(RefusalReason::BadAnswer);
    }
    if answer.status().is_success() && !satisfies(&context.route.checks, headers) {
        return Err(RefusalReason::BadAnswer);
    }
    let framing = answer_framing(&context.parts.method, answer)?;
    let mut headers = headers.clone();
    strip_answer(&mut headers, &context.worker.dialect)?;
    Ok((headers, framing))
}

/// The framing of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerFraming {
    /// No body follows, although the headers may declare a length.
    Bodiless(Option<AnswerLength>),
    /// A body with this length follows.
    Body(AnswerLength),
}

/// Determines the framing. A body needs a content length or chunked coding: one that ends with the
/// connection can't be told from a truncated one and is rejected.
fn answer_framing(
    method: &Method,
    answer: &ClientResponse,
) -> Result<AnswerFraming, RefusalReason> {
    let length = stated_length(answer)?;
    let status = answer.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(AnswerFraming::Bodiless(None));
    }
    if method == Method::HEAD {
        return Ok(AnswerFraming::Bodiless(length));
    }
    length
        .map(AnswerFraming::Body)
        .ok_or(RefusalReason::BadAnswer)
}

fn stated_length(answer: &ClientResponse) -> Result<Option<AnswerLength>, RefusalReason> {
    let headers = answer.headers();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING);
    let mut lengths = headers.get_all(header::CONTENT_LENGTH);
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                && codings.next().is_none()
                && answer.version() == Version::HTTP_11;
            chunked
                .then_some(Some(AnswerLength::Chunked))
                .ok_or(RefusalReason::BadAnswer)
        }
        (None, Some(length)) if lengths.next().is_none() => {
            let bytes = length
                .to_str()
                .ok()
                .and_then(|text| text.trim().parse().ok());
            let bytes = bytes.ok_or(RefusalReason::BadAnswer)?;
            Ok(Some(AnswerLength::Sized(bytes)))
        }
        _ => Err(RefusalReason::BadAnswer),
    }
}

/// The class of a response that states that the server did not run the request, if it does.
fn not_run_class(dialect: &HeaderDialect, answer: &ClientResponse) -> Option<TryClass> {
    let status = answer.status();
    if dialect.expected_server.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return Some(TryClass::Misdirected);
    }
    let refused = status.is_client_error() || status.is_server_error();
    (refused && has_mark(answer.headers(), dialect.not_run)).then_some(TryClass::NotRun)
}

fn is_draining(dialect: &HeaderDialect, headers: &HeaderMap) -> bool {
    dialect.draining.is_some_and(|mark| has_mark(headers, mark))
}

fn has_mark(headers: &HeaderMap, mark: FlagHeader) -> bool {
    headers
        .get(mark.name)
        .is_some_and(|value| mark.matches(value.as_bytes()))
}

/// Whether the response belongs to this request. A server that has echoed a request id before must
/// echo the id of this request.
fn is_own(context: TryContext<'_>, headers: &HeaderMap) -> bool {
    let pool = &context.worker.pool;
    let address = context.grant.address;
    let name = context.worker.dialect.request_id;
    let mut echoes = headers.get_all(name).peekable();
    if echoes.peek().is_none() {
        return !pool.names_requests(address);
    }
    let own = echoes.all(|echo| echo.as_bytes() == context.request_id.as_bytes());
    if own {
        pool.note_naming(address);
    }
    own
}

fn satisfies(checks: &ResponseChecks, headers: &HeaderMap) -> bool {
    let present = checks
        .headers
        .iter()
        .all(|name| headers.contains_key(name.as_str()));
    let typed = checks.content_type.as_ref().is_none_or(|wanted| {
        let value = headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let media = value.and_then(|value| value.split(';').next());
        media.is_some_and(|media| media.trim().eq_ignore_ascii_case(wanted))
    });
    present && typed
}

fn build_response(
    context: TryContext<'_>,
    answer: &ClientResponse,
    headers: HeaderMap,
    framing: AnswerFraming,
    times: AnswerTimes,
    mut guard: TryGuard,
) -> Response {
    let class = if answer.status().is_server_error() {
        guard.decided(TryClass::Bad);
        TryClass::Bad
    } else {
        TryClass::Good
    };
    let body = match framing {
        AnswerFraming::Bodiless(length) => {
            guard.finish(class);
            bodiless(length)
        }
        // The HTTP server doesn't poll an empty body, so the try must be finished here.
        AnswerFraming::Body(length @ AnswerLength::Sized(0)) => {
            guard.finish(class);
            bodiless(Some(length))
        }
        AnswerFraming::Body(length) => Body::from_message(AnswerBody::new(
            AnswerSource {
                payload: answer.take_payload(),
                length,
                address: context.upstream(),
                pool: Rc::clone(&context.worker.pool),
            },
            times,
            context.caller.clone(),
            guard,
            class,
        )),
    };
    let mut response = Response::with_body(answer.status(), body);
    *response.headers_mut() = headers;
    response
}

fn bodiless(length: Option<AnswerLength>) -> Body {
    match length {
        None => Body::None,
        Some(AnswerLength::Sized(bytes)) => Body::from_message(HeadBody(BodySize::Sized(bytes))),
        Some(AnswerLength::Chunked) => Body::from_message(HeadBody(BodySize::Stream)),
    }
}
