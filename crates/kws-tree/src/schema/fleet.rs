//! Fields of a branch, of freshness and of regions.

use super::{
    DefaultValue::{Absent, Required, Text},
    FieldScope, ROUTE, SERVICE, SectionSchema, TEAM, named, scoped, section, value,
};
use crate::value::ValueKind;

/// One branch file.
pub(crate) const BRANCH: SectionSchema = SectionSchema {
    kind: "branch",
    title: "A branch",
    fields: &[
        section(
            "defaults",
            &DEFAULTS,
            "Values that everything in this branch and below it inherits.",
        ),
        scoped(
            FieldScope::Root,
            section(
                "freshness",
                &FRESHNESS,
                "How long hosts may believe what they heard.",
            ),
        ),
        scoped(
            FieldScope::Root,
            named("regions", &REGION, "The regions by name."),
        ),
        named("routes", &ROUTE, "The routes of this branch by name."),
        named("services", &SERVICE, "The services of this branch by name."),
        named("teams", &TEAM, "The teams of this branch by name."),
    ],
};

/// Inherited values.
const DEFAULTS: SectionSchema = SectionSchema {
    kind: "defaults",
    title: "Defaults of a branch",
    fields: &[
        section("route", &ROUTE, "Inherited by routes."),
        section("service", &SERVICE, "Inherited by services."),
        section("team", &TEAM, "Inherited by teams."),
    ],
};

/// How long hosts may believe what they heard.
pub(crate) const FRESHNESS: SectionSchema = SectionSchema {
    kind: "freshness",
    title: "Freshness",
    fields: &[
        value(
            "clock_drift_ppm",
            ValueKind::Limit,
            super::DefaultValue::Number(200.0),
            "The bound on the drift of a host's clock, in parts per million.",
        ),
        value(
            "lease",
            ValueKind::Lease,
            Text("3s"),
            "A host is current for this long after it sent a question that was answered. It \
             bounds how long a withdrawn key still works.",
        ),
        value(
            "list_lag",
            ValueKind::Duration,
            Text("5s"),
            "The longest time by which the platform's list lags behind its newest revision.",
        ),
        value(
            "stale_region",
            ValueKind::Duration,
            Text("4h"),
            "How long a region that is cut off from the platform goes on by its own majority. A \
             key withdrawn meanwhile works there until then; a shorter time refuses callers \
             sooner when the platform is down.",
        ),
    ],
};

/// One region.
pub(crate) const REGION: SectionSchema = SectionSchema {
    kind: "region",
    title: "A region",
    fields: &[
        value("centers", ValueKind::Names, Required, "Its data centres."),
        value(
            "spill",
            ValueKind::Bandwidth,
            Absent,
            "The volume that requests may send out of the region. Absent means none leaves.",
        ),
        value(
            "weight",
            ValueKind::Share,
            Required,
            "Its share of every team's rate and burst; the weights of all regions sum to 100%.",
        ),
    ],
};
