//! HTTP listener of the admin address: `/metrics`, `/ready`, `/live` and `/status`.

use crate::FleetMetrics;
use kws_protocol::StatusReport;
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpResponse, HttpServer, types::State},
};
use std::{io, net::TcpListener, sync::Arc};

/// Data served by the admin listener.
pub trait AdminView: Send + Sync {
    /// Whether the load balancer should send requests to this host.
    ///
    /// # Errors
    /// The reason why the host is not ready.
    fn ready(&self) -> Result<(), String>;

    /// Status of the daemon.
    fn status(&self) -> StatusReport;

    /// Metrics of the daemon.
    fn metrics(&self) -> &FleetMetrics;
}

type SharedView = Arc<dyn AdminView>;

/// Serves the admin address; blocks the calling thread until the process ends.
///
/// # Errors
/// If the HTTP server fails to start or to run.
pub fn run_admin(listener: TcpListener, view: Arc<dyn AdminView>) -> io::Result<()> {
    System::new("admin", DefaultRuntime).block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(Arc::clone(&view))
                .service(web::resource("/live").to(show_live))
                .service(web::resource("/metrics").to(show_metrics))
                .service(web::resource("/ready").to(show_ready))
                .service(web::resource("/status").to(show_status))
        });
        let server = server.workers(1).disable_signals().listen(listener)?;
        server.run().await
    })
}

async fn show_live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn show_metrics(view: State<SharedView>) -> HttpResponse {
    match view.metrics().render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn show_ready(view: State<SharedView>) -> HttpResponse {
    match view.ready() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(reason) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
    }
}

async fn show_status(view: State<SharedView>) -> HttpResponse {
    HttpResponse::Ok().json(&view.status())
}
