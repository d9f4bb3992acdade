//! Route lookup by host name, path and method.

use kws_protocol::{FleetSettings, RouteName, RouteSettings};
use std::{
    collections::{BTreeSet, HashMap},
    iter::successors,
};

/// Index of the routes of one settings tree by host name and path prefix.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    any_host: PathTable,
    by_host: HashMap<String, PathTable>,
}

/// Routes of one host name by path prefix. A prefix that ends with a slash matches the paths that
/// begin with it; any other matches that path and those below it.
#[derive(Debug, Default)]
struct PathTable(HashMap<String, Vec<RouteEntry>>);

#[derive(Debug)]
struct RouteEntry {
    name: RouteName,
    methods: BTreeSet<String>,
}

impl RouteTable {
    /// Builds the index from the settings.
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        let mut table = Self::default();
        for route in settings.routes.values() {
            table.paths_of(route).insert(route);
        }
        table
    }

    fn paths_of(&mut self, route: &RouteSettings) -> &mut PathTable {
        match &route.host {
            Some(host) => self.by_host.entry(host.to_ascii_lowercase()).or_default(),
            None => &mut self.any_host,
        }
    }

    /// Returns the name of the route that matches a request.
    pub(crate) fn find(&self, host: &str, path: &str, method: &str) -> Option<&RouteName> {
        let host_paths = self.by_host.get(&host.to_ascii_lowercase());
        host_paths
            .and_then(|paths| paths.find(path, method))
            .or_else(|| self.any_host.find(path, method))
    }
}

impl PathTable {
    fn insert(&mut self, route: &RouteSettings) {
        let prefix = route.path.clone();
        self.0.entry(prefix).or_default().push(RouteEntry {
            name: route.name.clone(),
            methods: route.methods.clone(),
        });
    }

    fn find(&self, path: &str, method: &str) -> Option<&RouteName> {
        prefixes(path)
            .filter_map(|prefix| self.0.get(prefix))
            .flatten()
            .find(|entry| entry.methods.is_empty() || entry.methods.contains(method))
            .map(|entry| &entry.name)
    }
}

/// Yields the path and then each of its prefixes that ends with a slash or before one, longest
/// first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    successors(Some(path), |longer| match longer.strip_suffix('/') {
        Some(shorter) => Some(shorter),
        None => longer.rfind('/').map(|slash| &longer[..=slash]),
    })
}
