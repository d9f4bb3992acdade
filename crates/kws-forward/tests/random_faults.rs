//! Invariants of every request under random server faults.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, request, route};
use kws_standin::{
    backend::{BackendFault, BackendHandle, BackendScript, BodyFraming},
    caller::CallerAnswer,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use rstest::rstest;
use std::time::Duration;

const ROUNDS: usize = 20;
const CALLERS: usize = 8;
const FAULTS: [BackendFault; 10] = [
    BackendFault::None,
    BackendFault::None,
    BackendFault::CutHead,
    BackendFault::CutBody(70),
    BackendFault::SilentHead,
    BackendFault::SilentBody(70),
    BackendFault::ExtraBytes,
    BackendFault::Swapped,
    BackendFault::NotRun,
    BackendFault::Early,
];

fn script(random: &mut SmallRng) -> BackendScript {
    let framings = [
        BodyFraming::Length,
        BodyFraming::Chunked,
        BodyFraming::OldLength,
    ];
    BackendScript {
        body_bytes: 120,
        piece_bytes: 40,
        piece_delay_ms: random.random_range(0..5),
        framing: *framings.choose(random).expect("has some"),
        fault: *FAULTS.choose(random).expect("has some"),
        ..BackendScript::default()
    }
}

/// The number of times that the request with `path` ran.
fn run_count(fleet: &Fleet, path: &str) -> usize {
    let line = format!(" {path} ");
    let seen = fleet.backends.iter().flat_map(BackendHandle::seen);
    seen.filter(|seen| seen.line().contains(&line) && seen.fault != BackendFault::NotRun)
        .count()
}

fn check_response(fleet: &Fleet, path: &str, response: &CallerAnswer) {
    let run_count = run_count(fleet, path);
    assert!(
        run_count <= 1 || path.starts_with("/listing"),
        "{path} ran {run_count} times"
    );
    assert!(
        response.run() != "not run" || run_count == 0,
        "{path} ran: {response:?}"
    );
    if response.status() == 200 && response.is_whole() {
        let id = response.header("x-request-id").expect("has an id");
        assert!(
            response.body().contains(id),
            "response to another request: {response:?}"
        );
    }
}

#[rstest]
#[case::first_seed(1)]
#[case::second_seed(2)]
#[case::third_seed(3)]
#[tokio::test]
async fn every_request(#[case] seed: u64) {
    let short = |path| {
        route(path, |route| {
            route.deadline = Duration::from_millis(200);
            route.idle = Duration::from_millis(100);
            route.repeatable = Some(path == "/listing");
            route.tries = 3;
        })
    };
    let mut random = SmallRng::seed_from_u64(seed);
    let scripts = [(); 3].map(|()| BackendScript::default());
    let fleet = Fleet::with_routes([short("/listing"), short("/till")], scripts).await;
    for round in 0..ROUNDS {
        for backend in &fleet.backends {
            backend.set_script(script(&mut random));
        }
        let paths: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let route = if random.random_bool(0.5) {
                    "listing"
                } else {
                    "till"
                };
                format!("/{route}/{round}-{caller}")
            })
            .collect();
        let requests = paths.iter().map(|path| async {
            // A request whose body was read can't be retried on any route; some requests have one.
            let body = if path.ends_with(['0', '1']) {
                "slot"
            } else {
                ""
            };
            let lines = format!("content-length: {}\r\n", body.len());
            fleet.send(&request("POST", path, &lines, body)).await
        });
        let responses = futures_util::future::join_all(requests).await;
        for (path, response) in paths.iter().zip(&responses) {
            check_response(&fleet, path, response);
        }
    }
}
