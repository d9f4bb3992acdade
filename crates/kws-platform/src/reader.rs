//! The interface between the daemon and the platform's configuration service.

use crate::parse_limit::ParseLimit;
use kws_protocol::{PublishedValues, TreeRevision};
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    connect::{Connect, Connector as TcpConnector},
    http::Uri,
    service::apply_fn_factory,
    time::Millis,
};
use std::{future::Future, pin::Pin, time::Duration};
use thiserror::Error;

/// The future of one read; it isn't `Send`.
pub type ReadFuture<'a> =
    Pin<Box<dyn Future<Output = Result<PlatformResponse, PlatformError>> + 'a>>;

/// The result of one successful read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformResponse {
    /// The platform still had the known revision at the end of the wait.
    Unchanged {
        /// The platform's revision.
        revision: TreeRevision,
        /// Bytes received.
        bytes: u64,
    },
    /// The values at another revision than the known one, higher or lower.
    Values {
        /// All values and their revision.
        values: PublishedValues,
        /// Bytes received.
        bytes: u64,
    },
}

/// Why a read failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The platform couldn't be reached or didn't respond in time.
    #[error("platform unreachable: {0}")]
    Unreachable(String),
    /// The platform responded with an HTTP status other than 200.
    #[error("platform responded with status {0}")]
    Status(u16),
    /// The response doesn't follow the protocol.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// A file or directory couldn't be read.
    #[error("{path}: {message}")]
    File {
        /// The file or directory.
        path: String,
        /// The cause, such as the error of the operating system.
        message: String,
    },
}

/// Creates an HTTP client that doesn't retry, follow redirects or time out. Responses larger than
/// `max_bytes` are an error.
///
/// # Errors
/// [`PlatformError::Unreachable`] if the client can't be created.
pub async fn reading_client(max_bytes: usize) -> Result<Client, PlatformError> {
    let connector = apply_fn_factory(
        TcpConnector::<Uri>::new(),
        async move |request: Connect<Uri>, service| {
            let io = service.call(request).await?;
            Ok(io.add_filter(ParseLimit))
        },
    );
    Client::builder()
        .connector::<()>(Connector::new().connector(connector))
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(max_bytes)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::default())
        .await
        .map_err(|error| PlatformError::Unreachable(error.to_string()))
}

/// Reads the published values; each call is one read of the platform.
pub trait PlatformReader {
    /// Reads the values once they differ from revision `known`, or returns
    /// [`PlatformResponse::Unchanged`] after `wait`. The caller limits the total time of the read.
    fn read(&mut self, known: TreeRevision, wait: Duration) -> ReadFuture<'_>;
}
