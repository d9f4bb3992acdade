//! Lookup of routes by host name, path and method.

use kws_protocol::{FleetSettings, RouteName, RouteSettings};
use std::{
    collections::{BTreeSet, HashMap},
    iter::successors,
};

/// The routes of one tree by host name and path prefix.
#[derive(Debug, Default)]
pub(crate) struct RouteTable {
    every_host: PathTable,
    by_host: HashMap<String, PathTable>,
}

/// The routes of one host name by their path prefix, without the slash at its end.
#[derive(Debug, Default)]
struct PathTable(HashMap<String, Vec<RouteEntry>>);

#[derive(Debug)]
struct RouteEntry {
    name: RouteName,
    methods: BTreeSet<String>,
}

impl RouteTable {
    /// Indexes the routes.
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
            None => &mut self.every_host,
        }
    }

    /// The name of the route that serves a request.
    pub(crate) fn find(&self, host: &str, path: &str, method: &str) -> Option<&RouteName> {
        let bound = self.by_host.get(&host.to_ascii_lowercase());
        bound
            .and_then(|paths| paths.find(path, method))
            .or_else(|| self.every_host.find(path, method))
    }
}

impl PathTable {
    fn insert(&mut self, route: &RouteSettings) {
        let prefix = route.path.trim_end_matches('/').to_owned();
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

/// The path, then each prefix that ends before a slash, the longest first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    successors(Some(path), |longer| {
        longer.rfind('/').map(|slash| &longer[..slash])
    })
}
