//! Settings of the C library's allocator.

/// Limits the number of arenas from which threads allocate memory; to be called before other threads
/// start. By default each thread gets an arena of its own, for which the allocator reserves 64 MiB of
/// addresses. Under a limit on the address space these reservations leave too little for anything else.
/// With one arena nothing is reserved. Has no effect with other C libraries than glibc.
pub fn limit_arenas(count: usize) {
    set_arena_limit(i32::try_from(count.max(1)).unwrap_or(i32::MAX));
}

#[cfg(target_env = "gnu")]
#[expect(unsafe_code, reason = "the C library has no safe interface for this")]
fn set_arena_limit(count: i32) {
    // SAFETY: `mallopt` takes two integers and has no requirements on its caller. It fails only for
    // values that it rejects, which leaves the default in place.
    let _ = unsafe { libc::mallopt(libc::M_ARENA_MAX, count) };
}

#[cfg(not(target_env = "gnu"))]
fn set_arena_limit(_count: i32) {}
