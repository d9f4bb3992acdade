//! Service factories that handle a caller's connection: TLS, framing checks, HTTP.

use crate::{
    caller_connection::CallerConnection,
    connections::TrackedFactory,
    exchange::serve,
    guard_layer::GuardLayer,
    protocol_control::handle_control,
    session_layer::SessionLayer,
    worker::{WorkerParts, WorkerState},
};
use ntex::{
    SharedCfg, fn_service,
    http::{HttpService, Request, error::DispatchError},
    io::{Filter, Io},
    service::{ServiceFactory, chain_factory, fn_factory},
    tls::rustls::TlsAcceptor,
};
use rustls::ServerConfig;
use std::{cell::OnceCell, error::Error, io, rc::Rc, sync::Arc};

/// Creates the service for plain HTTP connections.
pub(crate) fn plain_service(
    max_head: usize,
    parts: WorkerParts,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = DispatchError, InitError = ()> {
    guarded_service(max_head, parts)
}

/// Creates the service for TLS connections.
pub(crate) fn tls_service(
    config: Arc<ServerConfig>,
    max_head: usize,
    parts: WorkerParts,
) -> impl ServiceFactory<Io, SharedCfg, Response = (), Error = DispatchError, InitError = ()> {
    chain_factory(fn_service(async |io: Io| {
        Ok::<_, io::Error>(io.add_filter(SessionLayer))
    }))
    .map_init_err(|(): ()| ())
    .and_then(TlsAcceptor::new(config))
    .map_err(|error| DispatchError::Control(Rc::new(error) as Rc<dyn Error>))
    .and_then(guarded_service(max_head, parts))
}

/// Puts the framing checks before the HTTP server.
fn guarded_service<F: Filter>(
    max_head: usize,
    parts: WorkerParts,
) -> impl ServiceFactory<Io<F>, SharedCfg, Response = (), Error = DispatchError, InitError = ()> {
    // Both the request and the control service are created on the worker's thread and share its
    // state.
    let unused_connections = parts.unused_connections.clone();
    let pending_requests = parts.pending_requests.clone();
    let live_workers = parts.live_workers.clone();
    let stop_phase = parts.stop_phase.clone();
    let worker = Rc::new(OnceCell::<Rc<WorkerState>>::new());
    let shared_state = move || {
        let state = worker.get_or_init(|| Rc::new(WorkerState::new(parts.clone())));
        Rc::clone(state)
    };
    let request_state = shared_state.clone();
    let http = HttpService::h1(fn_factory(async move || {
        let worker = request_state();
        Ok::<_, ()>(fn_service(move |request: Request| {
            let worker = Rc::clone(&worker);
            async move { Ok::<_, io::Error>(serve(worker, request).await) }
        }))
    }))
    .control(fn_factory(async move || {
        let worker = shared_state();
        Ok::<_, ()>(fn_service(move |control| {
            let ack = handle_control(&worker, control);
            async move { Ok::<_, io::Error>(ack) }
        }))
    }));
    chain_factory(fn_service(move |io: Io<F>| {
        let unused_guard = unused_connections.track();
        let connection = CallerConnection::new(max_head, unused_guard, pending_requests.clone());
        let guarded = io.add_filter(GuardLayer::new(connection));
        async move { Ok::<_, DispatchError>(guarded) }
    }))
    .map_init_err(|(): ()| ())
    .and_then(TrackedFactory {
        inner: http,
        live_workers,
        stop_phase,
    })
}
