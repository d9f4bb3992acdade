//! Choice of the route that serves a request.

use kws_protocol::{FleetSettings, RouteSettings};

/// The route for a request: one bound to the host name wins over one for every host, then the
/// longest path prefix wins.
pub fn find_route<'a>(
    settings: &'a FleetSettings,
    host: &str,
    path: &str,
    method: &str,
) -> Option<&'a RouteSettings> {
    settings
        .routes
        .values()
        .filter(|route| serves_host(route, host))
        .filter(|route| serves_path(&route.path, path))
        .filter(|route| route.methods.is_empty() || route.methods.contains(method))
        .max_by_key(|route| (route.host.is_some(), route.path.len()))
}

/// Whether a request may run more than once: the route's setting, or else the method's definition.
pub fn is_repeatable(route: &RouteSettings, method: &str) -> bool {
    route
        .repeatable
        .unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS"))
}

fn serves_host(route: &RouteSettings, host: &str) -> bool {
    route
        .host
        .as_ref()
        .is_none_or(|name| name.eq_ignore_ascii_case(host))
}

fn serves_path(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
