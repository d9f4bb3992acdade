//! Caller listeners and forwarding of requests.
