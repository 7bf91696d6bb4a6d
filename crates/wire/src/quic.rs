//! QUIC endpoints with mutual TLS.

mod options;
mod traffic;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::ServerConfig;
use quinn::VarInt;
use rustls::pki_types::CertificateDer;
use tokio::io::Join;
use tokio::io::join;
use tokio::time::timeout;

use crate::error::ConnectionError;
use crate::error::IdentityError;
use crate::identity::TlsIdentity;
use crate::role::PeerRole;

pub use options::QuicOptions;
pub use traffic::ConnectionTraffic;

/// QUIC application error code with which a connection is closed.
const STOP_CODE: u32 = 0;

/// Both directions of a QUIC stream, combined into one reader and writer.
pub type QuicStream = Join<RecvStream, SendStream>;

/// One UDP socket that accepts and opens connections; clones share it.
#[derive(Clone, Debug)]
pub struct QuicEndpoint {
    endpoint: Endpoint,
}

/// An authenticated connection to another process; clones share it.
#[derive(Clone, Debug)]
pub struct QuicConnection {
    connection: Connection,
    role: PeerRole,
}

/// An incoming connection whose handshake is not finished.
#[derive(Debug)]
pub struct PendingConnection {
    incoming: Incoming,
}

impl QuicEndpoint {
    /// Binds a UDP address that accepts peers of these roles and opens connections.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the identity is not usable.
    pub fn bind(
        address: SocketAddr,
        identity: &TlsIdentity,
        roles: &[PeerRole],
        options: QuicOptions,
    ) -> Result<Self, BindError> {
        let mut server = ServerConfig::with_crypto(Arc::new(identity.quic_server(roles)?));
        server.transport_config(options.transport());
        let endpoint = Endpoint::server(server, address)
            .map_err(|source| ConnectionError::BindFailed { address, source })?;
        Self::with_client(endpoint, identity, options)
    }

    /// Binds a UDP address that only opens connections.
    ///
    /// # Errors
    ///
    /// As [`QuicEndpoint::bind`].
    pub fn bind_client(
        address: SocketAddr,
        identity: &TlsIdentity,
        options: QuicOptions,
    ) -> Result<Self, BindError> {
        let endpoint = Endpoint::client(address)
            .map_err(|source| ConnectionError::BindFailed { address, source })?;
        Self::with_client(endpoint, identity, options)
    }

    fn with_client(
        mut endpoint: Endpoint,
        identity: &TlsIdentity,
        options: QuicOptions,
    ) -> Result<Self, BindError> {
        let mut client = ClientConfig::new(Arc::new(identity.quic_client()?));
        client.transport_config(options.transport());
        endpoint.set_default_client_config(client);
        Ok(Self { endpoint })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot tell the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Opens a connection to a process, whose certificate must name this role.
    ///
    /// # Errors
    ///
    /// Fails when the connection is not established within `limit`, or when
    /// either side rejects the other's certificate.
    pub async fn connect(
        &self,
        address: SocketAddr,
        role: PeerRole,
        limit: Duration,
    ) -> Result<QuicConnection, ConnectionError> {
        let refused = |reason: String| ConnectionError::Refused { address, reason };
        let connecting = self
            .endpoint
            .connect(address, role.dns_name())
            .map_err(|error| refused(error.to_string()))?;
        match timeout(limit, connecting).await {
            Ok(Ok(connection)) => Ok(QuicConnection { connection, role }),
            Ok(Err(error)) => Err(refused(error.to_string())),
            Err(_) => Err(ConnectionError::Timeout { address }),
        }
    }

    /// Waits for the next incoming connection; returns `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<PendingConnection> {
        let incoming = self.endpoint.accept().await?;
        Some(PendingConnection { incoming })
    }

    /// Closes all connections and refuses new ones.
    pub fn close(&self) {
        self.endpoint
            .close(VarInt::from_u32(STOP_CODE), b"stopping");
    }

    /// Waits until the peers are informed of the close.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }
}

impl PendingConnection {
    /// Finishes the handshake, which checks the peer's certificate and role.
    ///
    /// # Errors
    ///
    /// Fails when the handshake fails; the error names the peer's address.
    pub async fn establish(self) -> Result<QuicConnection, ConnectionError> {
        let address = self.incoming.remote_address();
        let refused = |reason: String| ConnectionError::Refused { address, reason };
        let connection = self
            .incoming
            .await
            .map_err(|error| refused(error.to_string()))?;
        let role = peer_role(&connection)
            .ok_or_else(|| refused("certificate names no role".to_owned()))?;
        Ok(QuicConnection { connection, role })
    }
}

impl QuicConnection {
    /// Opens a stream; the peer sees it once data is written to it.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost.
    pub async fn open(&self) -> Result<QuicStream, ConnectionError> {
        let (sender, receiver) = self.connection.open_bi().await.map_err(|e| lost(&e))?;
        Ok(join(receiver, sender))
    }

    /// Waits for a stream that the peer opens.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or closed.
    pub async fn accept(&self) -> Result<QuicStream, ConnectionError> {
        let (sender, receiver) = self.connection.accept_bi().await.map_err(|e| lost(&e))?;
        Ok(join(receiver, sender))
    }

    /// Returns the role that the peer's certificate names.
    #[must_use]
    pub fn role(&self) -> PeerRole {
        self.role
    }

    /// Returns the peer's address.
    #[must_use]
    pub fn remote_address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    /// Returns whether the connection was lost or closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Waits until the connection is lost or closed.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection
            .close(VarInt::from_u32(STOP_CODE), b"stopping");
    }

    /// Returns the traffic so far, in UDP payload bytes and datagrams.
    #[must_use]
    pub fn traffic(&self) -> ConnectionTraffic {
        ConnectionTraffic::from(&self.connection.stats())
    }
}

/// Why an endpoint cannot be created.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum BindError {
    /// The TLS identity is not valid.
    Identity(IdentityError),
    /// The address cannot be bound.
    Link(ConnectionError),
}

fn peer_role(connection: &Connection) -> Option<PeerRole> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    PeerRole::from_certificate(chain.first()?)
}

fn lost(error: &quinn::ConnectionError) -> ConnectionError {
    ConnectionError::Lost(error.to_string())
}
