//! Validates the parsed text and builds the declaration.

mod value;

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;
use toml::Spanned;

use crate::declaration::ClassSpec;
use crate::declaration::Declaration;
use crate::declaration::DeclarationError;
use crate::declaration::KeySpec;
use crate::declaration::RouteSpec;
use crate::declaration::ServiceSpec;
use crate::declaration::TeamSpec;
use crate::declaration::check::value::NameSet;
use crate::declaration::file::ClassFile;
use crate::declaration::file::DeclarationFile;
use crate::declaration::file::KeyFile;
use crate::declaration::file::RouteFile;
use crate::declaration::file::ServiceFile;
use crate::declaration::file::TeamFile;
use crate::ids::ConfigVersion;
use crate::ids::OwnerKey;

/// Maximum length of a declaration's text, in bytes.
pub(crate) const TEXT_BYTES_MAX: usize = 1024 * 1024;
/// Owners that must agree on every change.
const OWNER_COUNT: usize = 2;
/// Minimum and maximum time to answer, in milliseconds.
const WITHIN_MS: RangeInclusive<i64> = 1..=600_000;
/// Minimum and maximum rate, in requests per second.
const RATE: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// Minimum and maximum burst, in requests.
const BURST: RangeInclusive<f64> = 1.0..=10_000_000.0;

/// Result of one check.
pub(super) type Checked<T> = Result<T, DeclarationError>;

/// Validates the values of a file; finds their positions in `text` for errors.
pub(crate) struct DeclarationChecker<'a> {
    text: &'a str,
}

impl<'a> DeclarationChecker<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// Validates a whole file; items of the result are sorted by name.
    pub(crate) fn check(
        &self,
        file: &DeclarationFile,
        version: ConfigVersion,
    ) -> Checked<Declaration> {
        let services = self.unique_names("service", file.service.iter().map(|item| &item.name))?;
        let classes = self.unique_names("class", file.class.iter().map(|item| &item.name))?;
        let teams = self.unique_names("team", file.team.iter().map(|item| &item.name))?;
        self.unique_names("route", file.route.iter().map(|item| &item.name))?;
        self.unique_names("key", file.key.iter().map(|item| &item.name))?;
        let mut declaration = Declaration {
            version,
            owners: self.parse_owners(&file.owners)?,
            services: file.service.iter().map(service).collect(),
            classes: self.check_items(&file.class, Self::class)?,
            routes: self.check_items(&file.route, |checker, key, item| {
                checker.route(key, item, &services, &classes)
            })?,
            teams: self.check_items(&file.team, Self::team)?,
            keys: self.check_items(&file.key, |checker, key, item| {
                checker.key(key, item, &teams)
            })?,
        };
        self.check_unique_prefixes(&file.route)?;
        self.check_unique_digests(&file.key)?;
        declaration.sort();
        Ok(declaration)
    }

    fn check_items<F, S>(
        &self,
        files: &[F],
        check: impl Fn(&Self, &ItemKey<'_>, &F) -> Checked<S>,
    ) -> Checked<Vec<S>>
    where
        F: FileTable,
    {
        let checked = files.iter().enumerate().map(|(position, file)| {
            let key = ItemKey {
                table: F::TABLE,
                position,
            };
            check(self, &key, file)
        });
        checked.collect()
    }

    fn parse_owners(&self, owners: &Spanned<Vec<Spanned<String>>>) -> Checked<Vec<OwnerKey>> {
        let listed = owners.get_ref();
        if listed.len() != OWNER_COUNT {
            let allowed = "two public keys";
            return Err(self.invalid_value("owners", listed.len(), &owners.span(), allowed));
        }
        let parsed = listed.iter().enumerate().map(|(position, text)| {
            let key = format!("owners[{position}]");
            self.parse_owner(&key, text)
        });
        let parsed = parsed.collect::<Checked<Vec<OwnerKey>>>()?;
        if parsed[0] == parsed[1] {
            let allowed = "two different public keys";
            return Err(self.invalid_value(
                "owners[1]",
                listed[1].get_ref(),
                &listed[1].span(),
                allowed,
            ));
        }
        Ok(parsed)
    }

    /// Parses a public key; rejects weak keys, since a key that cannot sign would
    /// lock the owners out.
    fn parse_owner(&self, key: &str, text: &Spanned<String>) -> Checked<OwnerKey> {
        let owner = self.hex_32(key, text)?;
        let usable = VerifyingKey::from_bytes(&owner).is_ok_and(|key| !key.is_weak());
        if usable {
            return Ok(owner);
        }
        let allowed = "an ed25519 public key";
        Err(self.invalid_value(key, text.get_ref(), &text.span(), allowed))
    }

    fn class(&self, key: &ItemKey<'_>, file: &ClassFile) -> Checked<ClassSpec> {
        let within_ms = *file.within_ms.get_ref();
        if !WITHIN_MS.contains(&within_ms) {
            let allowed = format!("{} to {}", WITHIN_MS.start(), WITHIN_MS.end());
            let key = key.field("within-ms");
            return Err(self.invalid_value(&key, within_ms, &file.within_ms.span(), &allowed));
        }
        let target_share_milli =
            self.parse_tenths(&key.field("share-percent"), &file.share_percent)?;
        Ok(ClassSpec {
            name: Arc::from(file.name.get_ref().as_str()),
            refusal_order: file.refused,
            deadline: Duration::from_millis(within_ms.unsigned_abs()),
            target_share_milli,
        })
    }

    fn route(
        &self,
        key: &ItemKey<'_>,
        file: &RouteFile,
        services: &NameSet<'_>,
        classes: &NameSet<'_>,
    ) -> Checked<RouteSpec> {
        self.check_prefix(&key.field("prefix"), &file.prefix)?;
        self.check_reference(&key.field("service"), &file.service, services)?;
        self.check_reference(&key.field("class"), &file.class, classes)?;
        let allow_anonymous = is_set(file.open.as_ref());
        let idempotent = is_set(file.idempotent.as_ref());
        let once = file.once.as_ref().filter(|once| *once.get_ref());
        if let Some(once) = once
            && (allow_anonymous || idempotent)
        {
            let allowed = "a route that is neither open nor idempotent";
            return Err(self.invalid_value(&key.field("once"), true, &once.span(), allowed));
        }
        Ok(RouteSpec {
            name: Arc::from(file.name.get_ref().as_str()),
            prefix: file.prefix.get_ref().clone(),
            service: Arc::from(file.service.get_ref().as_str()),
            class: Arc::from(file.class.get_ref().as_str()),
            allow_anonymous,
            idempotent,
            at_most_once: once.is_some(),
        })
    }

    fn team(&self, key: &ItemKey<'_>, file: &TeamFile) -> Checked<TeamSpec> {
        Ok(TeamSpec {
            name: Arc::from(file.name.get_ref().as_str()),
            rate_milli: self.parse_thousandths(&key.field("rate"), &file.rate, &RATE)?,
            burst_milli: self.parse_thousandths(&key.field("burst"), &file.burst, &BURST)?,
        })
    }

    fn key(&self, key: &ItemKey<'_>, file: &KeyFile, teams: &NameSet<'_>) -> Checked<KeySpec> {
        self.check_reference(&key.field("team"), &file.team, teams)?;
        Ok(KeySpec {
            name: file.name.get_ref().clone(),
            team: Arc::from(file.team.get_ref().as_str()),
            digest: self.hex_32(&key.field("digest"), &file.digest)?,
        })
    }
}

/// Path of a table item, for errors.
pub(super) struct ItemKey<'a> {
    pub(super) table: &'a str,
    pub(super) position: usize,
}

impl ItemKey<'_> {
    pub(super) fn field(&self, field: &str) -> String {
        format!("{}[{}].{field}", self.table, self.position)
    }
}

/// A table of the file with its TOML name.
trait FileTable {
    const TABLE: &'static str;
}

impl FileTable for ClassFile {
    const TABLE: &'static str = "class";
}

impl FileTable for RouteFile {
    const TABLE: &'static str = "route";
}

impl FileTable for TeamFile {
    const TABLE: &'static str = "team";
}

impl FileTable for KeyFile {
    const TABLE: &'static str = "key";
}

fn service(file: &ServiceFile) -> ServiceSpec {
    ServiceSpec {
        name: Arc::from(file.name.get_ref().as_str()),
    }
}

fn is_set(flag: Option<&Spanned<bool>>) -> bool {
    flag.is_some_and(|flag| *flag.get_ref())
}
