//! Time and memory of a piece of work.

use std::{
    fs,
    hint::black_box,
    sync::mpsc::channel,
    thread,
    time::{Duration, Instant},
};

/// Bytes of a kibibyte, in which the kernel tells sizes.
const KIB: f64 = 1024.0;

/// Nanoseconds of a second.
pub const NANOS: f64 = 1e9;

/// The time that one call of `work` takes, in nanoseconds, over `calls` calls.
pub fn nanos_each<T>(calls: usize, mut work: impl FnMut(usize) -> T) -> f64 {
    let start = Instant::now();
    for call in 0..calls {
        black_box(work(call));
    }
    nanos(start.elapsed()) / calls.max(1) as f64
}

/// The least time of `runs` runs, in nanoseconds: other load of the machine only adds.
pub fn best_of<T>(runs: usize, mut work: impl FnMut() -> T) -> f64 {
    (0..runs)
        .map(|_| nanos_each(1, |_| work()))
        .fold(f64::INFINITY, f64::min)
}

/// A time in nanoseconds.
pub fn nanos(time: Duration) -> f64 {
    time.as_secs_f64() * NANOS
}

/// Runs `work` on a thread that then stays until the end. Such a thread allocates from memory of its
/// own, so that what earlier work freed can't hide what this work takes.
pub fn on_fresh_heap<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let _ = sender.send(work());
        loop {
            thread::park();
        }
    });
    receiver.recv().expect("the work panicked")
}

/// Memory of the process now, in bytes.
pub fn resident() -> f64 {
    status_field("VmRSS:")
}

/// The most memory that the process had, in bytes.
pub fn peak() -> f64 {
    status_field("VmHWM:")
}

fn status_field(name: &str) -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(f64::NAN, |kib| kib * KIB)
}
