//! Fields of teams.

use super::{
    DefaultValue::{Absent, EmptyList, Number, Required},
    FieldScope, SectionSchema, scoped, value,
};
use crate::value::ValueKind;

/// One team.
pub(crate) const TEAM: SectionSchema = SectionSchema {
    kind: "team",
    title: "A team",
    fields: &[
        value(
            "burst",
            ValueKind::Factor,
            Required,
            "Requests at once, over all hosts together.",
        ),
        scoped(
            FieldScope::Own,
            value(
                "keys",
                ValueKind::Digests,
                EmptyList,
                "The digests of its keys, as `knapweedseam key new` prints them.",
            ),
        ),
        value(
            "priority",
            ValueKind::Limit,
            Absent,
            "The rank of its requests where they wait, which goes before the route's. Absent \
             means the route's.",
        ),
        value(
            "rate",
            ValueKind::Rate,
            Required,
            "Requests a second, over all hosts together.",
        ),
        value(
            "weight",
            ValueKind::Weight,
            Number(1.0),
            "Its weight at a contended service.",
        ),
    ],
};
