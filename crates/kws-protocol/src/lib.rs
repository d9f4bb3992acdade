//! Types shared by all crates: names, resolved settings, refusal reasons, and the messages
//! exchanged between daemons.

mod codec;
mod hash;
mod header_dialect;
mod list;
mod message;
mod name;
mod refusal;
mod settings;
mod snapshot;
mod status;
mod wire;

pub use codec::{CodecError, MAX_FRAME_BYTES, decode_message, encode_message};
pub use hash::{name_hash, rendezvous_order, rendezvous_score, weighted_score};
pub use header_dialect::{FlagHeader, HeaderDialect};
pub use list::{HostList, HostState, ListedHost, ListedServer};
pub use message::{
    ConfigMessage, HashedAge, HealthMessage, HealthReport, LeaseMessage, LoanId, LoanMessage,
    MemberReport, MeshMember, MeshMessage, PeerMessage, RetainedValue, RevisionView, ServerLoad,
    SlotGrant, SlotOutcome, SlotRequest, TicketMessage, TokenRequestKind, TryKind, ValuesDelta,
    ValuesView,
};
pub use name::{CenterName, HostName, RegionName, RouteName, ServerName, ServiceName, TeamName};
pub use refusal::{RefusalReason, RetryReason, RunState};
pub use settings::{
    EjectionSettings, FleetSettings, FreshnessSettings, KeyDigest, RegionSettings, ResponseChecks,
    RouteAccess, RouteSettings, ServerSettings, ServiceSettings, ServiceShare, TeamSettings,
};
pub use snapshot::{FleetSnapshot, PublishedValues, TreeRevision};
pub use status::{ServerStatus, StatusReport};
