//! Admission checks of a request by its head: routing, size and authentication.

use crate::{
    head::{BodyLength, RequestParts},
    reply::Refused,
    routing::RoutingView,
    worker::WorkerState,
};
use kws_membership::KeyMatch;
use kws_protocol::{RefusalReason, RouteAccess, RouteName, RouteSettings, ServiceName, TeamName};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// The longest time that a request waits for a joining host. Most hosts have joined by then.
const JOIN_WAIT: Duration = Duration::from_millis(1_500);

/// The largest share of its time limit that a request waits for a joining host, so that enough time
/// is left to serve it.
const JOIN_SHARE: f64 = 0.5;

/// The interval at which a waiting request checks whether the host has joined.
const JOIN_STEP: Duration = Duration::from_millis(20);

/// The route and service of a request before a wait.
#[derive(Clone, Copy)]
pub(crate) struct RoutePlace<'a> {
    /// The route of the request.
    pub(crate) route: &'a RouteName,
    /// The chosen service, if any.
    pub(crate) service: Option<&'a ServiceName>,
}

/// Checks one request against the current settings.
#[derive(Clone, Copy)]
pub(crate) struct RequestJudge<'a> {
    /// The worker that serves the request.
    pub(crate) worker: &'a WorkerState,
    /// The head of the request.
    pub(crate) parts: &'a RequestParts,
}

impl RequestJudge<'_> {
    /// Runs all checks that need no wait.
    ///
    /// # Errors
    /// The refusal of the request.
    pub(crate) fn judge(&self) -> Result<(), Refused> {
        let view = self.current_view()?;
        let route = self.route(&view)?;
        self.check_size(route)?;
        self.authenticate(&view, route).map(|_| ())
    }

    /// The current settings.
    ///
    /// # Errors
    /// [`RefusalReason::NotCurrent`] if this host's settings may be outdated.
    pub(crate) fn current_view(&self) -> Result<Arc<RoutingView>, Refused> {
        let not_current = Refused::not_run(RefusalReason::NotCurrent);
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
    pub(crate) async fn joined_view(&self) -> Result<Arc<RoutingView>, Refused> {
        let patience = self.parts.patience.unwrap_or(JOIN_WAIT);
        let end = Instant::now() + patience.mul_f64(JOIN_SHARE).min(JOIN_WAIT);
        loop {
            let view = self.current_view();
            let waits = self.worker.control.is_joining() && Instant::now() < end;
            if view.is_ok() || !waits {
                return view;
            }
            sleep(JOIN_STEP).await;
        }
    }

    /// Finds the route of the request.
    ///
    /// # Errors
    /// [`RefusalReason::RouteUnknown`] if no route matches.
    pub(crate) fn route<'s>(&self, view: &'s RoutingView) -> Result<&'s RouteSettings, Refused> {
        let method = self.parts.method.as_str();
        view.route(&self.parts.host, &self.parts.path, method)
            .ok_or(Refused::not_run(RefusalReason::RouteUnknown))
    }

    /// Checks the size of the head and the declared size of the body.
    ///
    /// # Errors
    /// [`RefusalReason::HeadTooLarge`] or [`RefusalReason::BodyTooLarge`].
    pub(crate) fn check_size(&self, route: &RouteSettings) -> Result<(), Refused> {
        if self.parts.size > route.max_head {
            return Err(Refused::not_run(RefusalReason::HeadTooLarge));
        }
        match self.parts.length {
            BodyLength::Sized(bytes) if bytes > route.max_body => {
                Err(Refused::not_run(RefusalReason::BodyTooLarge))
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
    ) -> Result<Option<TeamName>, Refused> {
        if route.access == RouteAccess::Open {
            return Ok(None);
        }
        let digest = self
            .parts
            .key
            .ok_or(Refused::not_run(RefusalReason::KeyMissing))?;
        let KeyMatch::Team(team) = view.keys.find(&digest) else {
            return Err(Refused::not_run(RefusalReason::KeyUnknown));
        };
        match &route.access {
            RouteAccess::Teams(teams) if !teams.contains(team) => {
                Err(Refused::not_run(RefusalReason::TeamForbidden))
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
        before: RoutePlace<'_>,
        team: Option<&TeamName>,
    ) -> Result<(), Refused> {
        let view = self.current_view()?;
        let now = self.route(&view)?;
        let allowed = before
            .service
            .is_none_or(|service| now.allows_service(service));
        if &now.name != before.route || !allowed {
            return Err(Refused::not_run(RefusalReason::RouteChanged));
        }
        if self.authenticate(&view, now)?.as_ref() != team {
            return Err(Refused::not_run(RefusalReason::KeyUnknown));
        }
        Ok(())
    }
}
