//! What the kernel counts of this process.

use eyre::eyre;
use std::fs;

/// Ticks of the kernel's CPU times in a second.
const TICKS: f64 = 100.0;

/// The resident memory of the process, in KiB.
pub fn resident_kib() -> eyre::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.ok_or_else(|| eyre!("no resident size"))?.parse()?)
}

/// The CPU time of all threads but those called `other` and the main one, in seconds.
pub fn listener_seconds(other: &str) -> eyre::Result<f64> {
    let main = std::process::id().to_string();
    let mut seconds = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?;
        let stat = fs::read_to_string(task.path().join("stat"))?;
        let named = stat.contains(&format!("({other})"));
        if !named && task.file_name().to_string_lossy() != main {
            seconds += thread_seconds(&stat)?;
        }
    }
    Ok(seconds)
}

/// The user and system time in a thread's `stat`, which are its 14th and 15th fields.
fn thread_seconds(stat: &str) -> eyre::Result<f64> {
    let (_, fields) = stat.rsplit_once(')').ok_or_else(|| eyre!("no name"))?;
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<u64>, _> = times.map(str::parse).collect();
    Ok(ticks?.into_iter().sum::<u64>() as f64 / TICKS)
}
