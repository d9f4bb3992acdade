//! Addresses for the peer listeners of daemon processes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};
use tokio::net::TcpSocket;

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
        if is_free(address) {
            return address;
        }
    }
}

/// Whether no socket listens on the address. The probe doesn't listen: a process that another thread
/// starts at this moment holds a copy of it until it executes its program, and one that listens would
/// keep the address in use.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option of sockets");
    socket.bind(address).is_ok()
}
