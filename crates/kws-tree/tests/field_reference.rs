//! The reference page names every field of the schema, with its default and unit.

use kws_tree::{host_reference, tree_reference};
use rstest::rstest;
use std::{fs, path::Path};

#[rstest]
#[case::tree(tree_reference())]
#[case::host(host_reference())]
fn every_field(#[case] tables: String) {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let text = fs::read_to_string(page).expect("a page");
    assert!(
        text.contains(&tables),
        "docs/CONFIGURATION.md lacks:\n{tables}"
    );
}
