//! Starts the threads of the daemon.

use eyre::{Result, WrapErr};
use std::{future::Future, thread};
use tokio::runtime::Builder;

/// Starts a thread that runs `work` to completion on a single-threaded runtime of its own.
///
/// # Errors
/// When the runtime or the thread can't be created.
pub(crate) fn start_async_thread<F, W>(name: &str, work: F) -> Result<()>
where
    F: FnOnce() -> W + Send + 'static,
    W: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err_with(|| format!("failed to build the runtime for {name}"))?;
    start_thread(name, move || runtime.block_on(work()))
}

/// Starts a thread. A panic aborts the whole process: without one of its threads the daemon would
/// keep serving with outdated state.
///
/// # Errors
/// When the thread can't be created.
pub(crate) fn start_thread<F>(name: &str, work: F) -> Result<()>
where
    F: FnOnce() + Send + 'static,
{
    let label = name.to_owned();
    thread::Builder::new()
        .name(format!("kws-{name}"))
        .spawn(move || {
            let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
            if ended.is_err() {
                log::error!(duty = label.as_str(); "thread panicked, aborting the process");
                std::process::abort();
            }
        })
        .wrap_err_with(|| format!("failed to spawn the thread for {name}"))?;
    Ok(())
}
