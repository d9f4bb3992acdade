//! Fair queues, choice of backend server and retry policy.
//!
//! One [`Dispatcher`] a host, owned by the thread that owns the health judge. It opens no socket and
//! reads no clock: each call takes an event and the time, and returns what to do.

mod action;
mod choice;
mod concurrency;
mod dispatcher;
mod queue;
mod retry;
mod service;
mod spill;
mod subset;

pub use action::{DispatchAction, DispatchRequest, ServerGrant, TicketEnd, TicketId};
pub use dispatcher::Dispatcher;
pub use retry::{FailedTry, RetryBudget, RetryDecision, RetryPolicy, RetrySource, TryFailure};
