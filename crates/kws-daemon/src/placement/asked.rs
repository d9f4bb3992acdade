//! Slot requests sent to other hosts that have no final reply yet.

use crate::dispatch::GrantReply;
use kws_protocol::{HostName, SlotRequest};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time without a reply after which a host counts as unresponsive. Hosts of one region reply within
/// a few milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);

/// Time after which a queued slot request is sent again.
const REMIND_AFTER: Duration = Duration::from_millis(300);

/// A slot request without a final reply.
pub(super) struct OwnAsk {
    pub(super) request: SlotRequest,
    pub(super) reply: GrantReply,
    pub(super) keeper: HostName,
    pub(super) sent: Instant,
    asked: Instant,
    queued: bool,
}

impl OwnAsk {
    pub(super) fn new(
        request: SlotRequest,
        reply: GrantReply,
        keeper: HostName,
        now: Instant,
    ) -> Self {
        Self {
            request,
            reply,
            keeper,
            sent: now,
            asked: now,
            queued: false,
        }
    }

    /// The request with the time that remains at `now`.
    fn current(&self, now: Instant) -> SlotRequest {
        let waited = now.saturating_duration_since(self.sent);
        SlotRequest {
            remaining: self.request.remaining.saturating_sub(waited),
            ..self.request.clone()
        }
    }
}

/// Pending slot requests of this host, by ticket.
#[derive(Default)]
pub(super) struct AskedTickets(HashMap<u64, OwnAsk>);

impl AskedTickets {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn add(&mut self, ask: OwnAsk) {
        self.0.insert(ask.request.ticket, ask);
    }

    pub(super) fn remove(&mut self, ticket: u64) -> Option<OwnAsk> {
        self.0.remove(&ticket)
    }

    pub(super) fn note_queued(&mut self, ticket: u64, now: Instant) {
        if let Some(ask) = self.0.get_mut(&ticket) {
            ask.queued = true;
            ask.asked = now;
        }
    }

    /// Removes and returns the requests that got no reply in time.
    pub(super) fn take_unanswered(&mut self, now: Instant) -> Vec<OwnAsk> {
        self.take_if(now, |ask| {
            !ask.queued && now.saturating_duration_since(ask.asked) >= ANSWER_LIMIT
        })
    }

    /// Removes and returns the requests to hosts that are no longer `known`.
    pub(super) fn take_lost(&mut self, known: impl Fn(&HostName) -> bool) -> Vec<OwnAsk> {
        self.take_if(Instant::now(), |ask| !known(&ask.keeper))
    }

    fn take_if(&mut self, now: Instant, wanted: impl Fn(&OwnAsk) -> bool) -> Vec<OwnAsk> {
        let taken = self.0.extract_if(|_, ask| wanted(ask));
        taken
            .map(|(_, mut ask)| {
                ask.request = ask.current(now);
                ask
            })
            .collect()
    }

    /// The queued requests to send again: the host may have lost the request or be down.
    pub(super) fn take_reminders(&mut self, now: Instant) -> Vec<(HostName, SlotRequest)> {
        let mut reminders = Vec::new();
        for ask in self.0.values_mut() {
            if ask.queued && now.saturating_duration_since(ask.asked) >= REMIND_AFTER {
                reminders.push((ask.keeper.clone(), ask.current(now)));
                ask.queued = false;
                ask.asked = now;
            }
        }
        reminders
    }
}
