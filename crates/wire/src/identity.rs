//! The TLS identity of a process.

use std::path::Path;
use std::sync::Arc;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS12;
use rustls::version::TLS13;
use settings::TlsFiles;

use crate::error::IdentityError;
use crate::role::PeerRole;
use crate::role::RoleVerifier;

/// ALPN protocol name between processes of a deployment.
const QUIC_ALPN: &[u8] = b"ragwortplank/1";
/// ALPN protocol names for HTTP, in order of preference.
const HTTP_ALPN: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Certificate, private key and trusted certificate authority of this process.
///
/// Every TLS configuration of the program is created here, so that the choice
/// of the cryptography provider and the certificate checks are in one place.
/// See `docs/EXCHANGE.md`, "Identities".
#[derive(Debug)]
pub struct TlsIdentity {
    provider: Arc<CryptoProvider>,
    authority: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// TLS client configuration with the server name to verify.
#[derive(Clone, Debug)]
pub struct TcpClientTls {
    /// Configuration that presents the certificate of this process.
    pub config: Arc<ClientConfig>,
    /// DNS name that the server's certificate must contain.
    pub server_name: ServerName<'static>,
}

impl TlsIdentity {
    /// Reads the PEM files of a process.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or does not contain the expected item;
    /// the error names the file.
    pub fn load(files: &TlsFiles) -> Result<Self, IdentityError> {
        let mut authority = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            authority
                .add(certificate)
                .map_err(|error| bad_file(&files.authority, &error))?;
        }
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| bad_file(&files.key, &error))?;
        Ok(Self {
            provider: Arc::new(ring::default_provider()),
            authority: Arc::new(authority),
            chain: read_certificates(&files.certificate)?,
            key,
        })
    }

    /// Creates the QUIC server configuration for clients of these roles.
    ///
    /// # Errors
    ///
    /// Fails when certificate and private key do not match.
    pub fn quic_server(&self, roles: &[PeerRole]) -> Result<QuicServerConfig, IdentityError> {
        let mut config = self.mutual_tls_server(roles)?;
        config.alpn_protocols = vec![QUIC_ALPN.to_vec()];
        QuicServerConfig::try_from(config).map_err(|error| bad_config(&error))
    }

    /// Creates the QUIC client configuration.
    ///
    /// The server's role is checked by the server name given when connecting.
    ///
    /// # Errors
    ///
    /// Fails when certificate and private key do not match.
    pub fn quic_client(&self) -> Result<QuicClientConfig, IdentityError> {
        let mut config = self.mutual_tls_client()?;
        config.alpn_protocols = vec![QUIC_ALPN.to_vec()];
        QuicClientConfig::try_from(config).map_err(|error| bad_config(&error))
    }

    /// Creates the TLS server configuration for HTTP clients of these roles.
    ///
    /// # Errors
    ///
    /// Fails when certificate and private key do not match.
    pub fn tcp_server(&self, roles: &[PeerRole]) -> Result<Arc<ServerConfig>, IdentityError> {
        let mut config = self.mutual_tls_server(roles)?;
        config.alpn_protocols = http_alpn();
        Ok(Arc::new(config))
    }

    /// Creates the TLS client configuration for an HTTP server of this role.
    ///
    /// # Errors
    ///
    /// Fails when certificate and private key do not match.
    pub fn tcp_client(&self, expected: PeerRole) -> Result<TcpClientTls, IdentityError> {
        let mut config = self.mutual_tls_client()?;
        config.alpn_protocols = http_alpn();
        let server_name =
            ServerName::try_from(expected.dns_name()).map_err(|error| bad_config(&error))?;
        Ok(TcpClientTls {
            config: Arc::new(config),
            server_name,
        })
    }

    /// Creates the TLS server configuration for callers, which authenticate
    /// with an API key instead of a certificate.
    ///
    /// # Errors
    ///
    /// Fails when certificate and private key do not match.
    pub fn caller_server(&self) -> Result<Arc<ServerConfig>, IdentityError> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&TLS13, &TLS12])
            .map_err(|error| bad_config(&error))?;
        let mut config = builder
            .with_no_client_auth()
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| bad_config(&error))?;
        config.alpn_protocols = http_alpn();
        Ok(Arc::new(config))
    }

    fn mutual_tls_server(&self, roles: &[PeerRole]) -> Result<ServerConfig, IdentityError> {
        let authority = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.authority),
            Arc::clone(&self.provider),
        )
        .build()
        .map_err(|error| bad_config(&error))?;
        let verifier = Arc::new(RoleVerifier::new(authority, roles));
        ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| bad_config(&error))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| bad_config(&error))
    }

    fn mutual_tls_client(&self) -> Result<ClientConfig, IdentityError> {
        ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&TLS13])
            .map_err(|error| bad_config(&error))?
            .with_root_certificates(Arc::clone(&self.authority))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|error| bad_config(&error))
    }
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, IdentityError> {
    let certificates = CertificateDer::pem_file_iter(file)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| bad_file(file, &error))?;
    if certificates.is_empty() {
        return Err(bad_file(file, &"holds no certificate"));
    }
    Ok(certificates)
}

fn http_alpn() -> Vec<Vec<u8>> {
    HTTP_ALPN.iter().map(|name| name.to_vec()).collect()
}

fn bad_file(file: &Path, reason: &impl ToString) -> IdentityError {
    IdentityError::BadFile {
        file: file.to_owned(),
        reason: reason.to_string(),
    }
}

fn bad_config(reason: &impl ToString) -> IdentityError {
    IdentityError::BadConfig(reason.to_string())
}
