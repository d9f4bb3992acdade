//! Names of hosts, regions, data centres, services, routes, teams and backend servers.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

/// Defines a cheaply cloned name, ordered and hashed as its text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The text of the name.
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
    /// A data centre.
    CenterName
);
name_type!(
    /// An entry host, unique to one life of its daemon: a restarted daemon has a new name.
    HostName
);
impl HostName {
    /// The name of one life of the daemon that listens for peers at `address`.
    pub fn of_life(address: &str, life: &str) -> Self {
        Self::new(&format!("{address}/{life}"))
    }

    /// Whether this name stands for `host`: they are equal, or this one is an address alone, which
    /// stands for whichever life answers there.
    pub fn names(&self, host: &Self) -> bool {
        let rest = host.as_str().strip_prefix(self.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

name_type!(
    /// A region.
    RegionName
);
name_type!(
    /// A route.
    RouteName
);
name_type!(
    /// A backend server, unique in the fleet.
    ServerName
);
name_type!(
    /// A service.
    ServiceName
);
name_type!(
    /// A team.
    TeamName
);
