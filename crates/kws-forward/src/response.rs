//! Checks the head of a backend server's response and forwards it to the caller.

use crate::{
    control::TryClass,
    head::strip_response,
    response_body::{
        EmptyBody, ResponseBody, ResponseLength, ResponsePayload, ResponseSource, ResponseTimeouts,
    },
    single_try::{TryContext, TryError},
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
pub(crate) async fn read_response(
    context: TryContext<'_>,
    response: &ClientResponse,
    timeouts: ResponseTimeouts,
    mut guard: TryGuard,
) -> Result<Response, TryError> {
    let dialect = &context.worker.dialect;
    if let Ok(Some(ResponseLength::Sized(bytes))) = declared_length(response) {
        let routes = &context.worker.routes;
        routes.record_size(&context.route.name, bytes);
    }
    let draining = is_draining(dialect, response.headers());
    guard.record_head(response.status().as_u16(), draining);
    let matches = matches_request(context, response.headers());
    if matches && let Some(class) = not_run_class(dialect, response) {
        guard.finish(class);
        return Err(TryError::failed(TryFailure::ServerNotRun));
    }
    if matches && !is_repeatable(context) && implies_not_run(response.status()) {
        guard.finish(TryClass::Failed);
        return Err(TryError::failed(TryFailure::BadAnswer));
    }
    let checked = check_response(context, response);
    let Some((headers, framing)) = checked.ok().filter(|_| matches) else {
        guard.finish(TryClass::Failed);
        return Err(TryError::failed(TryFailure::BadAnswer));
    };
    let Ok(payload) = ResponsePayload::start(response.take_payload()).await else {
        guard.finish(TryClass::Failed);
        return Err(TryError::failed(TryFailure::BadAnswer));
    };
    let head = ResponseHead {
        status: response.status(),
        headers,
        framing,
    };
    Ok(build_response(context, head, payload, timeouts, guard))
}

/// The headers to forward and the framing of a valid response.
///
/// # Errors
/// [`RefusalReason::BadAnswer`] for an invalid response.
fn check_response(
    context: TryContext<'_>,
    response: &ClientResponse,
) -> Result<(HeaderMap, ResponseFraming), RefusalReason> {
    let headers = response.headers();
    if response.status().as_u16() < 200 {
        return Err(RefusalReason::BadAnswer);
    }
    if response.status().is_success() && !satisfies_checks(&context.route.checks, headers) {
        return Err(RefusalReason::BadAnswer);
    }
    let framing = response_framing(&context.parts.method, response)?;
    let mut headers = headers.clone();
    strip_response(&mut headers, &context.worker.dialect)?;
    Ok((headers, framing))
}

/// The framing of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseFraming {
    /// No body follows, although the headers may declare a length.
    Bodiless(Option<ResponseLength>),
    /// A body with this length follows.
    Body(ResponseLength),
}

/// Determines the framing. A body needs a content length or chunked coding: one that ends with the
/// connection can't be told from a truncated one and is rejected.
fn response_framing(
    method: &Method,
    response: &ClientResponse,
) -> Result<ResponseFraming, RefusalReason> {
    let length = declared_length(response)?;
    let status = response.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Ok(ResponseFraming::Bodiless(None));
    }
    if method == Method::HEAD {
        return Ok(ResponseFraming::Bodiless(length));
    }
    length
        .map(ResponseFraming::Body)
        .ok_or(RefusalReason::BadAnswer)
}

fn declared_length(response: &ClientResponse) -> Result<Option<ResponseLength>, RefusalReason> {
    let headers = response.headers();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING);
    let mut lengths = headers.get_all(header::CONTENT_LENGTH);
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                && codings.next().is_none()
                && response.version() == Version::HTTP_11;
            chunked
                .then_some(Some(ResponseLength::Chunked))
                .ok_or(RefusalReason::BadAnswer)
        }
        (None, Some(length)) if lengths.next().is_none() => {
            let bytes = length
                .to_str()
                .ok()
                .and_then(|text| text.trim().parse().ok());
            let bytes = bytes.ok_or(RefusalReason::BadAnswer)?;
            Ok(Some(ResponseLength::Sized(bytes)))
        }
        _ => Err(RefusalReason::BadAnswer),
    }
}

fn is_repeatable(context: TryContext<'_>) -> bool {
    let method = context.parts.method.as_str();
    context.route.is_repeatable(method)
}

/// Whether callers take a status for the promise that the request did not run. A server makes this
/// promise with the agreed header only; without it, a request that must not be repeated may have run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The class of a response that states that the server did not run the request, if it does.
fn not_run_class(dialect: &HeaderDialect, response: &ClientResponse) -> Option<TryClass> {
    let status = response.status();
    if dialect.expected_server.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return Some(TryClass::Misdirected);
    }
    let refused = status.is_client_error() || status.is_server_error();
    (refused && has_flag(response.headers(), dialect.not_run)).then_some(TryClass::NotRun)
}

fn is_draining(dialect: &HeaderDialect, headers: &HeaderMap) -> bool {
    dialect.draining.is_some_and(|flag| has_flag(headers, flag))
}

fn has_flag(headers: &HeaderMap, flag: FlagHeader) -> bool {
    headers
        .get(flag.name)
        .is_some_and(|value| flag.matches(value.as_bytes()))
}

/// Whether the response belongs to this request. A server that has echoed a request id before must
/// echo the id of this request.
fn matches_request(context: TryContext<'_>, headers: &HeaderMap) -> bool {
    let pool = &context.worker.pool;
    let address = context.grant.address;
    let name = context.worker.dialect.request_id;
    let mut echoes = headers.get_all(name).peekable();
    if echoes.peek().is_none() {
        return !pool.echoes_request_id(address);
    }
    let matches = echoes.all(|echo| echo.as_bytes() == context.request_id.as_bytes());
    if matches {
        pool.record_echo(address);
    }
    matches
}

fn satisfies_checks(checks: &ResponseChecks, headers: &HeaderMap) -> bool {
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

/// The checked head of a response.
struct ResponseHead {
    status: StatusCode,
    headers: HeaderMap,
    framing: ResponseFraming,
}

fn build_response(
    context: TryContext<'_>,
    head: ResponseHead,
    payload: ResponsePayload,
    timeouts: ResponseTimeouts,
    mut guard: TryGuard,
) -> Response {
    let class = if head.status.is_server_error() {
        guard.set_drop_class(TryClass::Failed);
        TryClass::Failed
    } else {
        TryClass::Succeeded
    };
    let body = match head.framing {
        ResponseFraming::Bodiless(length) => {
            guard.finish(class);
            empty_body(length)
        }
        // The HTTP server doesn't poll an empty body, so the try must be finished here.
        ResponseFraming::Body(length @ ResponseLength::Sized(0)) => {
            guard.finish(class);
            empty_body(Some(length))
        }
        ResponseFraming::Body(length) => Body::from_message(ResponseBody::new(
            ResponseSource {
                payload,
                length,
                address: context.upstream(),
                pool: Rc::clone(&context.worker.pool),
            },
            timeouts,
            context.caller.clone(),
            guard,
            class,
        )),
    };
    let mut forwarded = Response::with_body(head.status, body);
    *forwarded.headers_mut() = head.headers;
    forwarded
}

fn empty_body(length: Option<ResponseLength>) -> Body {
    match length {
        None => Body::None,
        Some(ResponseLength::Sized(bytes)) => Body::from_message(EmptyBody(BodySize::Sized(bytes))),
        Some(ResponseLength::Chunked) => Body::from_message(EmptyBody(BodySize::Stream)),
    }
}
