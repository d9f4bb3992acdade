//! Connection pools to backend servers.

use crate::{
    control::ForwardControl, response_layer::ResponseLayer, sent_requests::SentRequests,
    tls::BackendTrust,
};
use kws_protocol::HeaderDialect;
use ntex::{
    SharedCfg,
    client::{
        Client, Connector,
        error::{ClientError, ConnectError as ClientConnectError},
    },
    connect::{Connect, ConnectError, Connector as TcpConnector},
    http::Uri,
    io::{Filter, Io, Layer},
    service::{ServiceFactory, apply_fn_factory},
    time::Seconds,
};
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, timeout};

/// The connect timeout: four round trips to another region. Nothing has been sent by then, so the
/// request can still go to another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The keep-alive of idle connections for repeatable requests.
const REPEATABLE_IDLE: Seconds = Seconds(10);
/// The keep-alive of idle connections for requests that must not be repeated.
const NON_REPEATABLE_IDLE: Seconds = Seconds(1);
/// The maximum age of a connection.
const CONNECTION_LIFETIME: Seconds = Seconds(60);
/// How long requests sent to a server are remembered, longer than [`CONNECTION_LIFETIME`].
const SENT_PERIOD: Duration = Duration::from_secs(65);
const _: () = assert!(SENT_PERIOD.as_secs() > CONNECTION_LIFETIME.0 as u64);
/// The maximum number of connections of one worker to one server. Slots limit their use further.
const CONNECTION_LIMIT: usize = 1024;

/// Why no response head was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendError {
    /// No connection could be established; nothing was sent.
    Connect,
    /// The connection was lost; the server may have received the request.
    Lost,
    /// The server sent something that is not a valid response head.
    Malformed,
}

impl SendError {
    /// Classifies an error of the HTTP client.
    ///
    /// Only the connector of this module returns [`ClientConnectError::Unresolved`]; with any other
    /// error part of the request may have been sent.
    pub(crate) fn classify(error: &ClientError) -> Self {
        match error {
            ClientError::Connect(ClientConnectError::Unresolved) => Self::Connect,
            ClientError::Response(_) => Self::Malformed,
            _ => Self::Lost,
        }
    }
}

/// The connections that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionUse {
    /// Those of requests that must not be repeated.
    NonRepeatable,
    /// Those of repeatable requests.
    Repeatable,
    /// A new one that no other request uses.
    Single,
}

/// The HTTP clients of one server. Repeatable requests and all others use separate connections.
#[derive(Debug)]
struct ServerClients {
    repeatable: Client,
    non_repeatable: Client,
}

/// The address of a server and its transport.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct UpstreamAddress {
    /// The address that the server listens on.
    pub(crate) address: SocketAddr,
    /// Whether to connect over TLS.
    pub(crate) tls: bool,
}

impl UpstreamAddress {
    /// The URL of a request target on the server.
    pub(crate) fn url(self, target: &str) -> String {
        let scheme = if self.tls { "https" } else { "http" };
        format!("{scheme}://{}{target}", self.address)
    }
}

/// The connections of one worker to backend servers.
pub(crate) struct UpstreamPool {
    clients: RefCell<HashMap<UpstreamAddress, Rc<ServerClients>>>,
    trust: Option<BackendTrust>,
    /// Name of the header that carries request ids.
    id_header: &'static str,
    servers_echo: bool,
    echoing: RefCell<HashSet<SocketAddr>>,
    sent: RefCell<SentRequests>,
    control: Arc<dyn ForwardControl>,
}

impl fmt::Debug for UpstreamPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("UpstreamPool")
            .field("clients", &self.clients)
            .field("echoing", &self.echoing)
            .finish_non_exhaustive()
    }
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub(crate) fn new(
        trust: Option<BackendTrust>,
        dialect: &HeaderDialect,
        control: Arc<dyn ForwardControl>,
    ) -> Self {
        Self {
            clients: RefCell::default(),
            trust,
            id_header: dialect.request_id,
            servers_echo: dialect.servers_echo,
            echoing: RefCell::default(),
            sent: RefCell::new(SentRequests::new(SENT_PERIOD, Instant::now())),
            control,
        }
    }

    /// Chooses the connections that a request to `address` may use, and records that it is sent there.
    ///
    /// A response names the request, not the try. So no connection carries two requests with the same
    /// id: the copy of the response to one of them would pass for the response to the other.
    pub(crate) fn choose_connection(
        &self,
        address: SocketAddr,
        request_id: &str,
        repeatable: bool,
    ) -> ConnectionUse {
        let mut sent = self.sent.borrow_mut();
        match (sent.record(address, request_id, Instant::now()), repeatable) {
            (true, _) => ConnectionUse::Single,
            (false, true) => ConnectionUse::Repeatable,
            (false, false) => ConnectionUse::NonRepeatable,
        }
    }

    /// The client for a request to `address`; absent if it can't be built or TLS is needed
    /// without a trust store.
    pub(crate) async fn client(
        &self,
        address: UpstreamAddress,
        connection_use: ConnectionUse,
    ) -> Option<Client> {
        if connection_use == ConnectionUse::Single {
            return self.build_client(address, Seconds::ZERO).await;
        }
        let known = self.clients.borrow().get(&address).map(Rc::clone);
        let clients = match known {
            Some(clients) => clients,
            None => self.add_server(address).await?,
        };
        Some(if connection_use == ConnectionUse::Repeatable {
            clients.repeatable.clone()
        } else {
            clients.non_repeatable.clone()
        })
    }

    /// Discards the idle connections to `address`, after a request on one of them timed out.
    pub(crate) fn discard_idle(&self, address: UpstreamAddress) {
        self.clients.borrow_mut().remove(&address);
    }

    /// Whether responses of `address` without the request id are invalid: all servers echo it, or
    /// this one has before.
    pub(crate) fn echoes_request_id(&self, address: SocketAddr) -> bool {
        self.servers_echo || self.echoing.borrow().contains(&address)
    }

    /// Records that `address` echoed the request id.
    pub(crate) fn record_echo(&self, address: SocketAddr) {
        if !self.echoes_request_id(address) {
            self.echoing.borrow_mut().insert(address);
        }
    }

    async fn add_server(&self, address: UpstreamAddress) -> Option<Rc<ServerClients>> {
        let clients = Rc::new(ServerClients {
            repeatable: self.build_client(address, REPEATABLE_IDLE).await?,
            non_repeatable: self.build_client(address, NON_REPEATABLE_IDLE).await?,
        });
        let mut known = self.clients.borrow_mut();
        // Another request may have added the server meanwhile; its connections are kept.
        Some(Rc::clone(known.entry(address).or_insert(clients)))
    }

    /// Builds a client that sends each request once, unchanged, and without timeouts of its own.
    async fn build_client(&self, address: UpstreamAddress, idle: Seconds) -> Option<Client> {
        let trust = self.trust.as_ref().filter(|_| address.tls);
        if address.tls && trust.is_none() {
            return None;
        }
        let layer = {
            let (id_header, control) = (self.id_header, Arc::clone(&self.control));
            move || ResponseLayer::new(id_header, address.address, Arc::clone(&control))
        };
        let mut connector = Connector::new()
            .connector(guarded(TcpConnector::<Uri>::new(), layer.clone()))
            .limit(CONNECTION_LIMIT)
            .keep_alive(idle)
            .lifetime(CONNECTION_LIFETIME);
        if let Some(trust) = trust {
            connector = connector.secure_connector(guarded(trust.connector(), layer));
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
}

/// Adds a timeout to a connector and a response guard to each of its connections, and maps all of
/// its failures to [`ConnectError::Unresolved`].
fn guarded<T, F>(
    connector: T,
    new_layer: impl Clone + Fn() -> ResponseLayer,
) -> impl ServiceFactory<
    Connect<Uri>,
    SharedCfg,
    Response = Io<Layer<ResponseLayer, F>>,
    Error = ConnectError,
    InitError = T::InitError,
>
where
    F: Filter,
    T: ServiceFactory<Connect<Uri>, SharedCfg, Response = Io<F>, Error = ConnectError>,
{
    apply_fn_factory(
        connector,
        async move |request: Connect<Uri>, service| match timeout(
            CONNECT_TIMEOUT,
            service.call(request),
        )
        .await
        {
            Ok(Ok(io)) => Ok(io.add_filter(new_layer())),
            Ok(Err(_)) | Err(_) => Err(ConnectError::Unresolved),
        },
    )
}
