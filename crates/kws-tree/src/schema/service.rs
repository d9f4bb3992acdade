//! Fields of services and backend servers.

use super::{
    DefaultValue::{Flag, Number, Required, Text},
    FieldScope, SectionSchema, named, section, value,
};
use crate::value::ValueKind;

/// One service.
pub(crate) const SERVICE: SectionSchema = SectionSchema {
    kind: "service",
    title: "A service",
    fields: &[
        section(
            "ejection",
            &EJECTION,
            "How servers are ejected and come back.",
        ),
        value(
            "floor",
            ValueKind::Share,
            Text("50%"),
            "The share of the service's capacity that ejection must leave.",
        ),
        value(
            "queue",
            ValueKind::Limit,
            Number(64.0),
            "Requests that may wait on one host for a slot.",
        ),
        value(
            "retry_budget",
            ValueKind::Share,
            Text("10%"),
            "Retries allowed for each first try.",
        ),
        section(
            "server",
            &SERVER,
            "Values that the service's servers inherit.",
        ),
        named("servers", &SERVER, "Its backend servers by name."),
        value(
            "slow_start",
            ValueKind::DurationOrNone,
            Text("10s"),
            "How long a server that starts or returns takes to reach its full weight.",
        ),
        value(
            "tls",
            ValueKind::Flag,
            Flag(false),
            "Whether daemons speak TLS to its servers.",
        ),
    ],
};

/// Ejection of the servers of a service.
const EJECTION: SectionSchema = SectionSchema {
    kind: "ejection",
    title: "Ejection",
    fields: &[
        value(
            "bad_share",
            ValueKind::Share,
            Text("50%"),
            "A server whose share of bad answers reaches this is suspect.",
        ),
        value(
            "base",
            ValueKind::Duration,
            Text("5s"),
            "The first ejection lasts this long; each further one doubles it.",
        ),
        value(
            "max",
            ValueKind::Duration,
            Text("5m"),
            "No ejection lasts longer than this.",
        ),
        value(
            "slow_factor",
            ValueKind::Factor,
            Number(3.0),
            "A server slower than its service's median by this factor is suspect.",
        ),
    ],
};

/// One backend server.
pub(crate) const SERVER: SectionSchema = SectionSchema {
    kind: "server",
    title: "A backend server",
    fields: &[
        super::scoped(
            FieldScope::Own,
            value("address", ValueKind::Address, Required, "Where it listens."),
        ),
        value("center", ValueKind::Name, Required, "Its data centre."),
        value(
            "connections",
            ValueKind::Count,
            Number(330.0),
            "Connections that it accepts from all hosts together.",
        ),
        value("region", ValueKind::Name, Required, "Its region."),
        value(
            "slots",
            ValueKind::Count,
            Number(3.0),
            "Requests that it runs at once.",
        ),
    ],
};
