//! Names of hosts, regions, data centres, services, routes, teams and backend servers.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

/// Defines a name type that is cheap to clone and is ordered and hashed by its text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// Name of a data centre.
    CenterName
);
name_type!(
    /// Name of an entry host, unique to one run of its daemon: a restarted daemon has a new name.
    HostName
);
impl HostName {
    /// Creates the name of one run of the daemon that accepts peer connections at `address`;
    /// `incarnation` distinguishes the runs.
    pub fn with_incarnation(address: &str, incarnation: &str) -> Self {
        Self::new(&format!("{address}/{incarnation}"))
    }

    /// Returns whether this name refers to `host`: either both are equal, or this one is only an
    /// address, which refers to any run of the daemon at that address.
    pub fn matches(&self, host: &Self) -> bool {
        let rest = host.as_str().strip_prefix(self.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of a route.
    RouteName
);
name_type!(
    /// Name of a backend server, unique in the fleet.
    ServerName
);
name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of a team.
    TeamName
);
