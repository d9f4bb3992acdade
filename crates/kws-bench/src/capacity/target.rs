//! The size to design for, and its budgets.

/// Entry hosts.
pub const HOSTS: usize = 570;
/// Regions.
pub const REGIONS: usize = 3;
/// Data centres.
pub const CENTERS: usize = 10;
/// Entry hosts of one region.
pub const REGION_HOSTS: usize = HOSTS / REGIONS;
/// Peers of a host in its region.
pub const REGION_PEERS: usize = REGION_HOSTS - 1;
/// Backend servers.
pub const UPSTREAMS: usize = 6_800;
/// Services.
pub const SERVICES: usize = 270;
/// Routes.
pub const ROUTES: usize = 1_600;
/// Teams.
pub const TEAMS: usize = 54_000;
/// Requests at the peak over all hosts, a second.
pub const REQUESTS: f64 = 51_000.0;
/// Requests at the peak on one host, a second.
pub const HOST_REQUESTS: f64 = REQUESTS / HOSTS as f64;
/// Changes of the operators' tree, a day.
pub const CHANGES: f64 = 3_100.0;
/// Hosts restarted or replaced, a day; each leaves the list and comes back to it.
pub const RESTARTS: f64 = 2_700.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Changes of the operators' tree, a second.
pub const CHANGE_RATE: f64 = CHANGES / DAY;
/// Changes of the list, a second: two a restart.
pub const LIST_RATE: f64 = 2.0 * RESTARTS / DAY;
/// Revisions a second.
pub const REVISION_RATE: f64 = CHANGE_RATE + LIST_RATE;
/// The lease, in seconds.
pub const LEASE: f64 = 3.0;

/// Processor time that control may take, as a share of one core.
pub const CORE_BUDGET: f64 = 0.015;
/// Memory that control may take, in bytes.
pub const MEMORY_BUDGET: f64 = 64e6;
/// What control may send, in bytes a second.
pub const NETWORK_BUDGET: f64 = 23e3;
/// Calls that the platform takes, a second.
pub const CALL_BUDGET: f64 = 2_000.0;
/// Bits a second that the link between two regions carries.
pub const LINK_BITS: f64 = 30e6;
/// Time in which a change is in force everywhere, in seconds.
pub const CHANGE_BUDGET: f64 = 12.0;

/// Bytes around one message on its own: WebSocket, TCP with timestamps, IP.
pub const FRAME_OVERHEAD: f64 = 58.0;
