//! Roles of processes, read from their certificates.

use std::sync::Arc;

use derive_more::Display;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::Error;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::verify_server_name;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::ParsedCertificate;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use smallvec::SmallVec;

/// Role of a process, stated as a DNS subject alternative name in its certificate.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{}", self.dns_name())]
pub enum PeerRole {
    /// A node beside a backend server.
    Node,
    /// A control instance.
    Control,
    /// The command-line tool of an operator or owner.
    Operator,
}

/// Roles that a listener accepts.
pub type RoleList = SmallVec<[PeerRole; 3]>;

impl PeerRole {
    /// All roles.
    pub const ALL: [Self; 3] = [Self::Node, Self::Control, Self::Operator];

    /// Returns the DNS name in certificates of this role.
    #[must_use]
    pub const fn dns_name(self) -> &'static str {
        match self {
            Self::Node => "node.ragwortplank",
            Self::Control => "control.ragwortplank",
            Self::Operator => "operator.ragwortplank",
        }
    }

    /// Returns the role that a certificate names, if any.
    #[must_use]
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Option<Self> {
        let parsed = ParsedCertificate::try_from(certificate).ok()?;
        Self::ALL
            .into_iter()
            .find(|role| role.is_in_certificate(&parsed))
    }

    fn is_in_certificate(self, certificate: &ParsedCertificate<'_>) -> bool {
        ServerName::try_from(self.dns_name())
            .is_ok_and(|name| verify_server_name(certificate, &name).is_ok())
    }
}

/// Accepts client certificates that the authority signed and that name an allowed role.
///
/// Rejecting a wrong role in the handshake keeps the check in one place and
/// leaves no connection on which a later check could be forgotten.
#[derive(Debug)]
pub(crate) struct RoleVerifier {
    authority: Arc<dyn ClientCertVerifier>,
    roles: RoleList,
}

impl RoleVerifier {
    pub(crate) fn new(authority: Arc<dyn ClientCertVerifier>, roles: &[PeerRole]) -> Self {
        Self {
            authority,
            roles: SmallVec::from_slice(roles),
        }
    }
}

impl ClientCertVerifier for RoleVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        self.authority.root_hint_subjects()
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        let verified = self
            .authority
            .verify_client_cert(end_entity, intermediates, now)?;
        match PeerRole::from_certificate(end_entity) {
            Some(role) if self.roles.contains(&role) => Ok(verified),
            Some(role) => Err(Error::General(format!("role {role} is not accepted here"))),
            None => Err(Error::General("certificate names no role".to_owned())),
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.authority
            .verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.authority
            .verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.authority.supported_verify_schemes()
    }
}
