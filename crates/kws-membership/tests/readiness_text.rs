//! The texts of readiness, as literals: `/ready` and `/status` show them.

use kws_membership::{Readiness, UnreadyReason};
use rstest::rstest;

#[rstest]
#[case::ready(Readiness::Ready, "ready")]
#[case::no_tree(Readiness::Unready(UnreadyReason::NoTree), "no_tree")]
#[case::joining(Readiness::Unready(UnreadyReason::Joining), "joining")]
#[case::not_current(Readiness::Unready(UnreadyReason::NotCurrent), "not_current")]
#[case::leaving(Readiness::Unready(UnreadyReason::Leaving), "leaving")]
fn readiness_text(#[case] readiness: Readiness, #[case] text: &str) {
    assert_eq!(readiness.to_string(), text);
}
