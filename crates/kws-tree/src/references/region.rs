//! Checks of regions and freshness: weights divide one whole, and a data centre has one region.

use super::field_finding;
use crate::{
    Finding, Problem, SourcePlace, branch::ROOT_KEY, fields::name_finding, merge::MergedTree,
    unit::format_share,
};
use kws_protocol::{CenterName, FleetSettings, RegionName};
use std::collections::BTreeMap;

/// How far the sum of the weights may be from 1, for weights that have no exact fraction.
const WEIGHT_TOLERANCE: f64 = 1e-6;

pub(super) fn check_regions(
    tree: &MergedTree,
    settings: &FleetSettings,
    findings: &mut Vec<Finding>,
) {
    check_weights(tree, settings, findings);
    if settings.freshness.stale_region < settings.freshness.lease {
        let problem = Problem::Contradiction("`stale_region` is shorter than `lease`");
        findings.push(field_finding(&tree.freshness, "stale_region", problem));
    }
    let mut owners: BTreeMap<&CenterName, &RegionName> = BTreeMap::new();
    for (name, region) in &settings.regions {
        for center in &region.centers {
            let Some(first) = owners.insert(center, name) else {
                continue;
            };
            let problem = Problem::DuplicateCenter {
                center: center.to_string(),
                first: first.to_string(),
            };
            findings.push(field_finding(
                &tree.regions[name.as_str()],
                "centers",
                problem,
            ));
        }
    }
}

fn check_weights(tree: &MergedTree, settings: &FleetSettings, findings: &mut Vec<Finding>) {
    let sum: f64 = settings.regions.values().map(|region| region.weight).sum();
    if (sum - 1.0).abs() <= WEIGHT_TOLERANCE {
        return;
    }
    let problem = Problem::WeightSum(format_share(sum));
    let finding = match tree.regions.values().next() {
        Some(region) => name_finding(region, problem),
        None => Finding {
            place: SourcePlace::whole_file(ROOT_KEY),
            path: "regions".to_owned(),
            problem,
        },
    };
    findings.push(finding);
}
