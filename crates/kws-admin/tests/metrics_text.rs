//! Values in the exported text; every refusal and retry reason is exported from the start.

use kws_admin::{FleetMetrics, RequestRecord};
use kws_protocol::{RefusalReason, RetryReason};
use std::time::Duration;

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
    metrics.record_refusal(RefusalReason::RateExceeded);
    let text = metrics.render().expect("text");
    assert!(
        text.contains("knapweedseam_refusals_total{reason=\"rate_exceeded\"} 1"),
        "{text}"
    );
}

#[test]
fn stages_shown() {
    let metrics = FleetMetrics::new().expect("metrics");
    metrics.record_request(RequestRecord {
        service: "till",
        route: "till-all",
        status: 200,
        waited: Duration::from_millis(30),
        latency: Duration::from_millis(130),
    });
    metrics.set_queue("till", 3);
    metrics.set_lease_left(Duration::from_millis(2_500));
    let text = metrics.render().expect("text");
    for line in [
        "knapweedseam_stage_seconds_sum{service=\"till\",stage=\"wait\"} 0.03",
        "knapweedseam_stage_seconds_sum{service=\"till\",stage=\"server\"} 0.1",
        "knapweedseam_route_seconds_sum{route=\"till-all\"} 0.13",
        "knapweedseam_queue_requests{service=\"till\"} 3",
        "knapweedseam_lease_left_seconds 2.5",
    ] {
        assert!(text.contains(line), "{line}: {text}");
    }
}
