//! Fields of routes.

use super::{
    DefaultValue::{Absent, EmptyList, Number, Required, Text},
    FieldScope, SectionSchema, named, scoped, section, value,
};
use crate::value::ValueKind;

/// One route.
pub(crate) const ROUTE: SectionSchema = SectionSchema {
    kind: "route",
    title: "A route",
    fields: &[
        value(
            "access",
            ValueKind::Access,
            Text("any_team"),
            "Who may use it: `open` for every caller, `any_team` for every key, or the teams.",
        ),
        section("checks", &CHECKS, "What its answers must satisfy."),
        value(
            "deadline",
            ValueKind::Duration,
            Text("10s"),
            "The whole time a request may take.",
        ),
        value(
            "hedge",
            ValueKind::OptionalDuration,
            Text("off"),
            "After this long without an answer an idempotent request is sent a second time.",
        ),
        value(
            "host",
            ValueKind::HostName,
            Absent,
            "The host name in the request that it serves. Absent means every host name.",
        ),
        value(
            "idle",
            ValueKind::Duration,
            Text("5s"),
            "The longest silence of a backend server or caller within a body.",
        ),
        value(
            "max_body",
            ValueKind::Size,
            Text("1 MB"),
            "The largest request body.",
        ),
        value(
            "max_head",
            ValueKind::Size,
            Text("16 KB"),
            "The largest request head.",
        ),
        value(
            "methods",
            ValueKind::Methods,
            EmptyList,
            "The methods that it serves. Empty means every method.",
        ),
        value(
            "objective",
            ValueKind::OptionalDuration,
            Text("off"),
            "The time within which an answer is of full use. Requests wait for a slot as long as it allows.",
        ),
        scoped(
            FieldScope::Own,
            value(
                "path",
                ValueKind::Path,
                Required,
                "The path prefix that it serves, on whole segments. One that ends with a slash does not serve the path without it.",
            ),
        ),
        value(
            "priority",
            ValueKind::Limit,
            Number(2.0),
            "The rank of its requests where they wait, 0 the highest.",
        ),
        value(
            "repeatable",
            ValueKind::Repeatable,
            Text("by_method"),
            "Whether its requests are idempotent. `by_method` means that GET, HEAD and OPTIONS \
             are.",
        ),
        value(
            "service",
            ValueKind::Name,
            Required,
            "The service that runs its requests, unless `split` names several.",
        ),
        named(
            "split",
            &SPLIT,
            "The services that share its requests, by weight. Absent means that `service` runs \
             them all.",
        ),
        value(
            "tries",
            ValueKind::Count,
            Number(3.0),
            "Tries of one request at the most, the first one included.",
        ),
    ],
};

/// One service's part of a route.
pub(crate) const SPLIT: SectionSchema = SectionSchema {
    kind: "split",
    title: "A part of a split route",
    fields: &[value(
        "weight",
        ValueKind::Count,
        Required,
        "Its weight among the parts of the route.",
    )],
};

/// What answers must satisfy.
const CHECKS: SectionSchema = SectionSchema {
    kind: "checks",
    title: "Checks of answers",
    fields: &[
        value(
            "content_type",
            ValueKind::MediaType,
            Absent,
            "The media type that a successful answer must have.",
        ),
        value(
            "headers",
            ValueKind::Headers,
            EmptyList,
            "Headers that a successful answer must carry.",
        ),
    ],
};
