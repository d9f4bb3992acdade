//! Fields of the settings of one entry host.

use super::{
    DefaultValue::{Absent, Required, Text},
    SectionSchema, section, value,
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
            "backend_ca_file",
            ValueKind::FilePath,
            Absent,
            "The file with the certificate authorities of backend servers, in PEM. Needed for \
             services with `tls`.",
        ),
        value("center", ValueKind::Name, Required, "Its data centre."),
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
             while `peer` is a loopback address.",
        ),
        section("platform", &PLATFORM, "Where the platform publishes."),
        value("region", ValueKind::Name, Required, "Its region."),
        section("tls", &TLS, "TLS towards callers. Absent means plain HTTP."),
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
    ],
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
