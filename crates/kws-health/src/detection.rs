//! Detection of unhealthy servers of a service from the evidence of all hosts.

use crate::{
    evidence::{HostEvidence, ResponseSummary},
    lifecycle::EjectionScope,
};
use kws_protocol::{CenterName, EjectionSettings, HostName, RegionName, ServerName};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Hosts that must have seen bad or slow responses of a server before it is ejected for the fleet.
const MIN_REPORTING_HOSTS: usize = 2;

/// Bad responses that a data centre, or one host acting alone, must have seen. Fewer may be chance.
const MIN_FAILURES: f64 = 4.0;

/// Responses that a data centre must have seen to take part in the decision.
const MIN_RESPONSES: f64 = 10.0;

/// The length of the recent part of the evidence.
const RECENT_SPAN: Duration = Duration::from_secs(3);

/// Recent responses that one host must have seen before they can contradict its older ones.
const MIN_RECENT_RESPONSES: u32 = 5;

/// Responses that one host must have seen to act alone on latency.
const MIN_SLOW_RESPONSES: u32 = 8;

/// The excess over the typical bad share at which one host acts alone, between 0 and 1.
const STRONG_BAD_SHARE: f64 = 0.5;

/// The factor on top of `slow_factor` by which a server must be slow for one host to act alone.
const STRONG_SLOW_FACTOR: f64 = 2.0;

/// The excess over the typical share of slow responses at which a server is slow, between 0 and 1.
const SLOW_SHARE: f64 = 0.5;

/// Responses that one host must have seen in a region before it has a reference latency there.
const MIN_REFERENCE_RESPONSES: u32 = 30;

/// The least denominator of the slow share, in responses: a data centre that compared few responses
/// has little say on latency.
const MIN_COMPARED_RESPONSES: f64 = 10.0;

/// Servers that are needed to tell what is typical.
const MIN_COMPARED_SERVERS: usize = 3;

/// The most responses of one host on one server that count, so that no host outweighs the others.
const MAX_RESPONSES_PER_HOST: f64 = 20.0;

/// Allowance for the distance between data centres of a region, which doesn't count as slowness.
const LATENCY_SLACK: Duration = Duration::from_millis(5);

/// A server found unhealthy, with the reason and the degree.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnhealthyServer {
    pub(crate) server: ServerName,
    pub(crate) scope: EjectionScope,
    /// The bad share plus the slow share, between 0 and 2.
    pub(crate) failure_score: f64,
    /// Whether latency is the only reason.
    pub(crate) slow_only: bool,
}

/// One host's vote on one server, based on a comparison with the other servers that it used.
#[derive(Clone, Copy, Debug)]
struct HostVote {
    responses: f64,
    failures: f64,
    /// `None` if the host has too few responses to compare.
    slow: Option<bool>,
    /// Whether the server is slow enough for one host to act alone.
    very_slow: bool,
    /// The bad share of the host's median server in the region, between 0 and 1.
    typical: f64,
    summary: ResponseSummary,
}

/// The sum of the votes of several hosts.
#[derive(Clone, Copy, Debug, Default)]
struct VoteTotals {
    responses: f64,
    failures: f64,
    compared: f64,
    slow: f64,
}

impl VoteTotals {
    fn add(&mut self, vote: &HostVote) {
        self.responses += vote.responses;
        self.failures += vote.failures;
        if let Some(slow) = vote.slow {
            self.compared += vote.responses;
            self.slow += if slow { vote.responses } else { 0.0 };
        }
    }

    fn bad_share(&self) -> f64 {
        self.failures / self.responses.max(1.0)
    }

    fn slow_share(&self) -> f64 {
        self.slow / self.compared.max(MIN_COMPARED_RESPONSES)
    }

    /// Whether the bad share exceeds the typical one of the service by the configured threshold.
    fn is_bad(&self, typical: TypicalShares, settings: &EjectionSettings) -> bool {
        self.failures >= MIN_FAILURES && self.bad_share() - typical.bad >= settings.bad_share
    }

    /// Whether the bad share or the slow share exceeds the typical one by its threshold.
    fn is_unhealthy(&self, typical: TypicalShares, settings: &EjectionSettings) -> bool {
        self.is_bad(typical, settings) || self.slow_share() - typical.slow >= SLOW_SHARE
    }
}

/// The median shares of the servers of a service. A service that begins to fail or to slow as a
/// whole does so unevenly, so a server must exceed the median by the whole threshold.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalShares {
    bad: f64,
    slow: f64,
}

impl TypicalShares {
    fn of(totals: &[VoteTotals]) -> Self {
        let typical = |share: fn(&VoteTotals) -> f64| {
            let shares = totals.iter().map(|sum| Share(share(sum)));
            lower_median(shares.collect()).map_or(0.0, |share| share.0)
        };
        Self {
            bad: typical(VoteTotals::bad_share),
            slow: typical(VoteTotals::slow_share),
        }
    }
}

/// All votes on one server.
struct ServerVotes<'a> {
    server: &'a ServerName,
    votes: Vec<(&'a HostName, Option<&'a CenterName>, HostVote)>,
}

impl ServerVotes<'_> {
    fn total(&self) -> VoteTotals {
        let mut total = VoteTotals::default();
        for (_, _, vote) in &self.votes {
            total.add(vote);
        }
        total
    }
}

/// The time span of the evidence that votes are based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvidenceSpan {
    since: Option<Instant>,
    /// Responses since this time must be slow too, so that a server that has recovered isn't found
    /// slow.
    latest_since: Option<Instant>,
}

impl EvidenceSpan {
    /// All stored responses, whatever their age.
    const UNBOUNDED: Self = Self {
        since: None,
        latest_since: None,
    };

    /// The whole evidence window.
    pub(crate) fn whole(now: Instant) -> Self {
        Self {
            since: None,
            latest_since: now.checked_sub(RECENT_SPAN),
        }
    }

    /// The recent part, so that a busy service is evaluated before its older responses expire.
    pub(crate) fn recent(now: Instant) -> Self {
        Self {
            since: now.checked_sub(RECENT_SPAN),
            latest_since: None,
        }
    }
}

/// One host's responses by server, with the values that are typical for this host.
struct HostStatistics<'a> {
    summaries: BTreeMap<&'a ServerName, ResponseSummary>,
    /// Median latencies of the recent responses, if the span asks for them.
    recent_medians: BTreeMap<&'a ServerName, Duration>,
    references: BTreeMap<&'a RegionName, Duration>,
    /// The bad share of the median server in each region, between 0 and 1.
    typical: BTreeMap<&'a RegionName, f64>,
}

impl<'a> HostStatistics<'a> {
    fn new(
        evidence: &'a HostEvidence,
        regions: &BTreeMap<&'a ServerName, &'a RegionName>,
        span: EvidenceSpan,
    ) -> Self {
        let summaries = |since| {
            let all = evidence.windows.iter();
            all.map(move |(server, window)| (server, window.summary(since)))
                .filter(|(server, summary)| summary.responses > 0 && regions.contains_key(server))
        };
        let selected: BTreeMap<&ServerName, ResponseSummary> = summaries(span.since).collect();
        let latest = span.latest_since.map(|since| summaries(Some(since)));
        let latest = latest.into_iter().flatten();
        let shares = selected
            .iter()
            .map(|(server, summary)| (regions[*server], summary.bad_share()));
        let typical = typical_by_region(shares);
        Self {
            recent_medians: latest
                .filter(|(_, summary)| summary.responses >= MIN_RECENT_RESPONSES)
                .filter_map(|(server, summary)| Some((server, summary.median_latency?)))
                .collect(),
            references: reference_latencies(summaries(None), regions),
            summaries: selected,
            typical,
        }
    }

    /// The regions to which the host's own link is faulty: its median server there is bad, although
    /// the same servers are not bad in the pooled responses of all hosts.
    fn regions_with_faulty_link(
        &self,
        pooled: &BTreeMap<&ServerName, f64>,
        regions: &BTreeMap<&'a ServerName, &'a RegionName>,
        settings: &EjectionSettings,
    ) -> BTreeSet<&'a RegionName> {
        let seen = self.summaries.keys();
        let expected = typical_by_region(seen.map(|server| (regions[*server], pooled[*server])));
        self.typical
            .iter()
            .filter(|(region, share)| *share - expected[*region] >= settings.bad_share)
            .map(|(region, _)| *region)
            .collect()
    }

    fn vote(
        &self,
        server: &ServerName,
        region: &RegionName,
        settings: &EjectionSettings,
    ) -> Option<HostVote> {
        let summary = *self.summaries.get(server)?;
        let scale = (MAX_RESPONSES_PER_HOST / f64::from(summary.responses)).min(1.0);
        let compared = summary
            .median_latency
            .zip(self.references.get(region).copied());
        let recent_median = self.recent_medians.get(server);
        let slow = compared.map(|(median, reference)| {
            let recently_slow =
                recent_median.is_none_or(|recent| exceeds_reference(*recent, reference, settings));
            recently_slow && exceeds_reference(median, reference, settings)
        });
        let very_slow = compared.is_some_and(|(median, reference)| {
            slow == Some(true)
                && exceeds_reference(median, reference.mul_f64(STRONG_SLOW_FACTOR), settings)
        });
        Some(HostVote {
            responses: f64::from(summary.responses) * scale,
            failures: f64::from(summary.failures) * scale,
            slow,
            very_slow,
            typical: self.typical.get(region).copied().unwrap_or(0.0),
            summary,
        })
    }
}

/// A share that can be sorted; it is never NaN.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Share(f64);

/// The lower median; `None` for fewer than [`MIN_COMPARED_SERVERS`] values.
fn lower_median<T: Copy + PartialOrd>(mut values: Vec<T>) -> Option<T> {
    if values.len() < MIN_COMPARED_SERVERS {
        return None;
    }
    values.sort_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal));
    Some(values[(values.len() - 1) / 2])
}

/// Whether one response of `server` is slow compared with the other servers that the host used;
/// `None` if the host has too few responses to compare.
pub(crate) fn is_slow(
    evidence: &HostEvidence,
    regions: &BTreeMap<&ServerName, &RegionName>,
    settings: &EjectionSettings,
    server: &ServerName,
    latency: Duration,
) -> Option<bool> {
    let statistics = HostStatistics::new(evidence, regions, EvidenceSpan::UNBOUNDED);
    regions
        .get(server)
        .and_then(|region| statistics.references.get(region))
        .map(|reference| exceeds_reference(latency, *reference, settings))
}

fn exceeds_reference(latency: Duration, reference: Duration, settings: &EjectionSettings) -> bool {
    latency > reference.mul_f64(settings.slow_factor) + LATENCY_SLACK
}

/// The median bad share in each region that has enough servers to compare.
fn typical_by_region<'a>(
    shares: impl Iterator<Item = (&'a RegionName, f64)>,
) -> BTreeMap<&'a RegionName, f64> {
    let mut regions: BTreeMap<&RegionName, Vec<Share>> = BTreeMap::new();
    for (region, share) in shares {
        regions.entry(region).or_default().push(Share(share));
    }
    regions
        .into_iter()
        .filter_map(|(region, shares)| Some((region, lower_median(shares)?.0)))
        .collect()
}

/// The reference latencies of one host by region, where it has seen enough responses.
fn reference_latencies<'a>(
    summaries: impl Iterator<Item = (&'a ServerName, ResponseSummary)>,
    regions: &BTreeMap<&'a ServerName, &'a RegionName>,
) -> BTreeMap<&'a RegionName, Duration> {
    let mut latencies: BTreeMap<&RegionName, (u32, Vec<Duration>)> = BTreeMap::new();
    for (server, summary) in summaries {
        if let Some(median) = summary.median_latency {
            let (responses, medians) = latencies.entry(regions[server]).or_default();
            *responses += summary.responses;
            medians.push(median);
        }
    }
    latencies
        .into_iter()
        .filter(|(_, (responses, _))| *responses >= MIN_REFERENCE_RESPONSES)
        .filter_map(|(region, (_, medians))| Some((region, lower_median(medians)?)))
        .collect()
}

/// The bad share of each server in the pooled responses of all hosts.
fn pooled_shares<'a>(reporters: &[ReportingHost<'a>]) -> BTreeMap<&'a ServerName, f64> {
    let mut totals: BTreeMap<&ServerName, (f64, f64)> = BTreeMap::new();
    for reporter in reporters {
        for (server, summary) in &reporter.statistics.summaries {
            let scale = (MAX_RESPONSES_PER_HOST / f64::from(summary.responses)).min(1.0);
            let (responses, failures) = totals.entry(server).or_default();
            *responses += f64::from(summary.responses) * scale;
            *failures += f64::from(summary.failures) * scale;
        }
    }
    totals
        .into_iter()
        .map(|(server, (responses, failures))| (server, failures / responses))
        .collect()
}

/// A host with its data centre and statistics.
struct ReportingHost<'a> {
    host: &'a HostName,
    center: Option<&'a CenterName>,
    statistics: HostStatistics<'a>,
}

/// The unhealthy servers, by descending failure score.
pub(crate) fn unhealthy_servers(
    own: &HostName,
    hosts: &BTreeMap<HostName, HostEvidence>,
    regions: &BTreeMap<&ServerName, &RegionName>,
    settings: &EjectionSettings,
    span: EvidenceSpan,
) -> Vec<UnhealthyServer> {
    let mut reporters: Vec<ReportingHost<'_>> = hosts
        .iter()
        .map(|(host, evidence)| ReportingHost {
            host,
            center: evidence.center.as_ref(),
            statistics: HostStatistics::new(evidence, regions, span),
        })
        .collect();
    let shares = pooled_shares(&reporters);
    for reporter in &mut reporters {
        let faulty = reporter
            .statistics
            .regions_with_faulty_link(&shares, regions, settings);
        let summaries = &mut reporter.statistics.summaries;
        summaries.retain(|server, _| !faulty.contains(regions[*server]));
    }
    let all_votes: Vec<ServerVotes<'_>> = regions
        .iter()
        .map(|(server, region)| {
            let votes = reporters.iter().filter_map(|reporter| {
                let vote = reporter.statistics.vote(server, region, settings)?;
                Some((reporter.host, reporter.center, vote))
            });
            ServerVotes {
                server,
                votes: votes.collect(),
            }
        })
        .collect();
    let totals: Vec<VoteTotals> = all_votes.iter().map(ServerVotes::total).collect();
    let typical = TypicalShares::of(&totals);
    let mut unhealthy: Vec<UnhealthyServer> = all_votes
        .iter()
        .filter_map(|server_votes| evaluate_server(own, server_votes, typical, settings))
        .collect();
    unhealthy.sort_by(|left, right| {
        right
            .failure_score
            .total_cmp(&left.failure_score)
            .then_with(|| left.server.cmp(&right.server))
    });
    unhealthy
}

fn evaluate_server(
    own: &HostName,
    server_votes: &ServerVotes<'_>,
    typical: TypicalShares,
    settings: &EjectionSettings,
) -> Option<UnhealthyServer> {
    let votes = &server_votes.votes;
    let mut centers: BTreeMap<Option<&CenterName>, VoteTotals> = BTreeMap::new();
    for (_, center, vote) in votes {
        centers.entry(*center).or_default().add(vote);
    }
    let reporting = votes
        .iter()
        .filter(|(_, _, vote)| vote.failures > 0.0 || vote.slow == Some(true))
        .count();
    let deciding: Vec<&VoteTotals> = centers
        .values()
        .filter(|sum| sum.responses >= MIN_RESPONSES)
        .collect();
    let majority = |holds: &dyn Fn(&VoteTotals) -> bool| {
        deciding.iter().filter(|sum| holds(sum)).count() * 2 > deciding.len()
    };
    if reporting >= MIN_REPORTING_HOSTS && majority(&|sum| sum.is_unhealthy(typical, settings)) {
        let total = server_votes.total();
        return Some(UnhealthyServer {
            server: server_votes.server.clone(),
            scope: EjectionScope::Fleet,
            failure_score: total.bad_share() + total.slow_share(),
            slow_only: !majority(&|sum| sum.is_bad(typical, settings)),
        });
    }
    let (_, _, vote) = votes.iter().find(|(host, ..)| *host == own)?;
    evaluate_alone(server_votes.server, vote, settings)
}

/// The decision of one host on strong evidence of its own.
fn evaluate_alone(
    server: &ServerName,
    vote: &HostVote,
    settings: &EjectionSettings,
) -> Option<UnhealthyServer> {
    let summary = &vote.summary;
    let share = summary.bad_share();
    let stands_out = share - vote.typical >= settings.bad_share.max(STRONG_BAD_SHARE);
    let bad = f64::from(summary.failures) >= MIN_FAILURES && stands_out;
    let slow = summary.responses >= MIN_SLOW_RESPONSES && vote.very_slow;
    (bad || slow).then(|| UnhealthyServer {
        server: server.clone(),
        scope: EjectionScope::Local,
        failure_score: share + if slow { 1.0 } else { 0.0 },
        slow_only: !bad,
    })
}
