//! Platform thread: watches the platform for changes.

use crate::{shared::DaemonShared, threads::start_thread};
use eyre::Result;
use kws_adapter::StoreReader;
use kws_platform::{ConsulReader, DirectoryReader, PlatformEvent, PlatformReader, run_watch};
use kws_tree::PlatformSource;
use ntex::rt::{DefaultRuntime, System};
use std::sync::Arc;
use tokio::sync::mpsc::Sender;

/// Starts the platform watch.
pub(crate) fn start_watch(
    source: PlatformSource,
    shared: Arc<DaemonShared>,
    events: Sender<PlatformEvent>,
) -> Result<()> {
    start_thread("platform", move || {
        System::new("kws-platform", DefaultRuntime).block_on(async move {
            let mut reader = open_reader(&source);
            let timing = move || shared.watch_timing();
            run_watch(&mut *reader, &timing, &events).await;
        });
    })
}

fn open_reader(source: &PlatformSource) -> Box<dyn PlatformReader> {
    match source {
        PlatformSource::Store { address, .. } => Box::new(StoreReader::new(*address)),
        PlatformSource::Directory(path) => Box::new(DirectoryReader::new(path)),
        PlatformSource::Service { address, prefix } => {
            Box::new(ConsulReader::new(&format!("http://{address}"), prefix))
        }
    }
}
