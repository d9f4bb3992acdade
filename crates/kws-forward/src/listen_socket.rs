//! Graceful close of a listening socket.
//!
//! Closing a listening socket resets the connections in its backlog, although their callers may
//! already have sent requests. Therefore new connections are blocked first, the backlog is
//! accepted, and only then the socket is closed.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockFilter, SockRef};
use std::{
    io,
    net::{Shutdown, TcpListener},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time limit for the accept loop to empty the backlog. It normally takes milliseconds, and longer
/// only on a stalled machine.
const BACKLOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for handshakes that are in progress when new connections are blocked: their callers have
/// been told that the connection is open, or will be, while the backlog doesn't show them yet. Longer
/// than a round trip between any caller and a host; shorter than the second after which a blocked
/// caller tries again and is refused.
const HANDSHAKE_TIME: Duration = Duration::from_millis(250);
/// Interval between checks of the backlog.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Offset of the flags in a TCP header, in bytes (RFC 9293, 3.1).
const FLAGS_OFFSET: u32 = 13;
/// Flag of a segment that opens a connection (RFC 9293, 3.1).
const SYN_FLAG: u32 = 0x02;
/// Opcodes of classic BPF: load a byte, jump if bits are set, return.
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;

/// A second handle to the socket that an accept loop listens on.
#[derive(Debug)]
pub(crate) struct ListenSocket(TcpListener);

impl ListenSocket {
    /// Duplicates the handle of `listener`.
    ///
    /// # Errors
    /// If the process has reached its limit of file descriptors.
    pub(crate) fn new(listener: &TcpListener) -> io::Result<Self> {
        listener.try_clone().map(Self)
    }

    /// Blocks new connections, and waits until handshakes in progress have ended and the backlog has
    /// been accepted, at most `HANDSHAKE_TIME` and `BACKLOG_TIMEOUT`.
    pub(crate) async fn drain_backlog(&self) {
        match SockRef::from(&self.0).attach_filter(&syn_drop_filter()) {
            Ok(()) => sleep(HANDSHAKE_TIME).await,
            Err(error) => {
                log::warn!("cannot block new connections; callers may be reset: {error}");
            }
        }
        let deadline = Instant::now() + BACKLOG_TIMEOUT;
        while self.has_pending() && Instant::now() < deadline {
            sleep(BACKLOG_POLL_INTERVAL).await;
        }
    }

    /// Closes the socket for all its handles; further connections are refused.
    pub(crate) fn close(&self) {
        if let Err(error) = SockRef::from(&self.0).shutdown(Shutdown::Both) {
            log::warn!("cannot shut down the listening socket: {error}");
        }
    }

    fn has_pending(&self) -> bool {
        let mut sockets = [PollFd::new(&self.0, PollFlags::IN)];
        let now = Timespec::default();
        poll(&mut sockets, Some(&now)).is_ok_and(|ready| ready > 0)
    }
}

/// A packet filter that drops SYN segments. Unlike refusing connections, it lets half-open
/// connections complete their handshake.
fn syn_drop_filter() -> [SockFilter; 4] {
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ]
}
