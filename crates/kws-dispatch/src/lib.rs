//! Fair queues, choice of backend server and retry policy.
//!
//! [`Placer`] places for a whole region where hosts find each other; [`Dispatcher`] for one host of a
//! published list, owned by the thread that owns the health judge. It opens no socket and
//! reads no clock: each call takes an event and the time, and returns what to do.

mod action;
mod choice;
mod concurrency;
mod dispatcher;
mod placer;
mod queue;
mod retry;
mod service;
mod spill;
mod subset;

pub use action::{DispatchAction, DispatchRequest, ServerGrant, TicketEnd, TicketId};
pub use dispatcher::Dispatcher;
pub use placer::{
    PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, RefusalContext, ServerHealth,
};
pub use retry::{FailedTry, RetryBudget, RetryDecision, RetryPolicy, RetrySource, TryFailure};
