//! Connections to backend servers.

use crate::tls::BackendTrust;
use ntex::{
    SharedCfg,
    client::{
        Client, Connector,
        error::{ClientError, ConnectError as ClientConnectError},
    },
    connect::{Connect, ConnectError, Connector as TcpConnector, rustls::TlsConnector},
    http::Uri,
    service::{ServiceFactory, apply_fn_factory},
    time::Seconds,
};
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::timeout;

/// The longest wait for a connection: four times the way to another region and back. Nothing was sent
/// by then, so that the request can still go to another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection may be reused for a repeatable request.
const REPEATABLE_IDLE: Seconds = Seconds(10);
/// How long an idle connection may be reused for any other request.
const FRESH_IDLE: Seconds = Seconds(1);
/// How old a connection may grow.
const CONNECTION_LIFETIME: Seconds = Seconds(60);
/// Connections of one worker to one server; the slots of the server bound their use.
const CONNECTION_LIMIT: usize = 1024;

/// Why a try got no answer's head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendError {
    /// No connection could be made, so nothing was sent.
    Connect,
    /// The connection was lost; the request may have arrived.
    Lost,
    /// What came is no answer.
    Malformed,
}

impl SendError {
    /// Reads the client's error.
    ///
    /// Only the connector of this module fails with [`ClientConnectError::Unresolved`]; every other
    /// error may follow bytes that were sent.
    pub(crate) fn classify(error: &ClientError) -> Self {
        match error {
            ClientError::Connect(ClientConnectError::Unresolved) => Self::Connect,
            ClientError::Response(_) => Self::Malformed,
            _ => Self::Lost,
        }
    }
}

/// The clients of one server: idle connections are shared by requests of one kind only.
#[derive(Debug)]
struct ServerClients {
    repeatable: Client,
    fresh: Client,
}

/// Where a server listens, and how it is spoken to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct UpstreamAddress {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether it speaks TLS.
    pub(crate) tls: bool,
}

impl UpstreamAddress {
    /// The address of a target on the server.
    pub(crate) fn url(self, target: &str) -> String {
        let scheme = if self.tls { "https" } else { "http" };
        format!("{scheme}://{}{target}", self.address)
    }
}

/// The connections of one worker.
#[derive(Debug)]
pub(crate) struct UpstreamPool {
    clients: RefCell<HashMap<UpstreamAddress, Rc<ServerClients>>>,
    trust: Option<BackendTrust>,
    naming: RefCell<HashSet<SocketAddr>>,
}

impl UpstreamPool {
    /// A pool without connections.
    pub(crate) fn new(trust: Option<BackendTrust>) -> Self {
        Self {
            clients: RefCell::default(),
            trust,
            naming: RefCell::default(),
        }
    }

    /// The client for a request to `address`; absent when it cannot be spoken to.
    pub(crate) async fn client(
        &self,
        address: UpstreamAddress,
        repeatable: bool,
    ) -> Option<Client> {
        let known = self.clients.borrow().get(&address).map(Rc::clone);
        let clients = match known {
            Some(clients) => clients,
            None => self.add_server(address).await?,
        };
        Some(if repeatable {
            clients.repeatable.clone()
        } else {
            clients.fresh.clone()
        })
    }

    /// Forgets the idle connections to `address`, after one of them went silent.
    pub(crate) fn doubt(&self, address: UpstreamAddress) {
        self.clients.borrow_mut().remove(&address);
    }

    /// Whether answers of `address` have named their requests so far.
    pub(crate) fn names_requests(&self, address: SocketAddr) -> bool {
        self.naming.borrow().contains(&address)
    }

    /// An answer of `address` named its request.
    pub(crate) fn note_naming(&self, address: SocketAddr) {
        if !self.names_requests(address) {
            self.naming.borrow_mut().insert(address);
        }
    }

    async fn add_server(&self, address: UpstreamAddress) -> Option<Rc<ServerClients>> {
        let trust = self.trust.as_ref().filter(|_| address.tls);
        if address.tls && trust.is_none() {
            return None;
        }
        let clients = Rc::new(ServerClients {
            repeatable: build_client(REPEATABLE_IDLE, trust).await?,
            fresh: build_client(FRESH_IDLE, trust).await?,
        });
        let mut known = self.clients.borrow_mut();
        // Another request may have added the server during the wait; its connections are kept.
        Some(Rc::clone(known.entry(address).or_insert(clients)))
    }
}

/// A client that sends each request once, unchanged, and without timeouts of its own.
async fn build_client(idle: Seconds, trust: Option<&BackendTrust>) -> Option<Client> {
    let mut connector = Connector::new()
        .connector(bounded(TcpConnector::<Uri>::new()))
        .limit(CONNECTION_LIMIT)
        .keep_alive(idle)
        .lifetime(CONNECTION_LIFETIME);
    if let Some(trust) = trust {
        connector = connector.secure_connector(bounded(TlsConnector::from(trust.config())));
    }
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(SharedCfg::default())
        .await
        .ok()
}

/// A connector that has a timeout, and one error for every way to fail.
fn bounded<T>(
    connector: T,
) -> impl ServiceFactory<
    Connect<Uri>,
    SharedCfg,
    Response = T::Response,
    Error = ConnectError,
    InitError = T::InitError,
>
where
    T: ServiceFactory<Connect<Uri>, SharedCfg, Error = ConnectError>,
{
    apply_fn_factory(
        connector,
        async |request: Connect<Uri>, service| match timeout(CONNECT_TIMEOUT, service.call(request))
            .await
        {
            Ok(Ok(io)) => Ok(io),
            Ok(Err(_)) | Err(_) => Err(ConnectError::Unresolved),
        },
    )
}
