//! Addresses for the peer listeners of daemon processes.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// The first port that is tried.
const FIRST_PORT: u16 = 20_000;

/// A loopback address derived from the process identifier: daemons left behind by an interrupted run
/// must not find those of another run at their old addresses.
pub fn own_loopback() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, low, 1)
}

/// An address with a port that this process has not used. The port is below the range from which the
/// system takes ports for port 0 and for outgoing connections, so that it is still free when the
/// daemon binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((own_loopback(), port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
