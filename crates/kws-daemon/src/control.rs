//! Implements the control interface of the caller listeners on top of the channels to the ledger
//! and the dispatcher.

use crate::{
    access::write_access,
    dispatch::DispatchEvent,
    ledger::LedgerEvent,
    shared::{DaemonShared, lock},
    try_log::log_extra_response,
};
use futures_util::future::BoxFuture;
use kws_admin::RequestRecord;
use kws_dispatch::{DispatchRequest, RetryBudget, RetrySource, TicketId};
use kws_forward::{
    AccessRecord, ExtraResponse, ForwardControl, GrantTicket, Refusal, RetryPermission,
    RoutingView, ServerGrant, ServerRequest, TryOutcome,
};
use kws_protocol::{RefusalReason, RetryReason, RouteName, ServiceName, TeamName, TryKind};
use std::{
    collections::HashMap,
    mem,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::sync::{
    mpsc::{OwnedPermit, Sender},
    oneshot,
};

/// The team under which requests without an API key are queued.
const KEYLESS_TEAM: &str = "";
/// Connects the caller listeners to the ledger and the dispatcher.
pub(crate) struct ChannelControl {
    shared: Arc<DaemonShared>,
    ledger: Sender<LedgerEvent>,
    dispatch: Sender<DispatchEvent>,
    permits: Arc<TicketPermits>,
    shared_placement: bool,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

/// Reserved capacity of the dispatch channel, one permit per open ticket, taken when the ticket is
/// issued. The end of a ticket can therefore always be sent; if a full channel dropped it, the slot
/// would leak.
#[derive(Default)]
struct TicketPermits {
    next_ticket: AtomicU64,
    permits: Mutex<HashMap<u64, OwnedPermit<DispatchEvent>>>,
}

impl TicketPermits {
    fn insert(&self, permit: OwnedPermit<DispatchEvent>) -> TicketId {
        let number = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        lock(&self.permits).insert(number, permit);
        TicketId(number)
    }

    fn remove(&self, ticket: TicketId) -> Option<OwnedPermit<DispatchEvent>> {
        lock(&self.permits).remove(&ticket.0)
    }
}

/// Cancels the ticket on drop, unless the listener has received the reply.
struct TicketGuard {
    permits: Arc<TicketPermits>,
    ticket: Option<TicketId>,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket
            && let Some(permit) = self.permits.remove(ticket)
        {
            permit.send(DispatchEvent::Cancel(ticket));
        }
    }
}

impl ChannelControl {
    pub(crate) fn new(
        shared: Arc<DaemonShared>,
        ledger: Sender<LedgerEvent>,
        dispatch: Sender<DispatchEvent>,
        shared_placement: bool,
    ) -> Self {
        Self {
            shared,
            ledger,
            dispatch,
            shared_placement,
            permits: Arc::default(),
            budgets: Mutex::default(),
        }
    }

    fn record_full_channel(&self, channel: &str) -> RefusalReason {
        self.shared.metrics.record_full_channel(channel);
        RefusalReason::QueueFull
    }

    fn enqueue(
        &self,
        mut request: ServerRequest,
    ) -> Result<(TicketGuard, oneshot::Receiver<GrantResult>), RefusalReason> {
        let dispatch = self.dispatch.clone();
        let permit = dispatch
            .try_reserve_owned()
            .map_err(|_| self.record_full_channel("dispatch"))?;
        let ticket = self.permits.insert(permit);
        let mut guard = TicketGuard {
            permits: Arc::clone(&self.permits),
            ticket: Some(ticket),
        };
        let (reply, granted) = oneshot::channel();
        let event = DispatchEvent::Enqueue {
            request_id: mem::take(&mut request.request_id),
            request: self.dispatch_request(ticket, request),
            reply,
        };
        if self.dispatch.try_send(event).is_err() {
            guard.ticket = None;
            self.permits.remove(ticket);
            return Err(self.record_full_channel("dispatch"));
        }
        Ok((guard, granted))
    }

    fn dispatch_request(&self, ticket: TicketId, request: ServerRequest) -> DispatchRequest {
        let team = request.team.unwrap_or_else(|| TeamName::new(KEYLESS_TEAM));
        let weight = self.shared.snapshot().map_or(1.0, |snapshot| {
            let settings = snapshot.settings.teams.get(&team);
            settings.map_or(1.0, |team| team.weight)
        });
        DispatchRequest {
            ticket,
            service: request.service,
            team,
            weight,
            deadline: request.deadline,
            objective: request.objective,
            priority: request.priority,
            repeatable: request.repeatable,
            kind: request.kind,
            bytes: request.response_bytes,
            unserved_share: request.unserved_share,
            excluded: request.excluded.into_iter().collect(),
        }
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let share = self.shared.snapshot().map_or(0.0, |snapshot| {
            let settings = snapshot.settings.services.get(service);
            settings.map_or(0.0, |service| service.retry_budget)
        });
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(share));
        budget.set_ratio(share);
        operation(budget)
    }
}

type GrantResult = Result<kws_dispatch::ServerGrant, Refusal>;

impl ForwardControl for ChannelControl {
    fn view(&self) -> Option<Arc<RoutingView>> {
        self.shared.view()
    }

    fn is_current(&self) -> bool {
        self.shared.is_current()
    }

    fn is_joining(&self) -> bool {
        self.shared.is_joining()
    }

    fn admit(&self, request_id: &str, team: &TeamName) -> BoxFuture<'static, Result<(), Refusal>> {
        let (reply, decision) = oneshot::channel();
        let event = LedgerEvent::Admit {
            request_id: request_id.to_owned(),
            team: team.clone(),
            reply,
        };
        if self.ledger.try_send(event).is_err() {
            let refusal = self.record_full_channel("ledger").into();
            return Box::pin(async move { Err(refusal) });
        }
        Box::pin(async move {
            let refusal = Err(RefusalReason::Stopping.into());
            decision.await.unwrap_or(refusal)
        })
    }

    fn acquire(&self, request: ServerRequest) -> BoxFuture<'static, Result<ServerGrant, Refusal>> {
        if request.kind == TryKind::First {
            self.with_retry_budget(&request.service, RetryBudget::record_first_try);
        }
        let queued = self.enqueue(request);
        Box::pin(async move {
            let (mut guard, granted) = queued.map_err(Refusal::from)?;
            let result = granted.await.unwrap_or(Err(RefusalReason::Stopping.into()));
            let ticket = guard.ticket.take();
            match (result, ticket) {
                (Ok(grant), _) => Ok(ServerGrant {
                    server: grant.server,
                    address: grant.address,
                    ticket: GrantTicket(grant.ticket.0),
                    probe: grant.probe,
                }),
                (Err(reason), ticket) => {
                    ticket.and_then(|ticket| guard.permits.remove(ticket));
                    Err(reason)
                }
            }
        })
    }

    fn retry(&self, service: &ServiceName) -> RetryPermission {
        // With shared placement, the host that places the request charges its retry budget.
        if self.shared_placement || self.with_retry_budget(service, RetryBudget::spend) {
            return RetryPermission::Granted;
        }
        RetryPermission::Denied
    }

    fn finish(&self, ticket: GrantTicket, outcome: TryOutcome) {
        let ticket = TicketId(ticket.0);
        if let Some(permit) = self.permits.remove(ticket) {
            permit.send(DispatchEvent::Finish { ticket, outcome });
        }
    }

    fn count_refusal(&self, reason: RefusalReason) {
        self.shared.metrics.record_refusal(reason);
    }

    fn count_retry(&self, reason: RetryReason) {
        self.shared.metrics.record_retry(reason);
    }

    fn record_extra_response(&self, extra: &ExtraResponse) {
        self.shared
            .metrics
            .record_extra_response(extra.kind.as_str());
        log_extra_response(extra);
    }

    fn record_access(&self, record: AccessRecord) {
        let service = record.service.as_ref();
        let route = record.route.as_ref();
        self.shared.metrics.record_request(RequestRecord {
            service: service.map_or("none", ServiceName::as_str),
            route: route.map_or("none", RouteName::as_str),
            status: record.status,
            waited: record.waited,
            latency: record.latency,
        });
        write_access(&record);
    }
}
