//! Observer of the exchange's traffic.

use crate::MessageClass;
use kws_protocol::HostName;

/// Receives traffic events; called on the exchange's thread.
pub trait PeerObserver: Send + Sync {
    /// A message of `bytes` was sent.
    fn sent(&self, class: MessageClass, bytes: usize);
    /// A message of `bytes` was received.
    fn received(&self, class: MessageClass, bytes: usize);
    /// A message was dropped because a queue was full, or its link was lost or unavailable.
    fn dropped(&self, class: MessageClass);
    /// A link to `peer` that was open is lost. Messages to it may not have arrived, and another can be
    /// opened now.
    fn link_closed(&self, peer: &HostName) {
        let _ = peer;
    }
    /// A message to or from `peer` can't be encoded or decoded, such as one of another protocol version; its
    /// link is lost. Called once for each peer and reason.
    fn refused(&self, peer: &HostName, reason: &str) {
        let _ = (peer, reason);
    }
    /// A link was rejected or lost, or could not be dialled or accepted; `reason` is for the log.
    fn link_lost(&self, reason: &str);
}
