//! Private key files of owners.

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

/// Value of `kind` in an owner's key file.
const OWNER_KEY_KIND: &str = "ragwortplank-owner-ed25519-1";
/// Permission bits of the group and of others.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// Contents of an owner's key file (TOML).
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnerKeyFile {
    kind: String,
    /// Public key in hexadecimal, for people; must match `secret`.
    public: String,
    /// Ed25519 private key: 32 bytes in hexadecimal.
    secret: String,
}

/// Generates a key and writes it to a new file; an existing file is never overwritten.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn create_owner_key(path: &Path) -> anyhow::Result<SigningKey> {
    let key = SigningKey::from_bytes(&rand::random());
    let file = OwnerKeyFile {
        kind: OWNER_KEY_KIND.to_owned(),
        public: hex::encode(key.verifying_key().as_bytes()),
        secret: hex::encode(key.as_bytes()),
    };
    create_secret_file(path, &toml::to_string(&file)?)?;
    Ok(key)
}

/// Reads a key file; refuses a file to which the group or others have any permission.
///
/// # Errors
///
/// Fails when the file cannot be read, other users have access to it, or it is not a
/// valid key file.
pub fn read_owner_key(path: &Path) -> anyhow::Result<SigningKey> {
    let name = path.display();
    let metadata = fs::metadata(path).with_context(|| format!("{name} cannot be read"))?;
    if metadata.permissions().mode() & GROUP_AND_OTHER_BITS != 0 {
        bail!("{name}: other users have access to this private key; run `chmod 600` on it");
    }
    let text = fs::read_to_string(path).with_context(|| format!("{name} cannot be read"))?;
    let file: OwnerKeyFile =
        toml::from_str(&text).with_context(|| format!("{name} is not an owner's key file"))?;
    ensure!(
        file.kind == OWNER_KEY_KIND,
        "{name}: key `kind`: value `{}` is not allowed, expected `{OWNER_KEY_KIND}`",
        file.kind
    );
    let secret = hex::decode_32(&file.secret);
    let secret =
        secret.with_context(|| format!("{name}: key `secret` is not 64 hexadecimal digits"))?;
    let key = SigningKey::from_bytes(&secret);
    let public = hex::encode(key.verifying_key().as_bytes());
    ensure!(
        file.public == public,
        "{name}: `public` does not match `secret`"
    );
    Ok(key)
}
