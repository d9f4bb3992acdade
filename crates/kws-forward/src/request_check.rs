//! Admission checks of a request by its head: routing, size and authentication.

use crate::{
    head::{BodyLength, RequestParts},
    refusal::RequestRefusal,
    routing::RoutingView,
    worker::WorkerState,
};
use kws_membership::KeyMatch;
use kws_protocol::{RefusalReason, RouteAccess, RouteName, RouteSettings, ServiceName, TeamName};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// The longest time that a request waits for a joining host. Most hosts have joined by then.
const MAX_JOIN_WAIT: Duration = Duration::from_millis(1_500);

/// The largest share of its time limit that a request waits for a joining host, so that enough time
/// is left to serve it.
const JOIN_WAIT_SHARE: f64 = 0.5;

/// The interval at which a waiting request checks whether the host has joined.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The route and service of a request before a wait.
#[derive(Clone, Copy)]
pub(crate) struct RouteTarget<'a> {
    /// The route of the request.
    pub(crate) route: &'a RouteName,
    /// The chosen service, if any.
    pub(crate) service: Option<&'a ServiceName>,
}

/// Checks one request against the current settings.
#[derive(Clone, Copy)]
pub(crate) struct RequestChecks<'a> {
    /// The worker that serves the request.
    pub(crate) worker: &'a WorkerState,
    /// The head of the request.
    pub(crate) parts: &'a RequestParts,
}

impl RequestChecks<'_> {
    /// Runs all checks that need no wait.
    ///
    /// # Errors
    /// The refusal of the request.
    pub(crate) fn check_head(&self) -> Result<(), RequestRefusal> {
        let view = self.current_view()?;
        let route = self.route(&view)?;
        self.check_size(route)?;
        self.authenticate(&view, route).map(|_| ())
    }

    /// The current settings.
    ///
    /// # Errors
    /// [`RefusalReason::NotCurrent`] if this host's settings may be outdated.
    pub(crate) fn current_view(&self) -> Result<Arc<RoutingView>, RequestRefusal> {
        let not_current = RequestRefusal::not_run(RefusalReason::NotCurrent);
        if !self.worker.control.is_current() {
            return Err(not_current);
        }
        self.worker.control.view().ok_or(not_current)
    }

    /// The current settings. While the host is joining, waits a short time for them instead of
    /// refusing at once, since a joining host usually receives them soon.
    ///
    /// # Errors
    /// [`RefusalReason::NotCurrent`] if the settings may still be outdated after the wait.
    pub(crate) async fn joined_view(&self) -> Result<Arc<RoutingView>, RequestRefusal> {
        let time_limit = self.parts.caller_timeout.unwrap_or(MAX_JOIN_WAIT);
        let end = Instant::now() + time_limit.mul_f64(JOIN_WAIT_SHARE).min(MAX_JOIN_WAIT);
        loop {
            let view = self.current_view();
            let waits = self.worker.control.is_joining() && Instant::now() < end;
            if view.is_ok() || !waits {
                return view;
            }
            sleep(JOIN_POLL_INTERVAL).await;
        }
    }

    /// Finds the route of the request.
    ///
    /// # Errors
    /// [`RefusalReason::RouteUnknown`] if no route matches.
    pub(crate) fn route<'s>(
        &self,
        view: &'s RoutingView,
    ) -> Result<&'s RouteSettings, RequestRefusal> {
        let method = self.parts.method.as_str();
        view.route(&self.parts.host, &self.parts.path, method)
            .ok_or(RequestRefusal::not_run(RefusalReason::RouteUnknown))
    }

    /// Checks the size of the head and the declared size of the body.
    ///
    /// # Errors
    /// [`RefusalReason::HeadTooLarge`] or [`RefusalReason::BodyTooLarge`].
    pub(crate) fn check_size(&self, route: &RouteSettings) -> Result<(), RequestRefusal> {
        if self.parts.size > route.max_head {
            return Err(RequestRefusal::not_run(RefusalReason::HeadTooLarge));
        }
        match self.parts.length {
            BodyLength::Sized(bytes) if bytes > route.max_body => {
                Err(RequestRefusal::not_run(RefusalReason::BodyTooLarge))
            }
            _ => Ok(()),
        }
    }

    /// Determines the team of the request by its API key; absent on an open route.
    ///
    /// # Errors
    /// A refusal if the key is missing or unknown, or the team is not allowed on the route.
    pub(crate) fn authenticate(
        &self,
        view: &RoutingView,
        route: &RouteSettings,
    ) -> Result<Option<TeamName>, RequestRefusal> {
        if route.access == RouteAccess::Open {
            return Ok(None);
        }
        let digest = self
            .parts
            .key
            .ok_or(RequestRefusal::not_run(RefusalReason::KeyMissing))?;
        let KeyMatch::Team(team) = view.keys.find(&digest) else {
            return Err(RequestRefusal::not_run(RefusalReason::KeyUnknown));
        };
        match &route.access {
            RouteAccess::Teams(teams) if !teams.contains(team) => {
                Err(RequestRefusal::not_run(RefusalReason::TeamForbidden))
            }
            _ => Ok(Some(team.clone())),
        }
    }

    /// Repeats the checks after a wait, during which the key may have been revoked, the route
    /// changed or the lease expired.
    ///
    /// # Errors
    /// [`RefusalReason::RouteChanged`], which a caller may retry, if the request now matches
    /// another route or the service was removed from it; otherwise the refusal of the failed check.
    pub(crate) fn recheck(
        &self,
        target: RouteTarget<'_>,
        team: Option<&TeamName>,
    ) -> Result<(), RequestRefusal> {
        let view = self.current_view()?;
        let route = self.route(&view)?;
        let allowed = target
            .service
            .is_none_or(|service| route.allows_service(service));
        if &route.name != target.route || !allowed {
            return Err(RequestRefusal::not_run(RefusalReason::RouteChanged));
        }
        if self.authenticate(&view, route)?.as_ref() != team {
            return Err(RequestRefusal::not_run(RefusalReason::KeyUnknown));
        }
        Ok(())
    }
}
