//! Requests for which another host was asked for a slot.

use crate::dispatch::GrantReply;
use kws_protocol::{HostName, SlotRequest};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// A host of the same region answers within some milliseconds; one that does not within this is
/// taken to be away.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);

/// A host that said that a request waits there is asked again after this.
const REMIND_AFTER: Duration = Duration::from_millis(300);

/// One such request.
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

    /// The request as it is now: the time left shrinks.
    fn current(&self, now: Instant) -> SlotRequest {
        let waited = now.saturating_duration_since(self.sent);
        SlotRequest {
            remaining: self.request.remaining.saturating_sub(waited),
            ..self.request.clone()
        }
    }
}

/// All of them, by ticket.
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

    /// Takes the requests whose host did not answer in time.
    pub(super) fn take_unanswered(&mut self, now: Instant) -> Vec<OwnAsk> {
        self.take_if(now, |ask| {
            !ask.queued && now.saturating_duration_since(ask.asked) >= ANSWER_LIMIT
        })
    }

    /// Takes the requests whose host `known` does not name any more.
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

    /// The questions to repeat: the host may have forgotten the request, or be gone.
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
