//! `key new` prints a key once, and the digest that stands for it.

use kws_client::{ExitStatus, run_client};
use kws_tree::resolve;
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::ffi::OsString;

fn new_key() -> (String, String) {
    let arguments = ["knapweedseam", "key", "new", "--json"].map(OsString::from);
    let mut output = Vec::new();
    let status = run_client(arguments, &mut output, &mut Vec::new());
    assert_eq!(status, ExitStatus::Success);
    let report: Value = serde_json::from_slice(&output).expect("JSON");
    let text = |name: &str| report[name].as_str().expect("text").to_owned();
    (text("key"), text("digest"))
}

#[test]
fn digest_of_key() {
    let (key, digest) = new_key();
    assert_eq!(
        digest,
        format!("sha256:{}", hex::encode(Sha256::digest(&key)))
    );
    assert_eq!(key.len(), "kws_".len() + 64);
}

#[test]
fn new_every_time() {
    assert_ne!(new_key().0, new_key().0);
}

#[test]
fn accepted_in_tree() {
    let digest = new_key().1;
    let root = format!(
        "regions: {{a: {{weight: 100%, centers: [x]}}}}
teams: {{shop: {{rate: 1/s, burst: 1, keys: ['{digest}']}}}}"
    );
    let published = kws_protocol::PublishedValues {
        values: [("root.yaml".to_owned(), root.into())].into(),
        ..Default::default()
    };
    let snapshot = resolve(&published).expect("no findings");
    assert_eq!(snapshot.settings.teams["shop"].keys.len(), 1);
}

#[test]
fn human_report() {
    let mut output = Vec::new();
    let arguments = ["knapweedseam", "key", "new"].map(OsString::from);
    run_client(arguments, &mut output, &mut Vec::new());
    let text = String::from_utf8(output).expect("text");
    assert!(text.starts_with("key:    kws_"), "{text}");
    assert!(text.contains("\ndigest: sha256:"), "{text}");
}
