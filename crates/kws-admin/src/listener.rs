//! The admin listener: `/metrics`, `/ready`, `/live` and `/status`.

use crate::FleetMetrics;
use kws_protocol::StatusReport;
use ntex::{
    rt::{DefaultRuntime, System},
    web::{self, App, HttpResponse, HttpServer, types::State},
};
use std::{io, net::TcpListener, sync::Arc};

/// What the admin listener shows.
pub trait AdminView: Send + Sync {
    /// Whether the balancer should send requests; the error says why not.
    ///
    /// # Errors
    /// The reason.
    fn ready(&self) -> Result<(), String>;

    /// The daemon's status.
    fn status(&self) -> StatusReport;

    /// The daemon's metrics.
    fn metrics(&self) -> &FleetMetrics;
}

type SharedView = Arc<dyn AdminView>;

/// Serves the admin address; blocks its thread until the process ends.
///
/// # Errors
/// When the listener can't be served.
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
