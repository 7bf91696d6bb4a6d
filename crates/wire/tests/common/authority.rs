//! Certificates for tests.

use std::fs;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::IsCa;
use rcgen::KeyPair;
use settings::TlsFiles;
use tempfile::TempDir;
use wire::identity::TlsIdentity;
use wire::role::PeerRole;

/// Certificate authority that writes certificates into a temporary directory.
pub(crate) struct TestAuthority {
    directory: TempDir,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl TestAuthority {
    /// Creates an authority with a new key.
    pub(crate) fn new() -> Self {
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
        let directory = TempDir::new().unwrap();
        fs::write(directory.path().join("authority.pem"), issuer.pem()).unwrap();
        Self { directory, issuer }
    }

    /// Issues a certificate with this DNS name and returns its files.
    pub(crate) fn files(&self, dns_name: &str) -> TlsFiles {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![dns_name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let path = |kind: &str| self.directory.path().join(format!("{dns_name}.{kind}.pem"));
        fs::write(path("certificate"), certificate.pem()).unwrap();
        fs::write(path("key"), key.serialize_pem()).unwrap();
        TlsFiles {
            authority: self.directory.path().join("authority.pem"),
            certificate: path("certificate"),
            key: path("key"),
        }
    }

    /// Issues a certificate for a role and loads it as an identity.
    pub(crate) fn identity(&self, role: PeerRole) -> TlsIdentity {
        TlsIdentity::load(&self.files(role.dns_name())).unwrap()
    }
}
