//! TLS configuration for callers and backend servers.

use crate::session_layer::SessionLayer;
use arc_swap::ArcSwap;
use ntex::{
    SharedCfg,
    connect::{Connect, ConnectError, Connector as TcpConnector, rustls::TlsClientFilter},
    http::Uri,
    io::{Io, Layer},
    service::{ServiceFactory, apply_fn_factory},
};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring},
    pki_types::{
        CertificateDer, PrivateKeyDer, ServerName,
        pem::{self, PemObject},
    },
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use std::{
    error::Error,
    path::{Path, PathBuf},
    sync::Arc,
};
use thiserror::Error;

/// The only application protocol (ALPN) offered over TLS.
const PROTOCOL: &[u8] = b"http/1.1";

/// Errors of loading certificates.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read or is not valid PEM.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: pem::Error,
    },
    /// The certificates and the key do not match or are not supported.
    #[error(transparent)]
    Certificate(#[from] rustls::Error),
}

/// Paths of a certificate chain and its private key, both in PEM format.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CertificateFiles {
    /// The chain, starting with the host's certificate.
    pub chain: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

/// The certificate presented to callers. Reloading its files changes it for new connections.
#[derive(Debug)]
pub struct CertificateStore {
    files: CertificateFiles,
    current: ArcSwap<CertifiedKey>,
}

impl CertificateStore {
    /// Loads the certificate and its key.
    ///
    /// # Errors
    /// Any [`TlsError`].
    pub fn load(files: CertificateFiles) -> Result<Self, TlsError> {
        let current = ArcSwap::from_pointee(read_certificate(&files)?);
        Ok(Self { files, current })
    }

    /// Reloads the files; on an error the current certificate stays in use.
    ///
    /// # Errors
    /// Any [`TlsError`].
    pub fn reload(&self) -> Result<(), TlsError> {
        self.current.store(Arc::new(read_certificate(&self.files)?));
        Ok(())
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.load_full())
    }
}

/// The certificate authorities that are trusted for backend servers.
#[derive(Clone, Debug)]
pub struct BackendTrust(Arc<ClientConfig>);

impl BackendTrust {
    /// Loads the certificates of the authorities from a PEM file.
    ///
    /// # Errors
    /// Any [`TlsError`].
    pub fn load(path: &Path) -> Result<Self, TlsError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_chain(path)? {
            roots.add(certificate)?;
        }
        let mut config = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Self(Arc::new(config)))
    }

    /// Creates a connector to backend servers.
    pub(crate) fn connector(
        &self,
    ) -> impl ServiceFactory<
        Connect<Uri>,
        SharedCfg,
        Response = Io<Layer<TlsClientFilter, Layer<SessionLayer>>>,
        Error = ConnectError,
        InitError: Error,
    > + use<> {
        let config = Arc::clone(&self.0);
        apply_fn_factory(
            TcpConnector::<Uri>::new(),
            async move |request: Connect<Uri>, service| {
                let name = ServerName::try_from(request.host().to_owned());
                let name = name.map_err(|_| ConnectError::InvalidInput)?;
                let io = service.call(request).await?.add_filter(SessionLayer);
                let connected = TlsClientFilter::create(io, Arc::clone(&config), name).await;
                connected.map_err(ConnectError::from)
            },
        )
    }
}

/// Creates the server configuration for caller connections.
///
/// # Errors
/// [`TlsError::Certificate`] if the provider supports no protocol version.
pub(crate) fn server_config(store: Arc<CertificateStore>) -> Result<Arc<ServerConfig>, TlsError> {
    let mut config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(store);
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    Ok(Arc::new(config))
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read_certificate(files: &CertificateFiles) -> Result<CertifiedKey, TlsError> {
    let chain = read_chain(&files.chain)?;
    let key = PrivateKeyDer::from_pem_file(&files.key);
    let key = key.map_err(|error| file_error(&files.key, error))?;
    Ok(CertifiedKey::from_der(chain, key, &provider())?)
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    certificates.map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: pem::Error) -> TlsError {
    TlsError::File {
        path: path.to_owned(),
        error,
    }
}
