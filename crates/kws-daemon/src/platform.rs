//! The duty that watches the platform.

use crate::{duty::start_thread, shared::DaemonShared};
use eyre::Result;
use kws_platform::{
    ConsulReader, DirectoryReader, PlatformEvent, PlatformReader, WatchSettings, run_watch,
};
use kws_tree::PlatformSource;
use ntex::rt::{DefaultRuntime, System};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc::Sender;

/// The pause after the platform's first failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest pause between failures.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Starts the watch.
pub(crate) fn start_watch(
    source: PlatformSource,
    shared: Arc<DaemonShared>,
    events: Sender<PlatformEvent>,
) -> Result<()> {
    start_thread("platform", move || {
        System::new("kws-platform", DefaultRuntime).block_on(async move {
            let mut reader = open_reader(&source);
            let settings = WatchSettings {
                wait: Arc::new(move || shared.watch_wait()),
                backoff_base: BACKOFF_BASE,
                backoff_max: BACKOFF_MAX,
            };
            run_watch(&mut *reader, &settings, &events).await;
        });
    })
}

fn open_reader(source: &PlatformSource) -> Box<dyn PlatformReader> {
    match source {
        PlatformSource::Directory(path) => Box::new(DirectoryReader::new(path)),
        PlatformSource::Service { address, prefix } => {
            Box::new(ConsulReader::new(&format!("http://{address}"), prefix))
        }
    }
}
