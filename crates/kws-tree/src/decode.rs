//! Merged values to resolved settings.
//!
//! Values that cannot be read have a finding of their own by now, so they are passed over here: a
//! tree with findings is never put in force.

use crate::{
    merge::{MergedEntries, MergedTree},
    node::TreeNode,
    schema::{FRESHNESS, FieldShape, REGION, ROUTE, SERVER, SERVICE, SPLIT, SectionSchema, TEAM},
    value::FieldValue,
};
use kws_protocol::{
    CenterName, EjectionSettings, FleetSettings, FreshnessSettings, KeyDigest, RegionName,
    RegionSettings, ResponseChecks, RouteAccess, RouteName, RouteSettings, ServerName,
    ServerSettings, ServiceName, ServiceSettings, ServiceShare, TeamName, TeamSettings,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Reads the whole tree.
pub(crate) fn decode_tree(tree: &MergedTree) -> FleetSettings {
    FleetSettings {
        freshness: decode_freshness(&tree.freshness),
        regions: decode_entries(&tree.regions, RegionName::new, decode_region),
        services: decode_entries(&tree.services, ServiceName::new, decode_service),
        routes: decode_entries(&tree.routes, RouteName::new, decode_route),
        teams: decode_entries(&tree.teams, TeamName::new, decode_team),
    }
}

/// Reads the fields of one section.
pub(crate) struct SectionReader<'a> {
    node: Option<&'a TreeNode>,
    schema: &'static SectionSchema,
}

impl<'a> SectionReader<'a> {
    /// Reads `node` by `schema`.
    pub fn new(node: &'a TreeNode, schema: &'static SectionSchema) -> Self {
        let node = Some(node);
        Self { node, schema }
    }

    /// Reads the section called `name`; one that is absent has only defaults.
    pub fn section(&self, name: &str) -> Self {
        let schema = match self.schema.field(name).map(|field| field.shape) {
            Some(FieldShape::Section(schema)) => schema,
            _ => self.schema,
        };
        let node = self.node.and_then(|node| node.member(name));
        Self { node, schema }
    }

    /// The value of the field called `name`, or its default.
    pub fn value(&self, name: &str) -> Option<FieldValue> {
        let FieldShape::Value(kind, default) = self.schema.field(name)?.shape else {
            return None;
        };
        let written = self.node.and_then(|node| node.member(name));
        if let Some(value) = written.and_then(|node| kind.read(node).ok()) {
            return Some(value);
        }
        kind.read(&default.node()?).ok()
    }

    /// An address.
    pub fn address(&self, name: &str) -> SocketAddr {
        match self.value(name) {
            Some(FieldValue::Address(address)) => address,
            _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        }
    }

    /// Bits a second.
    pub fn bandwidth(&self, name: &str) -> u64 {
        match self.value(name) {
            Some(FieldValue::Bandwidth(bits)) => bits,
            _ => 0,
        }
    }

    /// A whole number.
    pub fn count(&self, name: &str) -> u32 {
        self.number(name) as u32
    }

    /// Digests of keys.
    pub fn digests(&self, name: &str) -> BTreeSet<KeyDigest> {
        match self.value(name) {
            Some(FieldValue::Digests(digests)) => digests,
            _ => BTreeSet::new(),
        }
    }

    /// A time.
    pub fn duration(&self, name: &str) -> Duration {
        self.optional_duration(name).unwrap_or_default()
    }

    /// A time, unless it is switched off.
    pub fn optional_duration(&self, name: &str) -> Option<Duration> {
        match self.value(name) {
            Some(FieldValue::Duration(duration)) => Some(duration),
            _ => None,
        }
    }

    /// True or false, unless it is left to a rule.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.value(name) {
            Some(FieldValue::Flag(flag)) => Some(flag),
            _ => None,
        }
    }

    /// A number, a rate or a share.
    pub fn number(&self, name: &str) -> f64 {
        match self.value(name) {
            Some(
                FieldValue::Number(number) | FieldValue::Rate(number) | FieldValue::Share(number),
            ) => number,
            _ => 0.0,
        }
    }

    /// Bytes.
    pub fn size(&self, name: &str) -> u64 {
        match self.value(name) {
            Some(FieldValue::Size(bytes)) => bytes,
            _ => 0,
        }
    }

    /// The path of a file or directory.
    pub fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(self.text(name).unwrap_or_default())
    }

    /// Text.
    pub fn text(&self, name: &str) -> Option<String> {
        match self.value(name) {
            Some(FieldValue::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// A set of texts.
    pub fn texts(&self, name: &str) -> BTreeSet<String> {
        match self.value(name) {
            Some(FieldValue::Texts(texts)) => texts,
            _ => BTreeSet::new(),
        }
    }

    fn access(&self, name: &str) -> RouteAccess {
        match self.value(name) {
            Some(FieldValue::Access(access)) => access,
            _ => RouteAccess::AnyTeam,
        }
    }
}

fn decode_entries<N: Clone + Ord, T>(
    entries: &MergedEntries,
    name: fn(&str) -> N,
    decode: fn(N, &TreeNode) -> T,
) -> BTreeMap<N, T> {
    entries
        .iter()
        .map(|(text, node)| (name(text), decode(name(text), node)))
        .collect()
}

fn decode_freshness(node: &TreeNode) -> FreshnessSettings {
    let reader = SectionReader::new(node, &FRESHNESS);
    FreshnessSettings {
        lease: reader.duration("lease"),
        list_lag: reader.duration("list_lag"),
        stale_region: reader.duration("stale_region"),
        clock_drift_ppm: reader.count("clock_drift_ppm"),
    }
}

fn decode_region(_: RegionName, node: &TreeNode) -> RegionSettings {
    let reader = SectionReader::new(node, &REGION);
    RegionSettings {
        weight: reader.number("weight"),
        centers: reader
            .texts("centers")
            .iter()
            .map(|center| CenterName::new(center))
            .collect(),
        spill_bits_per_s: reader.bandwidth("spill"),
    }
}

fn decode_service(name: ServiceName, node: &TreeNode) -> ServiceSettings {
    let reader = SectionReader::new(node, &SERVICE);
    let servers = node.member("servers").and_then(TreeNode::members);
    ServiceSettings {
        name,
        floor: reader.number("floor"),
        slow_start: reader.duration("slow_start"),
        queue: reader.count("queue"),
        retry_budget: reader.number("retry_budget"),
        ejection: decode_ejection(&reader.section("ejection")),
        tls: reader.flag("tls").unwrap_or_default(),
        servers: servers
            .map(|servers| decode_entries(servers, ServerName::new, decode_server))
            .unwrap_or_default(),
    }
}

fn decode_ejection(reader: &SectionReader<'_>) -> EjectionSettings {
    EjectionSettings {
        base: reader.duration("base"),
        max: reader.duration("max"),
        slow_factor: reader.number("slow_factor"),
        bad_share: reader.number("bad_share"),
    }
}

fn decode_server(name: ServerName, node: &TreeNode) -> ServerSettings {
    let reader = SectionReader::new(node, &SERVER);
    ServerSettings {
        name,
        address: reader.address("address"),
        region: RegionName::new(&reader.text("region").unwrap_or_default()),
        center: CenterName::new(&reader.text("center").unwrap_or_default()),
        slots: reader.count("slots"),
        connections: reader.count("connections"),
    }
}

fn decode_route(name: RouteName, node: &TreeNode) -> RouteSettings {
    let reader = SectionReader::new(node, &ROUTE);
    let checks = reader.section("checks");
    RouteSettings {
        name,
        host: reader.text("host"),
        path: reader.text("path").unwrap_or_default(),
        methods: reader.texts("methods"),
        service: ServiceName::new(&reader.text("service").unwrap_or_default()),
        split: decode_split(node),
        priority: reader.count("priority"),
        access: reader.access("access"),
        repeatable: reader.flag("repeatable"),
        deadline: reader.duration("deadline"),
        objective: reader.optional_duration("objective"),
        idle: reader.duration("idle"),
        tries: reader.count("tries"),
        hedge: reader.optional_duration("hedge"),
        max_head: reader.size("max_head"),
        max_body: reader.size("max_body"),
        checks: ResponseChecks {
            headers: checks.texts("headers"),
            content_type: checks.text("content_type"),
        },
    }
}

fn decode_split(node: &TreeNode) -> Vec<ServiceShare> {
    let parts = node.member("split").and_then(TreeNode::members);
    let entries = parts.into_iter().flatten();
    entries
        .map(|(name, part)| ServiceShare {
            service: ServiceName::new(name),
            weight: SectionReader::new(part, &SPLIT).count("weight"),
        })
        .collect()
}

fn decode_team(name: TeamName, node: &TreeNode) -> TeamSettings {
    let reader = SectionReader::new(node, &TEAM);
    TeamSettings {
        name,
        rate: reader.number("rate"),
        burst: reader.number("burst"),
        weight: reader.number("weight"),
        priority: node.member("priority").map(|_| reader.count("priority")),
        keys: reader.digests("keys"),
    }
}
