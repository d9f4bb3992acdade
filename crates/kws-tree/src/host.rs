//! The settings of one entry host, a small YAML file beside the daemon.

use crate::{
    Finding, Problem, SourcePlace,
    decode::SectionReader,
    fields::{check_section, name_finding, value_finding},
    node::TreeNode,
    parse::parse_yaml,
    references::report_missing,
    resolve::has_errors,
    schema::{CENTER, HOST, TLS},
};
use kws_protocol::{CenterName, RegionName};
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

/// Where the platform publishes.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformSource {
    /// A directory of files, for trials and small fleets.
    Directory(PathBuf),
    /// The platform's configuration service.
    Service {
        /// Where it listens.
        address: SocketAddr,
        /// What the keys of the fleet's values start with.
        prefix: String,
    },
    /// The platform's metadata store.
    Store {
        /// Where it listens.
        address: SocketAddr,
        /// What it says nothing of.
        terms: StoreTerms,
    },
}

/// What holds for every service of a metadata store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreTerms {
    /// The share of a service's capacity that ejection must leave, between 0 and 1.
    pub floor: f64,
    /// Retries allowed for each first try, over all hosts together, between 0 and 1.
    pub retry_ratio: f64,
    /// The interval at which a backend server writes its entry.
    pub heartbeat: Duration,
}

/// The certificate shown to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// The file with the chain of certificates, in PEM.
    pub certificate: PathBuf,
    /// The file with the private key, in PEM.
    pub key: PathBuf,
}

/// The settings of one entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Its name in the platform's list, new for each life of the daemon.
    pub name: Option<String>,
    /// Its share of processors, in thousandths of one.
    pub millicores: u32,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub center: CenterName,
    /// The regions of all data centres; empty where the tree names them.
    pub centers: BTreeMap<CenterName, RegionName>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The time from the request to stop until the daemon would be killed.
    pub grace: Duration,
    /// A second address for readiness.
    pub ready: Option<SocketAddr>,
    /// Peer addresses of some hosts, by which hosts find each other.
    pub seeds: Vec<SocketAddr>,
    /// Whether every process that reaches `peer` counts as a daemon of the fleet.
    pub trust_peer_network: bool,
    /// Where status, metrics and readiness are read.
    pub admin: SocketAddr,
    /// Whether the daemon also serves callers while `admin` can't be bound.
    pub admin_optional: bool,
    /// Where the other daemons connect.
    pub peer: SocketAddr,
    /// The file with the secret that the daemons share.
    pub peer_secret_file: Option<PathBuf>,
    /// The file with the certificate authorities of backend servers.
    pub backend_ca_file: Option<PathBuf>,
    /// Where the platform publishes.
    pub platform: PlatformSource,
    /// TLS towards callers.
    pub tls: Option<TlsFiles>,
    /// The least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub log: String,
}

/// Reads and checks the settings of one host; `file` names them in findings.
///
/// # Errors
/// All findings together.
pub fn parse_host(text: &str, file: &str) -> Result<HostSettings, Vec<Finding>> {
    let node = parse_yaml(file, text).map_err(|finding| vec![*finding])?;
    let mut findings = Vec::new();
    check_section(&node, &HOST, true, &mut findings);
    report_missing(&node, &HOST, &mut findings);
    let reader = SectionReader::new(&node, &HOST);
    check_addresses(&node, &reader, &mut findings);
    check_platform(&node, &mut findings);
    if let Some(tls) = node.member("tls") {
        report_missing(tls, &TLS, &mut findings);
    }
    if has_errors(&findings) {
        findings.sort();
        findings.dedup();
        return Err(findings);
    }
    Ok(decode_host(&node, &reader))
}

fn decode_host(node: &TreeNode, reader: &SectionReader<'_>) -> HostSettings {
    let platform = reader.section("platform");
    let tls = reader.section("tls");
    HostSettings {
        name: reader.text("name"),
        millicores: decode_millicores(reader),
        region: RegionName::new(&reader.text("region").unwrap_or_default()),
        center: CenterName::new(&reader.text("center").unwrap_or_default()),
        centers: decode_centers(node),
        listen: reader.address("listen"),
        grace: reader.duration("grace"),
        ready: node.member("ready").map(|_| reader.address("ready")),
        seeds: reader
            .texts("seeds")
            .iter()
            .filter_map(|text| text.parse().ok())
            .collect(),
        trust_peer_network: reader.flag("trust_peer_network").unwrap_or_default(),
        admin: reader.address("admin"),
        admin_optional: reader.flag("admin_optional").unwrap_or_default(),
        peer: reader.address("peer"),
        peer_secret_file: reader.text("peer_secret_file").map(PathBuf::from),
        backend_ca_file: reader.text("backend_ca_file").map(PathBuf::from),
        platform: decode_platform(&platform),
        tls: node.member("tls").map(|_| TlsFiles {
            certificate: tls.path("certificate"),
            key: tls.path("key"),
        }),
        log: reader.text("log").unwrap_or_default(),
    }
}

fn decode_millicores(reader: &SectionReader<'_>) -> u32 {
    let cores = reader.number("processors") * reader.number("processor_share").min(1.0);
    (cores * 1_000.0).round().max(1.0) as u32
}

fn decode_platform(platform: &SectionReader<'_>) -> PlatformSource {
    if let Some(directory) = platform.text("directory") {
        return PlatformSource::Directory(PathBuf::from(directory));
    }
    if platform.value("store").is_some() {
        let terms = platform.section("terms");
        return PlatformSource::Store {
            address: platform.address("store"),
            terms: StoreTerms {
                floor: terms.number("floor").min(1.0),
                retry_ratio: terms.number("retry_ratio").min(1.0),
                heartbeat: terms.duration("heartbeat"),
            },
        };
    }
    PlatformSource::Service {
        address: platform.address("http"),
        prefix: platform.text("prefix").unwrap_or_default(),
    }
}

fn decode_centers(node: &TreeNode) -> BTreeMap<CenterName, RegionName> {
    let centers = node.member("centers").and_then(TreeNode::members);
    let entries = centers.into_iter().flatten();
    entries
        .map(|(name, center)| {
            let region = SectionReader::new(center, &CENTER).text("region");
            let region = RegionName::new(&region.unwrap_or_default());
            (CenterName::new(name), region)
        })
        .collect()
}

fn check_addresses(node: &TreeNode, reader: &SectionReader<'_>, findings: &mut Vec<Finding>) {
    let names: &[&str] = if reader.flag("admin_optional") == Some(true) {
        &["listen", "peer"]
    } else {
        &["admin", "listen", "peer"]
    };
    for (index, name) in names.iter().enumerate() {
        let address = reader.address(name);
        let first = names[..index]
            .iter()
            .find(|first| reader.address(first) == address && address.port() != 0);
        if let (Some(first), Some(member)) = (first, node.member(name)) {
            let problem = Problem::SameAddress {
                address: address.to_string(),
                first: (*first).to_owned(),
            };
            findings.push(value_finding(member, problem));
        }
    }
    if let Some(peer) = node.member("peer")
        && reader.value("peer").is_some()
        && !reader.address("peer").ip().is_loopback()
        && node.member("peer_secret_file").is_none()
        && reader.flag("trust_peer_network") != Some(true)
    {
        findings.push(value_finding(peer, Problem::PeerSecret));
    }
}

fn check_platform(node: &TreeNode, findings: &mut Vec<Finding>) {
    let Some(platform) = node.member("platform") else {
        let place = SourcePlace::whole_file(&node.place.file);
        findings.push(Finding {
            place,
            path: "platform".to_owned(),
            problem: Problem::MissingField("platform".to_owned()),
        });
        return;
    };
    let sources = ["directory", "http", "store"].into_iter();
    let named = sources.filter(|name| platform.member(name).is_some());
    if named.count() != 1 {
        findings.push(name_finding(platform, Problem::PlatformSource));
    }
}
