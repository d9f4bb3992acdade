//! The time of log lines on machines whose clock is wrong.

#[allow(dead_code)]
#[path = "../src/log_line.rs"]
mod log_line;

use log_line::format_time;
use rstest::rstest;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const DAY: Duration = Duration::from_hours(24);

/// Guards against a process that ends with the first line that it logs after its clock was set.
#[rstest]
#[case::before_the_epoch(UNIX_EPOCH - DAY, "1970-01-01T00:00:00.000000Z")]
#[case::epoch(UNIX_EPOCH, "1970-01-01T00:00:00.000000Z")]
#[case::after_the_year_9999(UNIX_EPOCH + DAY * 365 * 9_000, "9999-12-31T23:59:59.000000Z")]
fn clock_out_of_range(#[case] time: SystemTime, #[case] expected: &str) {
    assert_eq!(format_time(time), expected);
}
