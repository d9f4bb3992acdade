//! Fair queues, choice of backend server and retry policy.
