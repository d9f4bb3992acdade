//! Owners of shared tasks: hosts, silence and messages in, an owner out.

use kws_membership::{OwnerTable, SharedTask};
use kws_protocol::{HostList, HostName, HostState, ListedHost, RegionName};
use std::time::Duration;
use tokio::time::{Instant, advance};

const TASK: SharedTask<'static> = SharedTask {
    name: "till",
    millicores: 200,
};

fn list(sizes: &[u32]) -> HostList {
    let hosts = sizes.iter().enumerate().map(|(at, millicores)| ListedHost {
        name: HostName::new(&format!("host-{at}")),
        region: "vidzemes".into(),
        center: "turaida".into(),
        peer: ([10, 0, 0, at as u8], 700).into(),
        state: HostState::Live,
        millicores: *millicores,
    });
    HostList {
        hosts: hosts.collect(),
        servers: Vec::new(),
    }
}

fn table(sizes: &[u32]) -> OwnerTable {
    let mut table = OwnerTable::default();
    assert!(table.set_hosts(&list(sizes)));
    table
}

fn owner(table: &mut OwnerTable) -> Option<HostName> {
    table.owner(&RegionName::new("vidzemes"), TASK, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn large_enough() {
    let mut table = table(&[100, 100, 500, 100]);
    assert_eq!(owner(&mut table), Some(HostName::new("host-2")));
    assert!(!table.set_hosts(&list(&[100, 100, 500, 100])));
    assert_eq!(table.host_count(&RegionName::new("vidzemes")), 4);
}

#[tokio::test(start_paused = true)]
async fn unknown_region() {
    let mut table = table(&[500]);
    let region = RegionName::new("zemgales");
    assert_eq!(table.owner(&region, TASK, Instant::now()), None);
}

/// A host that doesn't reply is skipped for 4 s, or until a message from it arrives.
#[tokio::test(start_paused = true)]
async fn silent_owner() {
    let mut table = table(&[500, 500, 500]);
    let first = owner(&mut table).expect("an owner");
    table.record_timeout(&first, Instant::now());
    let second = owner(&mut table).expect("an owner");
    assert_ne!(second, first);
    table.record_message(&first);
    assert_eq!(owner(&mut table), Some(first.clone()));
    table.record_timeout(&first, Instant::now());
    assert_eq!(owner(&mut table), Some(second));
    advance(Duration::from_secs(4)).await;
    assert_eq!(owner(&mut table), Some(first));
}

/// Another host takes over only what it ranks first for.
#[tokio::test(start_paused = true)]
async fn changed_hosts() {
    let mut table = table(&[500; 8]);
    let region = RegionName::new("vidzemes");
    let names: Vec<String> = (0..200).map(|at| format!("task-{at}")).collect();
    let owners = |table: &mut OwnerTable| -> Vec<Option<HostName>> {
        let owner = |name: &String| {
            let task = SharedTask {
                name,
                millicores: 0,
            };
            table.owner(&region, task, Instant::now())
        };
        names.iter().map(owner).collect()
    };
    let before = owners(&mut table);
    table.set_hosts(&list(&[500; 9]));
    let after = owners(&mut table);
    let newcomer = Some(HostName::new("host-8"));
    let changed = before.iter().zip(&after).filter(|(old, new)| old != new);
    let moved: Vec<_> = changed.map(|(_, new)| new.clone()).collect();
    assert!(moved.iter().all(|owner| *owner == newcomer));
    assert!((10..=40).contains(&moved.len()), "{}", moved.len());
}

/// The next owners are those that the table names once the owners before them don't reply.
#[tokio::test(start_paused = true)]
async fn next_owners() {
    let mut table = table(&[500, 100, 500, 500, 500]);
    let region = RegionName::new("vidzemes");
    let named = table.successors(&region, TASK, 2);
    let mut found = Vec::new();
    for _ in 0..2 {
        let silent = owner(&mut table).expect("an owner");
        table.record_timeout(&silent, Instant::now());
        found.extend(owner(&mut table));
    }
    assert_eq!(named, found);
}
