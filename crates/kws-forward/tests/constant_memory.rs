//! Large bodies are streamed, not buffered.

#[path = "common/fleet.rs"]
mod fleet;

use fleet::{Fleet, request};
use kws_standin::backend::BackendScript;
use std::fs;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The size of each body, in bytes.
const BODY_BYTES: usize = 64 << 20;
/// The growth of peak memory allowed for both transfers, in KiB.
const MAX_GROWTH_KIB: u64 = 32 << 10;

fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("reads");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .expect("has a peak");
    line.split_whitespace()
        .nth(1)
        .expect("has a value")
        .parse()
        .expect("is a number")
}

#[tokio::test]
async fn large_bodies() {
    let fleet = Fleet::start([BackendScript {
        body_bytes: 10,
        ..BackendScript::default()
    }])
    .await;
    assert_eq!(fleet.get("/open").await.status(), 200);
    let before = peak_kib();
    assert!(upload(&fleet).await.contains("200"));
    let script = BackendScript {
        body_bytes: BODY_BYTES as u64,
        ..BackendScript::default()
    };
    fleet.backends[0].set_script(script);
    assert!(download(&fleet).await > BODY_BYTES);
    assert!(
        peak_kib() - before < MAX_GROWTH_KIB,
        "{} KiB more",
        peak_kib() - before
    );
}

async fn upload(fleet: &Fleet) -> String {
    let mut stream = fleet.connect().await;
    let lines = format!("content-length: {BODY_BYTES}\r\n");
    let head = request("POST", "/open", &lines, "");
    stream.write_all(head.as_bytes()).await.expect("writes");
    let piece = vec![b'a'; 64 << 10];
    for _ in 0..BODY_BYTES / piece.len() {
        stream.write_all(&piece).await.expect("writes");
    }
    fleet::read_to_end(&mut stream).await.text
}

async fn download(fleet: &Fleet) -> usize {
    let mut stream = fleet.connect().await;
    stream
        .write_all(fleet::get("/open").as_bytes())
        .await
        .expect("writes");
    let mut buffer = vec![0; 64 << 10];
    let mut bytes = 0;
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        bytes += count;
    }
    bytes
}
