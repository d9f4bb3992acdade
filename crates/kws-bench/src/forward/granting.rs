//! A control that grants everything at once, so that only the listener is measured.

use futures_util::future::{BoxFuture, FutureExt, ready};
use kws_fixture::SampleFleet;
use kws_forward::{
    AccessRecord, ExtraResponse, ForwardControl, GrantTicket, Refusal, RetryPermission,
    RoutingView, ServerGrant, ServerRequest, TryOutcome,
};
use kws_protocol::{
    RefusalReason, ResponseChecks, RetryReason, RouteAccess, RouteName, RouteSettings, ServerName,
    ServiceName, TeamName,
};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

/// Sends every request to one backend server.
pub struct GrantingControl {
    view: Arc<RoutingView>,
    grant: ServerGrant,
}

impl GrantingControl {
    /// A control for the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut snapshot = SampleFleet::new(1, 1).snapshot();
        let route = open_route();
        let settings = Arc::make_mut(&mut snapshot.settings);
        settings.routes.insert(route.name.clone(), route);
        Self {
            view: Arc::new(RoutingView::new(Arc::new(snapshot))),
            grant: ServerGrant {
                server: ServerName::new("listing-00"),
                address,
                ticket: GrantTicket(0),
                probe: false,
            },
        }
    }
}

fn open_route() -> RouteSettings {
    RouteSettings {
        name: RouteName::new("listing"),
        host: None,
        path: "/".to_owned(),
        methods: BTreeSet::new(),
        service: ServiceName::new("listing"),
        split: Vec::new(),
        priority: 2,
        access: RouteAccess::Open,
        repeatable: None,
        deadline: Duration::from_secs(10),
        objective: None,
        idle: Duration::from_secs(10),
        tries: 1,
        hedge: None,
        max_head: 8 * 1024,
        max_body: 1024 * 1024,
        checks: ResponseChecks::default(),
    }
}

impl ForwardControl for GrantingControl {
    fn view(&self) -> Option<Arc<RoutingView>> {
        Some(Arc::clone(&self.view))
    }

    fn is_current(&self) -> bool {
        true
    }

    fn admit(&self, _: &str, _: &TeamName) -> BoxFuture<'static, Result<(), Refusal>> {
        ready(Ok(())).boxed()
    }

    fn acquire(&self, _: ServerRequest) -> BoxFuture<'static, Result<ServerGrant, Refusal>> {
        ready(Ok(self.grant.clone())).boxed()
    }

    fn retry(&self, _: &ServiceName) -> RetryPermission {
        RetryPermission::Denied
    }

    fn finish(&self, _: GrantTicket, _: TryOutcome) {}

    fn count_refusal(&self, _: RefusalReason) {}

    fn count_retry(&self, _: RetryReason) {}

    fn record_extra_response(&self, _: &ExtraResponse) {}

    fn record_access(&self, _: AccessRecord) {}
}
