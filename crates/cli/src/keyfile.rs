//! Files with an owner's private key.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::Context;
use anyhow::bail;
use anyhow::ensure;
use ed25519_dalek::SigningKey;
use model::hex;
use serde::Deserialize;
use serde::Serialize;

use crate::secret_file::create_secret_file;

/// Kind that an owner's key file names.
const OWNER_KIND: &str = "ragwortplank-owner-ed25519-1";
/// Permissions that anyone but the owner of the file has.
const FOREIGN_PERMISSIONS: u32 = 0o077;

/// The shape of an owner's key file (TOML).
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnerFile {
    kind: String,
    /// Public key, for people who look.
    public: String,
    /// 32 secret bytes in hexadecimal.
    secret: String,
}

/// Creates a key file with a new key; an existing file is kept.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn create_owner_key(path: &Path) -> anyhow::Result<SigningKey> {
    let key = SigningKey::from_bytes(&rand::random());
    let file = OwnerFile {
        kind: OWNER_KIND.to_owned(),
        public: hex::encode(key.verifying_key().as_bytes()),
        secret: hex::encode(key.as_bytes()),
    };
    create_secret_file(path, &toml::to_string(&file)?)?;
    Ok(key)
}

/// Reads a key file; one that others may read is refused.
///
/// # Errors
///
/// Fails when the file cannot be read, others may read it, or it holds no key.
pub fn read_owner_key(path: &Path) -> anyhow::Result<SigningKey> {
    let name = path.display();
    let metadata = fs::metadata(path).with_context(|| format!("{name} cannot be read"))?;
    if metadata.permissions().mode() & FOREIGN_PERMISSIONS != 0 {
        bail!("{name}: others may read this private key; run `chmod 600` on it");
    }
    let text = fs::read_to_string(path).with_context(|| format!("{name} cannot be read"))?;
    let file: OwnerFile =
        toml::from_str(&text).with_context(|| format!("{name} is no owner's key file"))?;
    ensure!(
        file.kind == OWNER_KIND,
        "{name}: key `kind`: value `{}` is not allowed, expected `{OWNER_KIND}`",
        file.kind
    );
    let secret = hex::decode_32(&file.secret);
    let secret = secret.with_context(|| format!("{name}: key `secret` is not 64 hex digits"))?;
    let key = SigningKey::from_bytes(&secret);
    let public = hex::encode(key.verifying_key().as_bytes());
    ensure!(
        file.public == public,
        "{name}: `public` does not belong to `secret`"
    );
    Ok(key)
}
