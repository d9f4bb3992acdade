//! The capacity floor: what may be ejected, and what has to come back.

use kws_protocol::ServerName;
use std::collections::BTreeSet;

/// Sums of weights below this count as equal, in slots.
const ROUNDING: f64 = 1e-9;

/// One server as the floor sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FloorEntry {
    pub(crate) server: ServerName,
    /// Slots in the tree.
    pub(crate) slots: f64,
    /// Slots x warm-up weight that the server gives this host now; 0 while it is out.
    pub(crate) capacity: f64,
    /// Whether two or more peers report it as ejected.
    pub(crate) ejected_by_peers: bool,
    /// How sick an ejected server was, when it could come back; `None` for every other server.
    pub(crate) restorable: Option<f64>,
}

/// The capacity that ejection must leave, in slots.
pub(crate) fn floor_slots(entries: &[FloorEntry], floor: f64) -> f64 {
    floor * entries.iter().map(|entry| entry.slots).sum::<f64>()
}

/// Whether `server` may be ejected now.
pub(crate) fn may_eject(entries: &[FloorEntry], floor: f64, server: &ServerName) -> bool {
    let left: f64 = entries
        .iter()
        .filter(|entry| &entry.server != server && !entry.ejected_by_peers)
        .map(|entry| entry.capacity)
        .sum();
    left + ROUNDING >= floor_slots(entries, floor)
}

/// The servers that have to come back at full weight, the least sick first.
pub(crate) fn to_restore(entries: &[FloorEntry], floor: f64) -> BTreeSet<ServerName> {
    let mut missing =
        floor_slots(entries, floor) - entries.iter().map(|entry| entry.capacity).sum::<f64>();
    let mut out: Vec<(f64, &FloorEntry)> = entries
        .iter()
        .filter_map(|entry| entry.restorable.map(|sickness| (sickness, entry)))
        .collect();
    out.sort_by(|left, right| {
        left.0
            .total_cmp(&right.0)
            .then_with(|| left.1.server.cmp(&right.1.server))
    });
    let mut restored = BTreeSet::new();
    for (_, entry) in out {
        if missing <= ROUNDING {
            break;
        }
        missing -= entry.slots;
        restored.insert(entry.server.clone());
    }
    restored
}
