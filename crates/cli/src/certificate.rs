//! Creates the certificate authority of a deployment and the certificates of its processes.

use std::fs;
use std::net::IpAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context;
use rcgen::BasicConstraints;
use rcgen::Certificate;
use rcgen::CertificateParams;
use rcgen::DistinguishedName;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use rcgen::SanType;
use rcgen::date_time_ymd;
use wire::role::PeerRole;

use crate::secret_file::create_secret_file;

/// Default validity of a certificate authority, in days.
pub const AUTHORITY_VALIDITY_DAYS: u32 = 3_650;
/// Default validity of a process's certificate, in days.
pub const CERTIFICATE_VALIDITY_DAYS: u32 = 365;
const SECONDS_PER_DAY: u64 = 24 * 60 * 60;
/// How far the start of the validity lies in the past, in seconds, to tolerate clock skew.
const BACKDATE_S: u64 = 60 * 60;

/// Paths of a certificate and its private key, both PEM files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PemFiles {
    /// The certificate.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}

impl PemFiles {
    /// Returns the paths `NAME.pem` and `NAME.key` in a folder.
    #[must_use]
    pub fn in_folder(folder: &Path, name: &str) -> Self {
        Self {
            certificate: folder.join(format!("{name}.pem")),
            key: folder.join(format!("{name}.key")),
        }
    }

    fn create(&self, certificate: &Certificate, key: &KeyPair) -> anyhow::Result<()> {
        if let Some(folder) = self.key.parent() {
            fs::create_dir_all(folder)
                .with_context(|| format!("{} cannot be created", folder.display()))?;
        }
        create_secret_file(&self.key, &key.serialize_pem())?;
        fs::write(&self.certificate, certificate.pem())
            .with_context(|| format!("{} cannot be written", self.certificate.display()))
    }
}

/// Contents of a process's certificate.
#[derive(Clone, Debug)]
pub struct CertificateSubject {
    /// Name of the process; informational only.
    pub name: String,
    /// Role of the process, which its peers check.
    pub role: PeerRole,
    /// IP addresses of the process.
    pub ip_addresses: Vec<IpAddr>,
    /// Additional DNS names of the process.
    pub dns_names: Vec<String>,
    /// Days until the certificate expires.
    pub validity_days: u32,
}

/// Creates the certificate authority that signs all certificates of a deployment.
///
/// # Errors
///
/// Fails when the key file exists or a file cannot be written.
pub fn create_authority(files: &PemFiles, name: &str, validity_days: u32) -> anyhow::Result<()> {
    let mut params = params_with_validity(validity_days);
    params
        .distinguished_name
        .push(DnType::CommonName, format!("{name} authority"));
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    let key = KeyPair::generate()?;
    let certificate = params.self_signed(&key)?;
    files.create(&certificate, &key)
}

/// Issues a process's certificate.
///
/// # Errors
///
/// Fails when the authority cannot be read, a name is not valid, the key
/// file exists or a file cannot be written.
pub fn issue_certificate(
    authority: &PemFiles,
    subject: &CertificateSubject,
    files: &PemFiles,
) -> anyhow::Result<()> {
    let issuer = read_authority(authority)?;
    let mut params = params_with_validity(subject.validity_days);
    params
        .distinguished_name
        .push(DnType::CommonName, subject.name.as_str());
    params.subject_alt_names = alternative_names(subject)?;
    params.is_ca = IsCa::ExplicitNoCa;
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, &issuer)?;
    files.create(&certificate, &key)
}

fn read_authority(files: &PemFiles) -> anyhow::Result<Issuer<'static, KeyPair>> {
    let key = KeyPair::from_pem(&read(&files.key)?)
        .with_context(|| format!("{} does not contain a private key", files.key.display()))?;
    Issuer::from_ca_cert_pem(&read(&files.certificate)?, key).with_context(|| {
        format!(
            "{} does not contain an authority certificate",
            files.certificate.display()
        )
    })
}

fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| format!("{} cannot be read", path.display()))
}

/// Returns the subject alternative names; the role is one of them, as a DNS name,
/// because TLS libraries verify DNS names.
fn alternative_names(subject: &CertificateSubject) -> anyhow::Result<Vec<SanType>> {
    let mut names = vec![SanType::DnsName(subject.role.dns_name().try_into()?)];
    for name in &subject.dns_names {
        let dns_name = name.as_str().try_into();
        let dns_name = dns_name.with_context(|| format!("`{name}` is not a valid DNS name"))?;
        names.push(SanType::DnsName(dns_name));
    }
    names.extend(subject.ip_addresses.iter().copied().map(SanType::IpAddress));
    Ok(names)
}

fn params_with_validity(validity_days: u32) -> CertificateParams {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = since_epoch.unwrap_or_default();
    let epoch = date_time_ymd(1970, 1, 1);
    let mut params = CertificateParams::default();
    params.not_before = epoch + now.saturating_sub(Duration::from_secs(BACKDATE_S));
    params.not_after =
        epoch + now + Duration::from_secs(u64::from(validity_days) * SECONDS_PER_DAY);
    params.distinguished_name = DistinguishedName::new();
    params
}
