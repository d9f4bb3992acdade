//! Slot requests sent to other hosts that have no final reply yet.

use crate::dispatch::GrantReply;
use kws_protocol::{HostName, SlotRequest};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time without a reply after which a host counts as unresponsive. Hosts of one region reply within
/// a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which a queued slot request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// A slot request without a final reply.
pub(super) struct PendingSlot {
    pub(super) request: SlotRequest,
    pub(super) reply: GrantReply,
    pub(super) owner: HostName,
    pub(super) first_sent: Instant,
    last_message: Instant,
    queued: bool,
}

impl PendingSlot {
    pub(super) fn new(
        request: SlotRequest,
        reply: GrantReply,
        owner: HostName,
        now: Instant,
    ) -> Self {
        Self {
            request,
            reply,
            owner,
            first_sent: now,
            last_message: now,
            queued: false,
        }
    }

    /// The request with the time that remains at `now`.
    fn updated_request(&self, now: Instant) -> SlotRequest {
        let waited = now.saturating_duration_since(self.first_sent);
        SlotRequest {
            remaining: self.request.remaining.saturating_sub(waited),
            objective: self
                .request
                .objective
                .map(|left| left.saturating_sub(waited)),
            ..self.request.clone()
        }
    }
}

/// Pending slot requests of this host, by ticket.
#[derive(Default)]
pub(super) struct PendingSlots(HashMap<u64, PendingSlot>);

impl PendingSlots {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn add(&mut self, pending: PendingSlot) {
        self.0.insert(pending.request.ticket, pending);
    }

    pub(super) fn remove(&mut self, ticket: u64) -> Option<PendingSlot> {
        self.0.remove(&ticket)
    }

    /// Removes and returns the request that `from` replies to. A request that has moved to another
    /// host keeps its ticket; a reply of the earlier one isn't the reply to it.
    pub(super) fn take_replied(&mut self, ticket: u64, from: &HostName) -> Option<PendingSlot> {
        let is_asked = self.0.get(&ticket)?.owner.matches(from);
        is_asked.then(|| self.0.remove(&ticket))?
    }

    /// Records that `from` has queued the request.
    pub(super) fn record_queued(&mut self, ticket: u64, from: &HostName, now: Instant) {
        let pending = self.0.get_mut(&ticket);
        if let Some(pending) = pending.filter(|pending| pending.owner.matches(from)) {
            pending.queued = true;
            pending.last_message = now;
        }
    }

    /// Removes and returns the requests that got no reply in time.
    pub(super) fn take_timed_out(&mut self, now: Instant) -> Vec<PendingSlot> {
        self.take_if(now, |pending| {
            !pending.queued && now.saturating_duration_since(pending.last_message) >= REPLY_TIMEOUT
        })
    }

    /// Removes and returns the requests to hosts that no longer pass `is_listed`.
    pub(super) fn take_unlisted(
        &mut self,
        is_listed: impl Fn(&HostName) -> bool,
    ) -> Vec<PendingSlot> {
        self.take_if(Instant::now(), |pending| !is_listed(&pending.owner))
    }

    fn take_if(
        &mut self,
        now: Instant,
        condition: impl Fn(&PendingSlot) -> bool,
    ) -> Vec<PendingSlot> {
        let taken = self.0.extract_if(|_, pending| condition(pending));
        taken
            .map(|(_, mut pending)| {
                pending.request = pending.updated_request(now);
                pending
            })
            .collect()
    }

    /// The queued requests to send again: the host may have lost the request or be down.
    pub(super) fn resend_due(&mut self, now: Instant) -> Vec<(HostName, SlotRequest)> {
        let mut due = Vec::new();
        for pending in self.0.values_mut() {
            if pending.queued && now.saturating_duration_since(pending.last_message) >= RESEND_DELAY
            {
                due.push((pending.owner.clone(), pending.updated_request(now)));
                pending.queued = false;
                pending.last_message = now;
            }
        }
        due
    }
}
