//! Wire types of tickets. Each request takes three of these messages, so their keys are short.

use super::WireError;
use crate::{
    CenterName, RefusalReason, ServerLoad, ServerName, ServiceName, SlotGrant, SlotOutcome,
    SlotRequest, TeamName, TicketMessage, TokenRequestKind, TryKind,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct WireSlotRequest {
    #[serde(rename = "i")]
    ticket: u64,
    #[serde(rename = "s")]
    service: ServiceName,
    #[serde(rename = "c")]
    center: CenterName,
    #[serde(rename = "t")]
    team: TeamName,
    #[serde(rename = "w")]
    weight: f64,
    #[serde(rename = "p")]
    priority: u32,
    #[serde(rename = "l")]
    remaining_ms: u64,
    #[serde(default, rename = "o", skip_serializing_if = "Option::is_none")]
    objective_ms: Option<u64>,
    #[serde(rename = "r")]
    repeatable: bool,
    #[serde(rename = "b")]
    expected_bytes: u64,
    #[serde(default, rename = "u", skip_serializing_if = "is_zero")]
    unserved_percent: u8,
    #[serde(default, rename = "x", skip_serializing_if = "Vec::is_empty")]
    excluded: Vec<ServerName>,
    #[serde(rename = "a")]
    retry: bool,
    #[serde(default, rename = "f", skip_serializing_if = "is_unset")]
    replacement: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) enum WireOutcome {
    #[serde(rename = "g")]
    Succeeded,
    #[serde(rename = "b")]
    Failed,
    #[serde(rename = "l")]
    TimedOut,
    #[serde(rename = "u")]
    ConnectFailed,
    #[serde(rename = "s")]
    NotRun,
    #[serde(rename = "m")]
    Misdirected,
    #[serde(rename = "c")]
    Cancelled,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WireTicket {
    #[serde(rename = "a")]
    RequestSlot(WireSlotRequest),
    #[serde(rename = "q")]
    Queued { i: u64 },
    #[serde(rename = "g")]
    Grant {
        i: u64,
        n: ServerName,
        p: String,
        #[serde(default, skip_serializing_if = "is_unset")]
        t: bool,
    },
    #[serde(rename = "r")]
    Refuse {
        i: u64,
        y: RefusalReason,
        w: Option<u64>,
    },
    #[serde(rename = "e")]
    Finished {
        i: u64,
        s: ServiceName,
        n: Option<ServerName>,
        e: WireOutcome,
        l: u64,
        d: bool,
    },
    #[serde(rename = "n")]
    Running { i: Vec<u64> },
    #[serde(rename = "l")]
    Loads {
        s: ServiceName,
        d: Vec<(ServerName, u32, f32)>,
    },
    #[serde(rename = "k")]
    RequestToken {
        i: u64,
        t: TeamName,
        f: bool,
        #[serde(default, skip_serializing_if = "is_unset")]
        p: bool,
        #[serde(default, skip_serializing_if = "is_zero_count")]
        o: u32,
    },
    #[serde(rename = "o")]
    TokenReply { i: u64, w: Option<u64> },
}

macro_rules! map_outcomes {
    ($($name:ident),*) => {
        impl From<SlotOutcome> for WireOutcome {
            fn from(outcome: SlotOutcome) -> Self {
                match outcome { $(SlotOutcome::$name => Self::$name),* }
            }
        }

        impl From<WireOutcome> for SlotOutcome {
            fn from(outcome: WireOutcome) -> Self {
                match outcome { $(WireOutcome::$name => Self::$name),* }
            }
        }
    };
}

map_outcomes!(
    Succeeded,
    Failed,
    TimedOut,
    ConnectFailed,
    NotRun,
    Misdirected,
    Cancelled
);

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde asks for"
)]
fn is_zero_count(count: &u32) -> bool {
    *count == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde asks for"
)]
fn is_unset(flag: &bool) -> bool {
    !flag
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde asks for"
)]
fn is_zero(percent: &u8) -> bool {
    *percent == 0
}

fn round_up_millis(time: Duration) -> u64 {
    time.as_micros().div_ceil(1_000) as u64
}

impl From<&SlotRequest> for WireSlotRequest {
    fn from(request: &SlotRequest) -> Self {
        Self {
            ticket: request.ticket,
            service: request.service.clone(),
            center: request.center.clone(),
            team: request.team.clone(),
            weight: request.weight,
            priority: request.priority,
            // Rounded down: the time left must not grow in transit.
            remaining_ms: request.remaining.as_millis() as u64,
            objective_ms: request.objective.map(|left| left.as_millis() as u64),
            repeatable: request.repeatable,
            expected_bytes: request.expected_bytes,
            unserved_percent: (request.unserved_share.clamp(0.0, 1.0) * 100.0).round() as u8,
            excluded: request.excluded.clone(),
            retry: request.kind == TryKind::Retry,
            replacement: request.kind == TryKind::Replacement,
        }
    }
}

impl TryFrom<WireSlotRequest> for SlotRequest {
    type Error = WireError;

    fn try_from(wire: WireSlotRequest) -> Result<Self, WireError> {
        if !wire.weight.is_finite() || wire.weight <= 0.0 {
            return Err(WireError::InvalidField { field: "weight" });
        }
        Ok(Self {
            ticket: wire.ticket,
            service: wire.service,
            center: wire.center,
            team: wire.team,
            weight: wire.weight,
            priority: wire.priority,
            remaining: Duration::from_millis(wire.remaining_ms),
            objective: wire.objective_ms.map(Duration::from_millis),
            repeatable: wire.repeatable,
            expected_bytes: wire.expected_bytes,
            unserved_share: f64::from(wire.unserved_percent.min(100)) / 100.0,
            excluded: wire.excluded,
            kind: match (wire.retry, wire.replacement) {
                (_, true) => TryKind::Replacement,
                (true, false) => TryKind::Retry,
                (false, false) => TryKind::First,
            },
        })
    }
}

impl From<&TicketMessage> for WireTicket {
    fn from(message: &TicketMessage) -> Self {
        match message {
            TicketMessage::RequestSlot(request) => Self::RequestSlot(request.into()),
            TicketMessage::Queued { ticket } => Self::Queued { i: *ticket },
            TicketMessage::Grant { ticket, grant } => Self::Grant {
                i: *ticket,
                n: grant.server.clone(),
                p: grant.address.to_string(),
                t: grant.probe,
            },
            TicketMessage::Refuse {
                ticket,
                reason,
                retry_after,
            } => Self::Refuse {
                i: *ticket,
                y: *reason,
                w: retry_after.map(round_up_millis),
            },
            TicketMessage::Finished {
                ticket,
                service,
                server,
                outcome,
                latency,
                draining,
            } => Self::Finished {
                i: *ticket,
                s: service.clone(),
                n: server.clone(),
                e: (*outcome).into(),
                l: latency.as_micros() as u64,
                d: *draining,
            },
            TicketMessage::Running { tickets } => Self::Running { i: tickets.clone() },
            TicketMessage::Loads { service, loads } => Self::Loads {
                s: service.clone(),
                d: loads
                    .iter()
                    .map(|load| (load.server.clone(), load.placed, load.evidence as f32))
                    .collect(),
            },
            TicketMessage::RequestToken {
                id,
                team,
                kind,
                owed,
            } => Self::RequestToken {
                i: *id,
                t: team.clone(),
                f: *kind == TokenRequestKind::Loan,
                p: *kind == TokenRequestKind::Passed,
                o: *owed,
            },
            TicketMessage::TokenReply { id, retry_after } => Self::TokenReply {
                i: *id,
                w: retry_after.map(round_up_millis),
            },
        }
    }
}

impl TryFrom<WireTicket> for TicketMessage {
    type Error = WireError;

    fn try_from(wire: WireTicket) -> Result<Self, WireError> {
        Ok(match wire {
            WireTicket::RequestSlot(request) => Self::RequestSlot(request.try_into()?),
            WireTicket::Queued { i } => Self::Queued { ticket: i },
            WireTicket::Grant { i, n, p, t } => {
                let address: SocketAddr = p
                    .parse()
                    .map_err(|_| WireError::InvalidField { field: "address" })?;
                Self::Grant {
                    ticket: i,
                    grant: SlotGrant {
                        server: n,
                        address,
                        probe: t,
                    },
                }
            }
            WireTicket::Refuse { i, y, w } => Self::Refuse {
                ticket: i,
                reason: y,
                retry_after: w.map(Duration::from_millis),
            },
            WireTicket::Finished { i, s, n, e, l, d } => Self::Finished {
                ticket: i,
                service: s,
                server: n,
                outcome: e.into(),
                latency: Duration::from_micros(l),
                draining: d,
            },
            WireTicket::Running { i } => Self::Running { tickets: i },
            WireTicket::Loads { s, d } => {
                let finite = d.iter().all(|(_, _, evidence)| evidence.is_finite());
                if !finite {
                    return Err(WireError::InvalidField { field: "evidence" });
                }
                let load = |(server, placed, evidence): (ServerName, u32, f32)| ServerLoad {
                    server,
                    placed,
                    evidence: f64::from(evidence),
                };
                Self::Loads {
                    service: s,
                    loads: d.into_iter().map(load).collect(),
                }
            }
            WireTicket::RequestToken { i, t, f, p, o } => Self::RequestToken {
                id: i,
                team: t,
                kind: match (f, p) {
                    (true, _) => TokenRequestKind::Loan,
                    (false, true) => TokenRequestKind::Passed,
                    (false, false) => TokenRequestKind::Own,
                },
                owed: o,
            },
            WireTicket::TokenReply { i, w } => Self::TokenReply {
                id: i,
                retry_after: w.map(Duration::from_millis),
            },
        })
    }
}
