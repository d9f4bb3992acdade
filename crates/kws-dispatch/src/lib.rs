//! Fair queuing, selection of backend servers and retry policy.
//!
//! [`Placer`] schedules the requests of a whole region, in fleets whose hosts discover each other.
//! [`Dispatcher`] schedules those of a single host, in fleets with a published list of hosts; it is
//! owned by the thread that owns the health monitor. Neither opens sockets or reads the clock: each
//! call takes an event and the current time, and returns the actions to carry out.

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

pub use action::{DispatchAction, DispatchRequest, ServerGrant, TicketId, TicketOutcome};
pub use dispatcher::Dispatcher;
pub use placer::{
    PlaceAction, PlaceOutcome, PlaceReport, PlaceRequest, Placer, RefusalContext, ServerHealth,
};
pub use retry::{FailedTry, RetryBudget, RetryDecision, RetryPolicy, RetrySource, TryFailure};
