//! Whether a request may be served, as its head tells.

use crate::{
    head::{BodyLength, RequestParts},
    reply::Refused,
    route::find_route,
    worker::WorkerState,
};
use kws_protocol::{FleetSnapshot, RefusalReason, RouteAccess, RouteSettings, TeamName};
use std::sync::Arc;

/// Judges one request by the settings of the moment.
#[derive(Clone, Copy)]
pub(crate) struct RequestJudge<'a> {
    /// The worker.
    pub(crate) worker: &'a WorkerState,
    /// The request.
    pub(crate) parts: &'a RequestParts,
}

impl RequestJudge<'_> {
    /// Judges everything that needs no wait.
    pub(crate) fn judge(&self) -> Result<(), Refused> {
        let snapshot = self.current_snapshot()?;
        let route = self.route(&snapshot)?;
        self.check_size(route)?;
        self.authenticate(&snapshot, route).map(|_| ())
    }

    /// The settings, when this host may believe them.
    pub(crate) fn current_snapshot(&self) -> Result<Arc<FleetSnapshot>, Refused> {
        let not_current = Refused::not_run(RefusalReason::NotCurrent);
        if !self.worker.control.is_current() {
            return Err(not_current);
        }
        self.worker.control.snapshot().ok_or(not_current)
    }

    /// The route of the request.
    pub(crate) fn route<'s>(
        &self,
        snapshot: &'s FleetSnapshot,
    ) -> Result<&'s RouteSettings, Refused> {
        let method = self.parts.method.as_str();
        find_route(
            &snapshot.settings,
            &self.parts.host,
            &self.parts.path,
            method,
        )
        .ok_or(Refused::not_run(RefusalReason::RouteUnknown))
    }

    /// Checks the sizes that the head states.
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

    /// The team that the request runs for; absent on a route open to all.
    pub(crate) fn authenticate(
        &self,
        snapshot: &Arc<FleetSnapshot>,
        route: &RouteSettings,
    ) -> Result<Option<TeamName>, Refused> {
        if route.access == RouteAccess::Open {
            return Ok(None);
        }
        let digest = self
            .parts
            .key
            .ok_or(Refused::not_run(RefusalReason::KeyMissing))?;
        let team = self.worker.keys.team(snapshot, digest);
        let team = team.ok_or(Refused::not_run(RefusalReason::KeyUnknown))?;
        match &route.access {
            RouteAccess::Teams(teams) if !teams.contains(&team) => {
                Err(Refused::not_run(RefusalReason::TeamForbidden))
            }
            _ => Ok(Some(team)),
        }
    }

    /// Judges the request again after a wait: the key may have been withdrawn, the route changed,
    /// or the lease run out.
    pub(crate) fn recheck(
        &self,
        route: &RouteSettings,
        team: Option<&TeamName>,
    ) -> Result<(), Refused> {
        let snapshot = self.current_snapshot()?;
        let now = self.route(&snapshot)?;
        if now.name != route.name || now.service != route.service {
            return Err(Refused::not_run(RefusalReason::RouteUnknown));
        }
        if self.authenticate(&snapshot, now)?.as_ref() != team {
            return Err(Refused::not_run(RefusalReason::KeyUnknown));
        }
        Ok(())
    }
}
