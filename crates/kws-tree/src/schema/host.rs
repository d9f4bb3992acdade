//! Fields of the settings of one entry host.

use super::{
    DefaultValue::{Absent, EmptyList, Flag, Number, Required, Text},
    SectionSchema, named, section, value,
};
use crate::value::ValueKind;

/// The settings of one entry host.
pub(crate) const HOST: SectionSchema = SectionSchema {
    kind: "host",
    title: "An entry host",
    fields: &[
        value(
            "admin",
            ValueKind::Address,
            Required,
            "Where operators, scrapers and the balancer read status, metrics and readiness.",
        ),
        value(
            "admin_optional",
            ValueKind::Flag,
            Flag(false),
            "Whether the daemon also serves callers while the address of `admin` is in use, or is that \
             of another listener. Status and metrics are then read once it is free.",
        ),
        value(
            "backend_ca_file",
            ValueKind::FilePath,
            Absent,
            "The file with the certificate authorities of backend servers, in PEM. Needed for \
             services with `tls`.",
        ),
        value("center", ValueKind::Name, Required, "Its data centre."),
        named(
            "centers",
            &CENTER,
            "The data centres of the fleet by name. Needed with `platform.store` only; the tree \
             names them otherwise.",
        ),
        value(
            "grace",
            ValueKind::Duration,
            Text("30s"),
            "The time from the request to stop until the daemon would be killed.",
        ),
        value(
            "listen",
            ValueKind::Address,
            Required,
            "Where callers connect.",
        ),
        value(
            "log",
            ValueKind::LogLevel,
            Text("info"),
            "The least severe level that is logged.",
        ),
        value(
            "name",
            ValueKind::Name,
            Absent,
            "Its name in the platform's list, new for each life of the daemon. Absent means the \
             address of `peer`.",
        ),
        value(
            "peer",
            ValueKind::Address,
            Required,
            "Where the other daemons of the fleet connect, as the platform's list says it.",
        ),
        value(
            "peer_secret_file",
            ValueKind::FilePath,
            Absent,
            "The file with the secret that the daemons of the fleet share. It may be absent only \
             while `peer` is a loopback address or with `trust_peer_network`.",
        ),
        section("platform", &PLATFORM, "Where the platform publishes."),
        value(
            "processor_share",
            ValueKind::Weight,
            Number(1.0),
            "The share of its processors that the host may use, as a part of 1.",
        ),
        value(
            "processors",
            ValueKind::Weight,
            Number(1.0),
            "Its processors. Hosts with more take more of the fleet's common work.",
        ),
        value(
            "ready",
            ValueKind::Address,
            Absent,
            "A second address at which the balancer reads readiness.",
        ),
        value("region", ValueKind::Name, Required, "Its region."),
        value(
            "seeds",
            ValueKind::Addresses,
            EmptyList,
            "Peer addresses of some hosts, by which hosts find each other where the platform \
             lists none.",
        ),
        section("tls", &TLS, "TLS towards callers. Absent means plain HTTP."),
        value(
            "trust_peer_network",
            ValueKind::Flag,
            Flag(false),
            "Whether every process that reaches `peer` counts as a daemon of the fleet. Only for \
             networks that nothing else is on.",
        ),
    ],
};

/// Where the platform publishes.
const PLATFORM: SectionSchema = SectionSchema {
    kind: "platform",
    title: "The platform",
    fields: &[
        value(
            "directory",
            ValueKind::FilePath,
            Absent,
            "A directory that holds the tree and hosts.json, in place of the service.",
        ),
        value(
            "http",
            ValueKind::Address,
            Absent,
            "The address of the platform's configuration service.",
        ),
        value(
            "prefix",
            ValueKind::KeyPrefix,
            Text("knapweedseam/"),
            "What the keys of the fleet's values start with at the service.",
        ),
        value(
            "store",
            ValueKind::Address,
            Absent,
            "The address of the platform's metadata store, which also lists the backend servers.",
        ),
        section(
            "terms",
            &TERMS,
            "What the store says nothing of. Needed with `store` only.",
        ),
    ],
};

/// What holds for every service of a metadata store.
pub(crate) const TERMS: SectionSchema = SectionSchema {
    kind: "terms",
    title: "Terms of a metadata store",
    fields: &[
        value(
            "floor",
            ValueKind::Ratio,
            Number(0.5),
            "The share of a service's capacity that ejection must leave, as a part of 1.",
        ),
        value(
            "heartbeat",
            ValueKind::Duration,
            Text("1500ms"),
            "The interval at which a backend server writes its entry; the store removes the entry \
             after three of them without a write.",
        ),
        value(
            "retry_ratio",
            ValueKind::Ratio,
            Number(0.1),
            "Retries allowed for each first try, over all hosts together, as a part of 1.",
        ),
    ],
};

/// One data centre.
pub(crate) const CENTER: SectionSchema = SectionSchema {
    kind: "center",
    title: "A data centre",
    fields: &[value("region", ValueKind::Name, Required, "Its region.")],
};

/// The certificate shown to callers.
pub(crate) const TLS: SectionSchema = SectionSchema {
    kind: "tls",
    title: "TLS",
    fields: &[
        value(
            "certificate",
            ValueKind::FilePath,
            Required,
            "The file with the chain of certificates, in PEM.",
        ),
        value(
            "key",
            ValueKind::FilePath,
            Required,
            "The file with the private key, in PEM.",
        ),
    ],
};
