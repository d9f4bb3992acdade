//! Route selection by host name, path and method.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{route, settings, snapshot};
use kws_forward::RoutingView;
use rstest::rstest;

#[rstest]
#[case::root("any.test", "/", "GET", Some("/"))]
#[case::longest("any.test", "/rows/ripe/4", "GET", Some("/rows/ripe"))]
#[case::exact("any.test", "/rows/ripe", "GET", Some("/rows/ripe"))]
#[case::whole_segments("any.test", "/rows/ripening", "GET", Some("/rows"))]
#[case::method("any.test", "/rows/ripe/4", "POST", Some("/rows"))]
#[case::host_first("farm.test", "/rows/ripe/4", "GET", Some("/farm"))]
#[case::host_case("FARM.test", "/rows", "GET", Some("/farm"))]
#[case::no_method("any.test", "/", "DELETE", None)]
fn chosen_route(
    #[case] host: &str,
    #[case] path: &str,
    #[case] method: &str,
    #[case] name: Option<&str>,
) {
    let only = |route: &mut kws_protocol::RouteSettings, method: &str| {
        route.methods.insert(method.to_owned());
    };
    let settings = settings([
        route("/", |route| only(route, "GET")),
        route("/rows", |route| {
            route.methods = ["GET", "POST"].map(str::to_owned).into();
        }),
        route("/rows/ripe", |route| only(route, "GET")),
        route("/farm", |route| {
            route.host = Some("farm.test".to_owned());
            route.path = "/rows".to_owned();
        }),
    ]);
    let view = RoutingView::new(snapshot(settings));
    let found = view.route(host, path, method);
    assert_eq!(found.map(|route| route.name.as_str()), name);
}

/// Guards against a path that takes the route of a longer prefix which doesn't begin it (review,
/// case 4): a prefix that ends with a slash leaves out the path without that slash.
#[rstest]
#[case::below("/rows/ripe/4", Some("ripe"))]
#[case::with_slash("/rows/ripe/", Some("ripe"))]
#[case::without_slash("/rows/ripe", Some("rows"))]
#[case::first_segment("/rows", None)]
#[case::longer_segment("/rows/ripening", Some("rows"))]
#[case::both_forms("/shop", Some("shop"))]
#[case::longer_form("/shop/", Some("counter"))]
fn slash_at_end(#[case] path: &str, #[case] name: Option<&str>) {
    let named = |path: &str, name: &str| {
        route(path, |route| {
            route.name = kws_protocol::RouteName::new(name);
        })
    };
    let settings = settings([
        named("/rows/", "rows"),
        named("/rows/ripe/", "ripe"),
        named("/shop", "shop"),
        named("/shop/", "counter"),
    ]);
    let view = RoutingView::new(snapshot(settings));
    let found = view.route("any.test", path, "GET");
    assert_eq!(found.map(|route| route.name.as_str()), name);
}
