//! TLS towards callers and backend servers.

use arc_swap::ArcSwap;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, ring},
    pki_types::{
        CertificateDer, PrivateKeyDer,
        pem::{self, PemObject},
    },
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use std::{
    path::{Path, PathBuf},
    sync::Arc,
};
use thiserror::Error;

/// The only protocol spoken over TLS.
const PROTOCOL: &[u8] = b"http/1.1";

/// Certificates that cannot be used.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read as PEM.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: pem::Error,
    },
    /// The certificates and the key do not fit, or are not supported.
    #[error(transparent)]
    Certificate(#[from] rustls::Error),
}

/// Where a certificate chain and its key are, both as PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CertificateFiles {
    /// The chain, the host's own certificate first.
    pub chain: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

/// The certificate shown to callers; reading its files again changes it for new connections.
#[derive(Debug)]
pub struct CertificateStore {
    files: CertificateFiles,
    current: ArcSwap<CertifiedKey>,
}

impl CertificateStore {
    /// Reads the files.
    ///
    /// # Errors
    /// Any [`TlsError`].
    pub fn load(files: CertificateFiles) -> Result<Self, TlsError> {
        let current = ArcSwap::from_pointee(read_certificate(&files)?);
        Ok(Self { files, current })
    }

    /// Reads the files again; the certificate in use stays when they cannot be used.
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

/// The certificate authorities that backend servers are trusted by.
#[derive(Clone, Debug)]
pub struct BackendTrust(Arc<ClientConfig>);

impl BackendTrust {
    /// Reads the authorities' certificates from a PEM file.
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

    /// The configuration of connections to backend servers.
    pub(crate) fn config(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.0)
    }
}

/// The configuration of connections from callers.
///
/// # Errors
/// [`TlsError::Certificate`] when no protocol version is supported.
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
