//! The capacity floor: which servers may be ejected, and which must return to service.

use kws_protocol::ServerName;
use std::collections::BTreeSet;

/// Tolerance for rounding errors when capacities are compared, in slots.
const TOLERANCE_SLOTS: f64 = 1e-9;

/// The capacity of one server, as input to the floor rules.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FloorEntry {
    pub(crate) server: ServerName,
    /// Slots configured in the tree.
    pub(crate) slots: f64,
    /// Slots times the current warm-up weight on this host; 0 while the server is out of service.
    pub(crate) capacity: f64,
    /// Whether two or more peers report the server as ejected.
    pub(crate) ejected_by_peers: bool,
    /// The failure score at the ejection, if the server is out of service and could return; `None`
    /// for every other server.
    pub(crate) restorable: Option<f64>,
}

/// The capacity that ejections must leave in service, in slots.
pub(crate) fn floor_slots(entries: &[FloorEntry], floor: f64) -> f64 {
    floor * entries.iter().map(|entry| entry.slots).sum::<f64>()
}

/// Whether the capacity without `server` reaches the floor. Servers that peers report as ejected
/// don't count as capacity.
pub(crate) fn may_eject(entries: &[FloorEntry], floor: f64, server: &ServerName) -> bool {
    let left: f64 = entries
        .iter()
        .filter(|entry| &entry.server != server && !entry.ejected_by_peers)
        .map(|entry| entry.capacity)
        .sum();
    left + TOLERANCE_SLOTS >= floor_slots(entries, floor)
}

/// The servers that must return at full weight to reach the floor. Those with the lowest failure
/// score are chosen first.
pub(crate) fn servers_to_restore(entries: &[FloorEntry], floor: f64) -> BTreeSet<ServerName> {
    let mut missing =
        floor_slots(entries, floor) - entries.iter().map(|entry| entry.capacity).sum::<f64>();
    let mut candidates: Vec<(f64, &FloorEntry)> = entries
        .iter()
        .filter_map(|entry| entry.restorable.map(|failure_score| (failure_score, entry)))
        .collect();
    candidates.sort_by(|left, right| {
        left.0
            .total_cmp(&right.0)
            .then_with(|| left.1.server.cmp(&right.1.server))
    });
    let mut restored = BTreeSet::new();
    for (_, entry) in candidates {
        if missing <= TOLERANCE_SLOTS {
            break;
        }
        missing -= entry.slots;
        restored.insert(entry.server.clone());
    }
    restored
}
