//! The oldest revision that each region may still use.

use kws_protocol::{RegionName, TreeRevision};
use std::collections::BTreeMap;

/// The oldest usable revision by region: no host of the region is current with an earlier one, and
/// no loan that it granted under an earlier one can still be spent. Entries only increase, so they
/// may be learned from any host, late and repeatedly.
#[derive(Debug, Default)]
pub(crate) struct RetainedRevisions {
    oldest: BTreeMap<RegionName, TreeRevision>,
}

impl RetainedRevisions {
    /// Raises the region's entry; true if it changed.
    pub(crate) fn raise(&mut self, region: &RegionName, oldest: TreeRevision) -> bool {
        if oldest <= self.oldest(region) {
            return false;
        }
        self.oldest.insert(region.clone(), oldest);
        true
    }

    /// The oldest revision that the region may still use; 0 if unknown.
    pub(crate) fn oldest(&self, region: &RegionName) -> TreeRevision {
        self.oldest.get(region).copied().unwrap_or_default()
    }

    /// All known entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RegionName, TreeRevision)> {
        self.oldest.iter().map(|(region, &oldest)| (region, oldest))
    }
}
