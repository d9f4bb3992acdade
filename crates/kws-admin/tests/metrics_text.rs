//! Every refusal and retry reason is there from the start.

use kws_admin::FleetMetrics;
use kws_protocol::{RefusalReason, RetryReason};

#[test]
fn reasons_shown() {
    let text = FleetMetrics::new()
        .expect("metrics")
        .render()
        .expect("text");
    for reason in RefusalReason::ALL {
        let line = format!(
            "knapweedseam_refusals_total{{reason=\"{}\"}} 0",
            reason.as_str()
        );
        assert!(text.contains(&line), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!(
            "knapweedseam_retries_total{{reason=\"{}\"}} 0",
            reason.as_str()
        );
        assert!(text.contains(&line), "{line}");
    }
}

#[test]
fn refusal_counted() {
    let metrics = FleetMetrics::new().expect("metrics");
    metrics.refusal(RefusalReason::RateExceeded);
    let text = metrics.render().expect("text");
    assert!(
        text.contains("knapweedseam_refusals_total{reason=\"rate_exceeded\"} 1"),
        "{text}"
    );
}
