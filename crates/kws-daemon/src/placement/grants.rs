//! Slots and refusals from the own placer and from other hosts.

use super::{
    GrantedTicket, PlacementThread, finished_message, place_request, status::health_state,
};
use crate::{
    dispatch::GrantReply,
    try_log::{self, PlacedTry},
};
use kws_dispatch::{PlaceAction, RefusalContext, ServerGrant, ServerHealth, TicketId};
use kws_forward::Refusal;
use kws_protocol::{
    HostName, PeerMessage, ServerName, ServiceName, SlotGrant, SlotOutcome, SlotRequest,
    TicketMessage,
};
use tokio::time::Instant;

impl PlacementThread {
    pub(super) fn handle_slot_request(
        &mut self,
        from: &HostName,
        request: SlotRequest,
        now: Instant,
    ) {
        let ticket = request.ticket;
        let (key, known) = self.remote.key_for(from, ticket, now);
        if !known {
            let actions = self
                .placer
                .request_slot(place_request(request, key, now), now);
            self.run_actions(actions, now);
        } else if let Some(grant) = self.remote.granted(key) {
            let message = TicketMessage::Grant { ticket, grant };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
        if self.placer.is_queued(key) {
            let message = TicketMessage::Queued { ticket };
            self.peers.send(from, PeerMessage::Ticket(message));
        }
    }

    pub(super) fn handle_grant(
        &mut self,
        from: &HostName,
        ticket: u64,
        grant: SlotGrant,
        now: Instant,
    ) {
        let id = TicketId(ticket);
        let Some(pending) = self.pending.take_replied(ticket, from) else {
            // The request was placed elsewhere or cancelled in the meantime: release the slot.
            if !self.granted.contains_key(&id) {
                let service = ServiceName::new("");
                let message = finished_message(id, service, None, SlotOutcome::Cancelled);
                self.peers.send(from, message);
            }
            return;
        };
        let granted = GrantedTicket {
            placed_by: Some(from.clone()),
            service: pending.request.service,
            server: grant.server.clone(),
            address: grant.address,
            since: now,
        };
        self.deliver_grant(id, granted, grant, pending.reply, now);
    }

    pub(super) fn deliver_grant(
        &mut self,
        ticket: TicketId,
        granted: GrantedTicket,
        slot: SlotGrant,
        reply: GrantReply,
        now: Instant,
    ) {
        let grant = ServerGrant {
            ticket,
            server: slot.server,
            address: slot.address,
            probe: slot.probe,
            spill: false,
        };
        self.granted.insert(ticket, granted);
        if reply.send(Ok(grant)).is_err() {
            self.cancel(ticket, now);
        }
    }

    pub(super) fn run_actions(&mut self, actions: Vec<PlaceAction>, now: Instant) {
        for action in actions {
            match action {
                PlaceAction::Grant {
                    key,
                    server,
                    address,
                    health,
                } => {
                    self.log_placed(key, &server, health);
                    let grant = SlotGrant {
                        server,
                        address,
                        probe: health != ServerHealth::Healthy,
                    };
                    self.send_grant(key, grant, now);
                }
                PlaceAction::Refuse {
                    key,
                    reason,
                    retry_after,
                    context,
                } => {
                    let refusal = Refusal {
                        reason,
                        retry_after,
                    };
                    self.send_refusal(key, refusal, &context);
                }
                PlaceAction::HealthChanged {
                    service,
                    server,
                    ejected,
                    cause,
                } => log::info!(
                    service = service.as_str(),
                    server = server.as_str(),
                    out = ejected,
                    cause = cause;
                    "server judged"
                ),
            }
        }
    }

    /// Logs grants to other hosts, and grants to this host on servers that are not healthy.
    pub(super) fn log_placed(&self, key: u64, server: &ServerName, health: ServerHealth) {
        let own = &self.shared.identity.host;
        let asker = self.remote.asker(key);
        if asker.is_none() && health == ServerHealth::Healthy {
            return;
        }
        let (asker, ticket) = asker.unwrap_or((own, key));
        let placed = PlacedTry {
            server,
            health: health_state(health),
            queue_length: self.placer.queue_length(),
        };
        try_log::log_placed(asker, ticket, &placed);
    }

    pub(super) fn send_grant(&mut self, key: u64, grant: SlotGrant, now: Instant) {
        if let Some((host, ticket)) = self.remote.record_grant(key, &grant, now) {
            let message = TicketMessage::Grant { ticket, grant };
            self.peers.send(&host, PeerMessage::Ticket(message));
            return;
        }
        let Some((reply, service)) = self
            .queued
            .remove(&key)
            .zip(self.placer.service_of(key).cloned())
        else {
            let actions = self.placer.cancel(key, now);
            return self.run_actions(actions, now);
        };
        let granted = GrantedTicket {
            placed_by: None,
            service,
            server: grant.server.clone(),
            address: grant.address,
            since: now,
        };
        self.deliver_grant(TicketId(key), granted, grant, reply, now);
    }

    pub(super) fn send_refusal(&mut self, key: u64, refusal: Refusal, context: &RefusalContext) {
        if let Some((host, ticket)) = self.remote.remove_key(key) {
            try_log::log_refused(&host, ticket, refusal, context);
            let message = TicketMessage::Refuse {
                ticket,
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            };
            self.peers.send(&host, PeerMessage::Ticket(message));
        } else if let Some(reply) = self.queued.remove(&key) {
            let own = &self.shared.identity.host;
            try_log::log_refused(own, key, refusal, context);
            self.try_log.log_refused(key, own, refusal);
            let _ = reply.send(Err(refusal));
        }
    }
}
