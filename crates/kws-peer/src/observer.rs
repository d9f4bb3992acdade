//! What the exchange counts.

use crate::MessageClass;

/// Receives the exchange's counts; called on the exchange's thread.
pub trait PeerObserver: Send + Sync {
    /// A message of `bytes` was sent.
    fn sent(&self, class: MessageClass, bytes: usize);
    /// A message of `bytes` was received.
    fn received(&self, class: MessageClass, bytes: usize);
    /// A message was dropped because a queue was full or its link was lost.
    fn dropped(&self, class: MessageClass);
    /// A link was refused or lost, with the reason.
    fn link_lost(&self, reason: &str);
}
