//! Names the cause of a request's end from the lines that tell of it.

use crate::log_event::LogEvent;
use kws_protocol::TreeRevision;

/// One sentence: how the request ended, and what that rests on.
pub(crate) fn request_cause(events: &[LogEvent]) -> String {
    let last = |name: &str| events.iter().rev().find(|one| one.event() == name);
    let Some(request) = last("request") else {
        return "its end is not told: the host went away, or the line was left out".to_owned();
    };
    let refusal = request.text("refusal");
    let status = request.number("status").unwrap_or_default();
    let tried = last("try");
    if request.text("ended") == "caller_gone" {
        return format!(
            "the caller went away after {}{}",
            spent(request),
            held(tried)
        );
    }
    match refusal {
        "" if status >= 500 => format!(
            "server {} answered {status}; {}",
            request.text("server"),
            repeats(request)
        ),
        "" => format!("answered {status} by server {}", request.text("server")),
        "rate_exceeded" => rate_cause(request, last("token refused")),
        "deadline_early" | "no_server" | "queue_full" | "retry_budget" => {
            slot_cause(request, last("slot kept back"), last("slot given up"))
        }
        "not_current" => "this host's settings were too old to be believed".to_owned(),
        "key_missing" | "key_unknown" | "route_changed" | "route_unknown" | "team_forbidden" => {
            format!("{refusal}, judged by revision {}", revision(request))
        }
        _ => format!("{refusal}{}; {}", tried_cause(tried), repeats(request)),
    }
}

fn spent(request: &LogEvent) -> String {
    let waited = request.number("waited_us").unwrap_or_default();
    let latency = request.number("latency_us").unwrap_or_default();
    format!(
        "{} ms, {} ms of them waiting",
        latency / 1_000,
        waited / 1_000
    )
}

fn held(tried: Option<&LogEvent>) -> String {
    tried.map_or(String::new(), |tried| {
        format!(", while server {} had not answered", tried.text("server"))
    })
}

/// The revision as `status` shows it. Lines of earlier versions name no era.
fn revision(request: &LogEvent) -> TreeRevision {
    let count = request.number("revision").unwrap_or_default();
    let era = request.number("era").unwrap_or(TreeRevision::FIRST_ERA);
    TreeRevision::new(era, count)
}

fn rate_cause(request: &LogEvent, token: Option<&LogEvent>) -> String {
    let decider = token.map_or("", |token| token.text("decider"));
    let after = token.and_then(|token| token.number("retry_after_ms"));
    format!(
        "team {} had no token left, by the word of {decider}; one in {} ms",
        request.text("team"),
        after.unwrap_or_default()
    )
}

fn slot_cause(request: &LogEvent, kept: Option<&LogEvent>, given_up: Option<&LogEvent>) -> String {
    let refusal = request.text("refusal");
    let service = request.text("service");
    let Some(kept) = kept else {
        let waited = given_up.and_then(|one| one.number("waited_us"));
        return format!(
            "{refusal}: no slot of service {service} within {} ms, and no word of why",
            waited.unwrap_or_default() / 1_000
        );
    };
    let count = |name| kept.number(name).unwrap_or_default();
    format!(
        "{refusal}: of service {service} {} of {} servers were in use with {} of {} slots free, {} \
         requests waited, and one took {} ms",
        count("servers_in"),
        count("servers"),
        count("free"),
        count("slots"),
        count("waiting"),
        count("service_us") / 1_000
    )
}

fn tried_cause(tried: Option<&LogEvent>) -> String {
    tried.map_or(String::new(), |tried| {
        let latency = tried.number("latency_us").unwrap_or_default();
        format!(
            ": the try on server {} ended as {} after {} ms",
            tried.text("server"),
            tried.text("ended"),
            latency / 1_000
        )
    })
}

fn repeats(request: &LogEvent) -> String {
    let tries = request.number("tries").unwrap_or_default();
    match (request.text("run"), tries) {
        ("unknown", 1) => "not tried again: it may have run".to_owned(),
        (_, tries) => format!("{tries} tries"),
    }
}
