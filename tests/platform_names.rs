//! Only the adapter's folder knows the platform's names.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names of the platform's headers, calls and fields that the product has no use of its own for.
const NAMES: [&str; 14] = [
    "apiKeys",
    "expected-instance",
    "healthCheckPath",
    "kv-key",
    "kv-range",
    "kv-watch",
    "maxAttempts",
    "non_idempotent",
    "not-executed",
    "op/config",
    "ratePerS",
    "server-signature",
    "trafficSplit",
    "warmupLeft",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn names_inside() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    for entry in fs::read_dir(root.join("crates")).expect("the crates") {
        sources(&entry.expect("an entry").path().join("src"), &mut files);
    }
    let mut places = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source").to_lowercase();
        for name in NAMES {
            if text.contains(&name.to_lowercase()) {
                places.push(format!("{}: {name}", file.display()));
            }
        }
    }
    assert_eq!(places, Vec::<String>::new());
}
