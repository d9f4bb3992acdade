//! What other hosts learn of tries that ended or still run.

use super::{GrantedTicket, PlacementThread};
use crate::try_log::EndedTry;
use kws_dispatch::{PlaceOutcome, PlaceReport, TicketId};
use kws_forward::{TryClass, TryOutcome};
use kws_protocol::{HostName, PeerMessage, SlotOutcome, TicketMessage};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Run time after which a request is reported to the host that placed it. Most requests end before.
const RUNNING_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time for which a server is excluded after this host failed to connect to it.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(4);

impl PlacementThread {
    pub(super) fn finish(&mut self, ticket: TicketId, outcome: TryOutcome, now: Instant) {
        if let Some(granted) = self.granted.remove(&ticket) {
            self.finish_granted(ticket, granted, outcome, now);
        }
    }

    /// Reports the outcome of a try to the host that placed it, to the current owner of the service
    /// and to the owner in the server's region. The owners get the outcomes of uncoordinated
    /// placements and of other regions' requests as evidence too.
    pub(super) fn finish_granted(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        outcome: TryOutcome,
        now: Instant,
    ) {
        let GrantedTicket {
            placed_by,
            service,
            server,
            address,
            since,
        } = granted;
        let own = self.shared.identity.host.clone();
        let ended = EndedTry {
            server: &server,
            address,
            placed_by: placed_by.as_ref().unwrap_or(&own),
            since,
            outcome,
        };
        self.try_log.log_ended(ticket.0, &ended);
        let slot_outcome = slot_outcome(outcome.class);
        if slot_outcome == SlotOutcome::ConnectFailed {
            log::info!(server = server.as_str(); "no way to a server");
            self.unreachable
                .insert(server.clone(), now + UNREACHABLE_COOLDOWN);
        }
        if placed_by.is_none() {
            let place_outcome = PlaceOutcome {
                outcome: slot_outcome,
                latency: outcome.latency,
                draining: outcome.draining,
            };
            let report = PlaceReport {
                reporter: &own,
                server: Some(&server),
                outcome: place_outcome,
            };
            let actions = self.placer.complete(ticket.0, &service, report, now);
            self.run_actions(actions, now);
        }
        // The host that placed the request releases the slot; the owners rate the server.
        let owners = [
            Some(self.owner(&service, now)),
            self.remote_owner(&service, &server, now),
        ];
        let recipients: BTreeSet<HostName> = placed_by
            .into_iter()
            .chain(owners.into_iter().flatten())
            .collect();
        let message = TicketMessage::Finished {
            ticket: ticket.0,
            service,
            server: Some(server),
            outcome: slot_outcome,
            latency: outcome.latency,
            draining: outcome.draining,
        };
        for to in recipients.iter().filter(|to| **to != own) {
            self.peers.send(to, PeerMessage::Ticket(message.clone()));
        }
    }

    /// Reports long-running requests to the hosts that placed them, which release a slot after a
    /// time-out if its request is not reported.
    pub(super) fn report_running(&mut self, now: Instant) {
        let mut reports: BTreeMap<&HostName, Vec<u64>> = BTreeMap::new();
        let mut own = Vec::new();
        for (ticket, granted) in &self.granted {
            if now.saturating_duration_since(granted.since) < RUNNING_REPORT_DELAY {
                continue;
            }
            match &granted.placed_by {
                Some(host) => reports.entry(host).or_default().push(ticket.0),
                None => own.push(ticket.0),
            }
        }
        for (host, tickets) in reports {
            let message = TicketMessage::Running { tickets };
            self.peers.send(host, PeerMessage::Ticket(message));
        }
        for key in own {
            let actions = self.placer.confirm_running(key, now);
            self.run_actions(actions, now);
        }
    }

    pub(super) fn handle_running(&mut self, from: &HostName, tickets: &[u64], now: Instant) {
        for ticket in tickets {
            if let Some(key) = self.remote.confirm(from, *ticket, now) {
                let actions = self.placer.confirm_running(key, now);
                self.run_actions(actions, now);
            }
        }
    }
}

fn slot_outcome(class: TryClass) -> SlotOutcome {
    match class {
        TryClass::Succeeded => SlotOutcome::Succeeded,
        TryClass::Failed => SlotOutcome::Failed,
        TryClass::TimedOut => SlotOutcome::TimedOut,
        TryClass::ConnectFailed => SlotOutcome::ConnectFailed,
        TryClass::NotRun => SlotOutcome::NotRun,
        TryClass::Misdirected => SlotOutcome::Misdirected,
        TryClass::Cancelled => SlotOutcome::Cancelled,
    }
}
