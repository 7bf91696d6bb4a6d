//! Callers that send raw text over TLS.

use std::net::SocketAddr;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use settings::TlsFiles;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use wire::role::PeerRole;

/// Opens a TLS connection as a caller.
pub(crate) async fn connect(address: SocketAddr, files: &TlsFiles) -> TlsStream<TcpStream> {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(&files.authority).unwrap();
    roots.add(authority).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.unwrap();
    let name = PeerRole::Node.dns_name().try_into().unwrap();
    let connector = TlsConnector::from(Arc::new(config));
    connector.connect(name, stream).await.unwrap()
}

/// Writes text and reads until the other side closes.
pub(crate) async fn send_and_read<S>(mut stream: S, text: &str) -> String
where
    S: AsyncReadExt + AsyncWriteExt + Unpin,
{
    // The node may refuse the request and close before it has read all of it.
    let _ = stream.write_all(text.as_bytes()).await;
    read_all(stream).await
}

/// Reads until the other side closes.
pub(crate) async fn read_all<S: AsyncReadExt + Unpin>(mut stream: S) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Builds a `POST` request that asks to close the connection after the response.
pub(crate) fn request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
