//! Drives one scripted case against the project's own daemons.
//!
//! Usage: `review-standin CASE RECORD`, from the repository's root. `TROUBLE=0` leaves out the
//! disruption. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

mod case_gone;
mod case_prefix;
mod case_stale;
mod case_stop;
mod daemon;
mod fleet;
mod http;
mod record;
mod store;
mod upstream;

use record::Record;
use std::{process::exit, thread, time::Duration};

/// After this time a case has failed to run; scripts may take two minutes.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(path);
    record.line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        daemon::kill_all();
        eprintln!("the case could not run: it took too long");
        exit(2);
    });
    let verdict = match case.as_str() {
        "gone" => case_gone::run(trouble, &record),
        "prefix" => case_prefix::run(trouble, &record),
        "stop" => case_stop::run(trouble, &record),
        "stale" => case_stale::run(trouble, &record),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    match verdict {
        Verdict::Held => {
            record.tell("the rule held");
            exit(0);
        }
        Verdict::Broken => {
            record.tell("the rule was broken");
            exit(1);
        }
        Verdict::NotRun(why) => {
            record.tell(&format!("the case could not run: {why}"));
            exit(2);
        }
    }
}
