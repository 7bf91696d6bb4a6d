//! Reads a settings file and validates its values.

use std::fmt::Display;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use model::ids::OwnerKey;

use crate::ControlAddress;
use crate::ControlSettings;
use crate::GroupSettings;
use crate::LimitSettings;
use crate::NodeSettings;
use crate::ProxySettings;
use crate::SettingsError;
use crate::TlsFiles;
use crate::file::ControlFile;
use crate::file::LimitsTable;
use crate::file::MemberTable;
use crate::file::NodeFile;
use crate::file::SettingsFile;
use crate::file::TlsTable;

/// Allowed size limits of a request head, in bytes.
const HEAD_BYTES_RANGE: RangeInclusive<usize> = 1_024..=262_144;
/// Allowed size limits of a body, in bytes.
const BODY_BYTES_RANGE: RangeInclusive<usize> = 0..=67_108_864;
/// Allowed timeouts, in milliseconds.
const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 10..=600_000;
/// Number of owners of a control group.
const OWNER_COUNT: usize = 2;
/// Largest number of members of a control group.
const MAX_GROUP_MEMBERS: usize = 7;
/// Length of an owner's public key, in bytes.
const OWNER_KEY_BYTES: usize = 32;

/// Validated settings of one of the roles.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckedSettings {
    /// Settings of a node.
    Node(NodeSettings),
    /// Settings of a control instance.
    Control(ControlSettings),
    /// Settings of a node in a deployment whose processes use no TLS among themselves.
    Proxy(ProxySettings),
    /// Settings of a control instance in a deployment without TLS among its processes.
    Group(GroupSettings),
}

impl CheckedSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is malformed or holds a value that
    /// is not allowed. The error names the file, the key, the value and the
    /// allowed values.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            file: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Validates the text of a settings file.
    ///
    /// `path` appears in errors and is the base of relative paths.
    ///
    /// # Errors
    ///
    /// As [`CheckedSettings::load`].
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let file = toml::from_str(text).map_err(|source| SettingsError::Malformed {
            file: path.to_owned(),
            source: Box::new(source),
        })?;
        let validator = SettingsValidator { path };
        match file {
            SettingsFile::Node(file) => validator.node(file).map(Self::Node),
            SettingsFile::Control(file) => validator.control(file).map(Self::Control),
            SettingsFile::Proxy(file) => validator.proxy(file).map(Self::Proxy),
            SettingsFile::Group(file) => validator.group(file).map(Self::Group),
        }
    }
}

/// Validates values and names the file in errors.
pub(crate) struct SettingsValidator<'a> {
    path: &'a Path,
}

impl SettingsValidator<'_> {
    fn node(&self, file: NodeFile) -> Result<NodeSettings, SettingsError> {
        let process = self.name("process", file.process)?;
        let data_centre = self.name("data-centre", file.data_centre)?;
        let local_listener = self.loopback("listen.local", file.listen.local)?;
        let control = self.members("control", file.control)?;
        let tls = self.tls(file.tls);
        let caller_tls = file
            .caller_tls
            .map_or_else(|| tls.clone(), |file| self.tls(file));
        Ok(NodeSettings {
            process,
            data_centre: Arc::from(data_centre),
            caller_listener: file.listen.callers,
            peer_listener: file.listen.peers,
            local_listener,
            admin_listener: file.listen.admin,
            control_addresses: control.iter().map(control_address).collect(),
            tls,
            caller_tls,
            limits: self.limits(&file.limits)?,
        })
    }

    fn control(&self, file: ControlFile) -> Result<ControlSettings, SettingsError> {
        let process = self.name("process", file.process)?;
        let data_centre = self.name("data-centre", file.data_centre)?;
        let group = self.members("group", file.group)?;
        let is_member = group.iter().any(|member| member.instance == file.instance);
        if !is_member {
            return Err(self.invalid_value("instance", file.instance, "an instance of `group`"));
        }
        Ok(ControlSettings {
            process,
            data_centre: Arc::from(data_centre),
            instance: file.instance,
            quic_listener: file.listen.quic,
            admin_listener: file.listen.admin,
            data_directory: self.relative(file.data),
            initial_members: group.iter().map(control_address).collect(),
            join_existing: file.join,
            owners: self.owners(&file.owners)?,
            tls: self.tls(file.tls),
        })
    }

    fn limits(&self, file: &LimitsTable) -> Result<LimitSettings, SettingsError> {
        Ok(LimitSettings {
            head_bytes: self.in_range("limits.head-bytes", file.head_bytes, HEAD_BYTES_RANGE)?,
            body_bytes: self.in_range("limits.body-bytes", file.body_bytes, BODY_BYTES_RANGE)?,
            head_timeout: self.timeout("limits.head-timeout-ms", file.head_timeout_ms)?,
            body_timeout: self.timeout("limits.body-timeout-ms", file.body_timeout_ms)?,
            drain_timeout: self.timeout("limits.drain-timeout-ms", file.drain_timeout_ms)?,
        })
    }

    pub(crate) fn name(&self, key: &str, value: String) -> Result<String, SettingsError> {
        let allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        if !value.is_empty() && value.chars().all(allowed) {
            return Ok(value);
        }
        Err(self.invalid_value(key, value, "letters, digits, `-`, `_` and `.`"))
    }

    fn loopback(&self, key: &str, value: SocketAddr) -> Result<SocketAddr, SettingsError> {
        if value.ip().is_loopback() {
            return Ok(value);
        }
        Err(self.invalid_value(key, value, "a loopback address"))
    }

    fn members(
        &self,
        key: &str,
        members: Vec<MemberTable>,
    ) -> Result<Vec<MemberTable>, SettingsError> {
        if members.is_empty() || members.len() > MAX_GROUP_MEMBERS {
            return Err(self.invalid_value(key, members.len(), "1 to 7 instances"));
        }
        for (position, member) in members.iter().enumerate() {
            let repeated = members[..position]
                .iter()
                .any(|earlier| earlier.instance == member.instance);
            if repeated {
                let key = format!("{key}[{position}].instance");
                return Err(self.invalid_value(&key, member.instance, "each instance once"));
            }
        }
        Ok(members)
    }

    fn owners(&self, owners: &[String]) -> Result<Vec<OwnerKey>, SettingsError> {
        if owners.len() != OWNER_COUNT || owners[0] == owners[1] {
            return Err(self.invalid_value("owners", owners.len(), "two different public keys"));
        }
        let parsed = owners.iter().enumerate().map(|(position, text)| {
            parse_owner_key(text).ok_or_else(|| {
                let key = format!("owners[{position}]");
                self.invalid_value(&key, text, "64 hexadecimal digits")
            })
        });
        parsed.collect()
    }

    fn in_range(
        &self,
        key: &str,
        value: usize,
        range: RangeInclusive<usize>,
    ) -> Result<usize, SettingsError> {
        if range.contains(&value) {
            return Ok(value);
        }
        let allowed = format!("{} to {}", range.start(), range.end());
        Err(self.invalid_value(key, value, &allowed))
    }

    fn timeout(&self, key: &str, value_ms: u64) -> Result<Duration, SettingsError> {
        if TIMEOUT_MS_RANGE.contains(&value_ms) {
            return Ok(Duration::from_millis(value_ms));
        }
        let allowed = format!("{} to {}", TIMEOUT_MS_RANGE.start(), TIMEOUT_MS_RANGE.end());
        Err(self.invalid_value(key, value_ms, &allowed))
    }

    fn tls(&self, file: TlsTable) -> TlsFiles {
        TlsFiles {
            authority: self.relative(file.authority),
            certificate: self.relative(file.certificate),
            key: self.relative(file.key),
        }
    }

    fn relative(&self, path: PathBuf) -> PathBuf {
        match self.path.parent() {
            Some(directory) => directory.join(path),
            None => path,
        }
    }

    pub(crate) fn invalid_value(
        &self,
        key: &str,
        value: impl Display,
        allowed: &str,
    ) -> SettingsError {
        SettingsError::InvalidValue {
            file: self.path.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

fn control_address(member: &MemberTable) -> ControlAddress {
    ControlAddress {
        instance: member.instance,
        address: member.address,
    }
}

fn parse_owner_key(text: &str) -> Option<OwnerKey> {
    if text.len() != 2 * OWNER_KEY_BYTES || !text.is_ascii() {
        return None;
    }
    let mut key = [0; OWNER_KEY_BYTES];
    for (position, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * position..2 * position + 2], 16).ok()?;
    }
    Some(key)
}
