//! Prometheus metrics of the daemon, all registered in one place.

use kws_protocol::{RefusalReason, RetryReason, TreeRevision};
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder, core::Collector,
};
use std::time::Duration;

/// Bucket bounds of stage histograms, in seconds; few, since every service has two stages.
const STAGE_BUCKETS: [f64; 8] = [0.001, 0.004, 0.016, 0.064, 0.25, 0.5, 1.0, 4.0];

/// Bucket bounds of route histograms, in seconds; fewer still, since there are 1,600 routes.
const ROUTE_BUCKETS: [f64; 4] = [0.064, 0.25, 1.0, 4.0];

/// Result of a read of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformResult {
    /// The platform returned values of another revision.
    Changed,
    /// The values are unchanged.
    Unchanged,
    /// The read failed.
    Failed,
}

/// A finished request, as counted by the metrics.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord<'a> {
    /// Service, or `none` if no route matched the request.
    pub service: &'a str,
    /// Route, or `none` if none matched.
    pub route: &'a str,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Time spent waiting for a token and for slots.
    pub waited: Duration,
    /// Time from the request's head to the head of its response.
    pub latency: Duration,
}

/// Metrics of the daemon.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    registry: Registry,
    requests: IntCounterVec,
    stages: HistogramVec,
    routes: HistogramVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    platform_calls: IntCounterVec,
    platform_bytes: IntCounter,
    peer_messages: IntCounterVec,
    peer_bytes: IntCounterVec,
    peer_dropped: IntCounterVec,
    peer_links_lost: IntCounter,
    trees_refused: IntCounterVec,
    ring_full: IntCounterVec,
    revision: IntGauge,
    revision_era: IntGauge,
    era_changes: IntCounter,
    current: IntGauge,
    ready: IntGauge,
    servers: IntGaugeVec,
    queue: IntGaugeVec,
    lease_left: Gauge,
    log_dropped: IntCounter,
    extra_responses: IntCounterVec,
    tokens: TokenMetrics,
}

/// Metrics of the decisions on the tokens of teams.
#[derive(Clone, Debug)]
struct TokenMetrics {
    decisions: IntCounterVec,
    partitions: IntGauge,
}

impl TokenMetrics {
    fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: counters(
                "token_decisions_total",
                "Decisions of this host on tokens",
                &["role", "result"],
            )?,
            partitions: IntGauge::with_opts(options(
                "token_partitions",
                "Partitions of the teams that this host owns",
            ))?,
        })
    }
}

impl FleetMetrics {
    /// Creates and registers all metrics. Every refusal and retry reason is exported from the start
    /// with the value 0.
    ///
    /// # Errors
    /// If the library rejects a name or label, which can only follow from a fault in this file.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name, help| IntCounter::with_opts(options(name, help));
        let gauge = |name, help| IntGauge::with_opts(options(name, help));
        let metrics = Self {
            registry: Registry::new(),
            requests: counters(
                "requests_total",
                "Finished requests",
                &["service", "status"],
            )?,
            stages: histograms(
                ("stage_seconds", "Time of a request in one stage"),
                &["service", "stage"],
                &STAGE_BUCKETS,
            )?,
            routes: histograms(
                ("route_seconds", "Time of a whole request"),
                &["route"],
                &ROUTE_BUCKETS,
            )?,
            refusals: counters("refusals_total", "Refused requests", &["reason"])?,
            retries: counters("retries_total", "Tries after the first", &["reason"])?,
            platform_calls: counters("platform_calls_total", "Reads of the platform", &["result"])?,
            platform_bytes: counter("platform_bytes_total", "Bytes read")?,
            peer_messages: counters("peer_messages_total", "Messages", &["direction", "class"])?,
            peer_bytes: counters("peer_bytes_total", "Bytes", &["direction", "class"])?,
            peer_dropped: counters("peer_dropped_total", "Dropped messages", &["class"])?,
            peer_links_lost: counter("peer_links_lost_total", "Lost links")?,
            trees_refused: counters("trees_refused_total", "Refused revisions", &["reason"])?,
            ring_full: counters("ring_full_total", "Events a full ring refused", &["ring"])?,
            revision: gauge("revision", "Revision in force")?,
            revision_era: gauge("revision_era", "Era of the revision in force")?,
            era_changes: counter("era_changes_total", "Platform back from a copy")?,
            current: gauge("current", "1 while the lease holds")?,
            ready: gauge("ready", "1 while ready")?,
            log_dropped: counter("log_lines_dropped_total", "Log lines left out")?,
            extra_responses: counters(
                "extra_responses_total",
                "Responses of servers without a request for them",
                &["kind"],
            )?,
            tokens: TokenMetrics::new()?,
            servers: IntGaugeVec::new(
                options("servers", "Backend servers by state"),
                &["service", "state"],
            )?,
            queue: IntGaugeVec::new(
                options(
                    "queue_requests",
                    "Requests that wait for a slot of this host",
                ),
                &["service"],
            )?,
            lease_left: Gauge::with_opts(options(
                "lease_left_seconds",
                "How long the settings may still be believed",
            ))?,
        };
        metrics.register()?;
        metrics.init_reason_counters();
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 25] = [
            Box::new(self.requests.clone()),
            Box::new(self.stages.clone()),
            Box::new(self.routes.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.platform_calls.clone()),
            Box::new(self.platform_bytes.clone()),
            Box::new(self.peer_messages.clone()),
            Box::new(self.peer_bytes.clone()),
            Box::new(self.peer_dropped.clone()),
            Box::new(self.peer_links_lost.clone()),
            Box::new(self.trees_refused.clone()),
            Box::new(self.ring_full.clone()),
            Box::new(self.revision.clone()),
            Box::new(self.revision_era.clone()),
            Box::new(self.era_changes.clone()),
            Box::new(self.current.clone()),
            Box::new(self.ready.clone()),
            Box::new(self.servers.clone()),
            Box::new(self.queue.clone()),
            Box::new(self.lease_left.clone()),
            Box::new(self.log_dropped.clone()),
            Box::new(self.extra_responses.clone()),
            Box::new(self.tokens.decisions.clone()),
            Box::new(self.tokens.partitions.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector)?;
        }
        Ok(())
    }

    fn init_reason_counters(&self) {
        for reason in RefusalReason::ALL {
            self.refusals.with_label_values(&[reason.as_str()]);
        }
        for reason in RetryReason::ALL {
            self.retries.with_label_values(&[reason.as_str()]);
        }
    }

    /// Counts a finished request.
    pub fn record_request(&self, record: RequestRecord<'_>) {
        let status = record.status.to_string();
        self.requests
            .with_label_values(&[record.service, &status])
            .inc();
        let times = [
            ("wait", record.waited),
            ("server", record.latency.saturating_sub(record.waited)),
        ];
        for (stage, time) in times {
            self.stages
                .with_label_values(&[record.service, stage])
                .observe(time.as_secs_f64());
        }
        self.routes
            .with_label_values(&[record.route])
            .observe(record.latency.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: RefusalReason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a try after the first.
    pub fn record_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a read of the platform and the bytes received.
    pub fn record_platform_read(&self, result: PlatformResult, bytes: u64) {
        let label = match result {
            PlatformResult::Changed => "changed",
            PlatformResult::Failed => "failed",
            PlatformResult::Unchanged => "unchanged",
        };
        self.platform_calls.with_label_values(&[label]).inc();
        self.platform_bytes.inc_by(bytes);
    }

    /// Counts a response that a server sent without a request for it.
    pub fn record_extra_response(&self, kind: &str) {
        self.extra_responses.with_label_values(&[kind]).inc();
    }

    /// Counts a decision on a token that this host made as `role`, and whether it was granted.
    pub fn record_token(&self, role: &str, granted: bool) {
        let result = if granted { "granted" } else { "refused" };
        self.tokens
            .decisions
            .with_label_values(&[role, result])
            .inc();
    }

    /// Sets the number of partitions of the teams that this host owns.
    pub fn set_token_partitions(&self, count: usize) {
        self.tokens.partitions.set(gauge_value(count));
    }

    /// Counts a message sent to a peer.
    pub fn record_peer_sent(&self, class: &str, bytes: usize) {
        self.record_peer_traffic("sent", class, bytes);
    }

    /// Counts a message received from a peer.
    pub fn record_peer_received(&self, class: &str, bytes: usize) {
        self.record_peer_traffic("received", class, bytes);
    }

    fn record_peer_traffic(&self, direction: &str, class: &str, bytes: usize) {
        let labels = [direction, class];
        self.peer_messages.with_label_values(&labels).inc();
        self.peer_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }

    /// Counts a dropped message.
    pub fn record_peer_dropped(&self, class: &str) {
        self.peer_dropped.with_label_values(&[class]).inc();
    }

    /// Counts a link that was rejected or lost.
    pub fn record_peer_link_lost(&self) {
        self.peer_links_lost.inc();
    }

    /// Counts a revision whose tree was rejected.
    pub fn record_rejected_tree(&self, reason: &str) {
        self.trees_refused.with_label_values(&[reason]).inc();
    }

    /// Counts a return of the platform from an older copy of its data.
    pub fn record_era_change(&self) {
        self.era_changes.inc();
    }

    /// Counts an event dropped because its channel was full.
    pub fn record_full_channel(&self, channel: &str) {
        self.ring_full.with_label_values(&[channel]).inc();
    }

    /// Raises the counter of dropped log lines to `lines`, the total so far.
    pub fn set_log_dropped(&self, lines: u64) {
        let current_total = self.log_dropped.get();
        self.log_dropped.inc_by(lines.saturating_sub(current_total));
    }

    /// Sets the active revision and its era.
    pub fn set_revision(&self, revision: TreeRevision) {
        self.revision.set(gauge_value(revision.count()));
        self.revision_era.set(gauge_value(revision.era()));
    }

    /// Sets whether the lease is valid.
    pub fn set_current(&self, current: bool) {
        self.current.set(i64::from(current));
    }

    /// Sets whether the host is ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Sets the number of servers of a service that are in `state`.
    pub fn set_servers(&self, service: &str, state: &str, count: usize) {
        self.servers
            .with_label_values(&[service, state])
            .set(gauge_value(count));
    }

    /// Sets the number of requests queued for the slots of `service` that this host assigns.
    pub fn set_queue(&self, service: &str, waiting: usize) {
        self.queue
            .with_label_values(&[service])
            .set(gauge_value(waiting));
    }

    /// Sets the remaining validity of the active settings; zero once it has expired.
    pub fn set_lease_left(&self, left: Duration) {
        self.lease_left.set(left.as_secs_f64());
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// If the library fails to encode them.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Converts to a gauge's value; values out of range become `i64::MAX`.
fn gauge_value(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("knapweedseam")
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(options(name, help), labels)
}

fn histograms(
    (name, help): (&str, &str),
    labels: &[&str],
    buckets: &[f64],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::from(options(name, help)).buckets(buckets.to_vec());
    HistogramVec::new(options, labels)
}
