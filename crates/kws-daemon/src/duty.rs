//! Starts the threads of the duties.

use eyre::{Result, WrapErr};
use std::{future::Future, thread};
use tokio::runtime::Builder;

/// Starts a thread with a runtime of its own that runs `work` to its end.
pub(crate) fn start_duty<F, W>(name: &str, work: F) -> Result<()>
where
    F: FnOnce() -> W + Send + 'static,
    W: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err_with(|| format!("no runtime for {name}"))?;
    start_thread(name, move || runtime.block_on(work()))
}

/// Starts a thread. A duty that panics ends the process: a daemon without one of its duties would
/// go on with old beliefs.
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
                log::error!(duty = label.as_str(); "a duty ended by a panic");
                std::process::abort();
            }
        })
        .wrap_err_with(|| format!("no thread for {name}"))?;
    Ok(())
}
