//! The platform's list of entry hosts and of backend servers that are leaving.

use crate::{CenterName, HostName, RegionName, ServerName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a listed host or backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to leave: receives no new work.
    Leaving,
}

/// An entry host in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Name of the host, unique to each run of its daemon.
    pub name: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Data centre of the host.
    pub center: CenterName,
    /// Address on which the daemon accepts peer connections.
    pub peer: SocketAddr,
    /// Live or leaving.
    pub state: HostState,
    /// CPU capacity, in thousandths of a processor. Hosts with more capacity take a larger share of
    /// the fleet's shared work.
    #[serde(default = "default_millicores")]
    pub millicores: u32,
}

/// CPU capacity assumed for a host that does not state one, in thousandths of a processor.
fn default_millicores() -> u32 {
    1_000
}

/// A backend server in the platform's list; a server that is not listed is live.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListedServer {
    /// Name of the server in the configuration tree.
    pub name: ServerName,
    /// Live or leaving.
    pub state: HostState,
}

/// The list of hosts and leaving backend servers; it may lag behind their actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The entry hosts of the fleet.
    #[serde(default)]
    pub hosts: Vec<ListedHost>,
    /// Backend servers whose state is not live.
    #[serde(default)]
    pub servers: Vec<ListedServer>,
}

impl HostList {
    /// Returns the entry hosts of `region`, in list order.
    pub fn in_region<'a>(&'a self, region: &'a RegionName) -> impl Iterator<Item = &'a ListedHost> {
        self.hosts.iter().filter(move |host| &host.region == region)
    }

    /// Returns the entry host named `name`.
    pub fn host(&self, name: &HostName) -> Option<&ListedHost> {
        self.hosts.iter().find(|host| &host.name == name)
    }
}
