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
