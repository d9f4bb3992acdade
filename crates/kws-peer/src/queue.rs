//! Bounded send queue of a link.

use crate::{LinkLiveness, liveness::LivenessState};
use kws_protocol::PeerMessage;
use std::sync::Arc;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Capacity of a link's queue, in messages.
const QUEUE_MESSAGES: usize = 256;

/// Message classes, in order of decreasing priority.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MessageClass {
    /// Lease confirmations; a host that gets none stops serving.
    Lease,
    /// Membership and dissemination of values; a host without them stops serving.
    Mesh,
    /// Slots and tokens, for which requests are waiting.
    Ticket,
    /// Loans, for which a request may be waiting.
    Loan,
    /// Configuration; fetched again if a message is lost.
    Config,
    /// Health reports; a lost one is superseded by the next.
    Health,
}

impl MessageClass {
    /// All classes, in order of decreasing priority.
    pub const ALL: [Self; 6] = [
        Self::Lease,
        Self::Mesh,
        Self::Ticket,
        Self::Loan,
        Self::Config,
        Self::Health,
    ];

    /// The class of a message.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Config(_) => Self::Config,
            PeerMessage::Health(_) => Self::Health,
            PeerMessage::Lease(_) => Self::Lease,
            PeerMessage::Loan(_) => Self::Loan,
            PeerMessage::Mesh(_) => Self::Mesh,
            PeerMessage::Ticket(_) => Self::Ticket,
        }
    }

    /// Label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Health => "health",
            Self::Lease => "lease",
            Self::Loan => "loan",
            Self::Mesh => "mesh",
            Self::Ticket => "ticket",
        }
    }

    /// Capacity, in messages, that this class must leave to higher-priority classes.
    fn reserved_capacity(self) -> usize {
        match self {
            Self::Lease | Self::Mesh => 0,
            Self::Ticket => QUEUE_MESSAGES / 16,
            Self::Loan => QUEUE_MESSAGES / 8,
            Self::Config => QUEUE_MESSAGES / 4,
            Self::Health => QUEUE_MESSAGES / 2,
        }
    }
}

/// The sending end of one link's queue.
#[derive(Clone, Debug)]
pub struct PeerQueue {
    sender: Sender<PeerMessage>,
    liveness: Arc<LinkLiveness>,
}

impl PeerQueue {
    /// A new queue and its receiving end.
    pub fn new() -> (Self, Receiver<PeerMessage>) {
        let (sender, receiver) = channel(QUEUE_MESSAGES);
        let liveness = Arc::new(LinkLiveness::new());
        (Self { sender, liveness }, receiver)
    }

    /// Liveness of the queue's link.
    pub(crate) fn liveness(&self) -> Arc<LinkLiveness> {
        Arc::clone(&self.liveness)
    }

    /// Whether the link accepts messages and has no unanswered ping.
    pub(crate) fn is_responsive(&self) -> bool {
        self.is_open() && !matches!(self.liveness.state(), LivenessState::Pinged(_))
    }

    /// Whether the link still accepts messages.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Queues a message unless the remaining capacity is reserved for higher-priority classes.
    ///
    /// # Errors
    /// The class of the dropped message, if the capacity is exhausted or the link is closed.
    pub fn push(&self, message: PeerMessage) -> Result<(), MessageClass> {
        let class = MessageClass::of(&message);
        if self.sender.capacity() <= class.reserved_capacity() {
            return Err(class);
        }
        self.sender.try_send(message).map_err(|_| class)
    }
}
