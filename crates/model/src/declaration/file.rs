//! TOML schema of a declaration.

use serde::Deserialize;
use toml::Spanned;

use crate::declaration::RefusalOrder;

/// A whole declaration as the owners write it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct DeclarationFile {
    pub(crate) owners: Spanned<Vec<Spanned<String>>>,
    #[serde(default)]
    pub(crate) service: Vec<ServiceFile>,
    #[serde(default)]
    pub(crate) class: Vec<ClassFile>,
    #[serde(default)]
    pub(crate) route: Vec<RouteFile>,
    #[serde(default)]
    pub(crate) team: Vec<TeamFile>,
    #[serde(default)]
    pub(crate) key: Vec<KeyFile>,
}

/// A `[[service]]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ServiceFile {
    pub(crate) name: Spanned<String>,
}

/// A `[[class]]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ClassFile {
    pub(crate) name: Spanned<String>,
    pub(crate) refused: RefusalOrder,
    pub(crate) within_ms: Spanned<i64>,
    pub(crate) share_percent: Spanned<f64>,
}

/// A `[[route]]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct RouteFile {
    pub(crate) name: Spanned<String>,
    pub(crate) prefix: Spanned<String>,
    pub(crate) service: Spanned<String>,
    pub(crate) class: Spanned<String>,
    pub(crate) open: Option<Spanned<bool>>,
    pub(crate) idempotent: Option<Spanned<bool>>,
    pub(crate) once: Option<Spanned<bool>>,
}

/// A `[[team]]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct TeamFile {
    pub(crate) name: Spanned<String>,
    pub(crate) rate: Spanned<f64>,
    pub(crate) burst: Spanned<f64>,
}

/// A `[[key]]` table.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct KeyFile {
    pub(crate) name: Spanned<String>,
    pub(crate) team: Spanned<String>,
    pub(crate) digest: Spanned<String>,
}
