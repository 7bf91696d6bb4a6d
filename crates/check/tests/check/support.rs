//! A sound configuration to alter, and what control answers.

use bytes::Bytes;
use check::CheckOutcome;
use check::check_document;
use fleet::ChangeOutcome;
use fleet::ConfigChange;
use fleet::ConfigStore;
use fleet::DOCUMENT_BYTES_MAX;
use fleet::ProtocolAdapter;
use fleet::StoreEntry;
use platform::PlatformAdapter;
use replica::StateMachine;
use serde_json::Value;

/// Key of the team in the sound configuration.
pub(crate) const KEY: &str = "secret-key-1";

/// Returns the document of the process tests, which is sound.
pub(crate) fn sound_document(version: u64, base_version: u64) -> Value {
    let text = include_str!("../../../daemon/tests/fleet/config.json")
        .replace("VERSION", &version.to_string())
        .replace("BASE", &base_version.to_string())
        .replace("KEY", KEY);
    serde_json::from_str(&text).unwrap()
}

pub(crate) fn check(document: &Value, in_force: Option<&Value>) -> CheckOutcome {
    let document = serde_json::to_vec(document).unwrap();
    let in_force = in_force.map(|document| serde_json::to_vec(document).unwrap());
    check_document(&PlatformAdapter, &document, in_force.as_deref()).unwrap()
}

/// Returns the kinds of the findings in a sound document with one alteration.
pub(crate) fn kinds_after(alter: impl FnOnce(&mut Value)) -> Vec<&'static str> {
    let mut document = sound_document(1, 0);
    alter(&mut document);
    let findings = check(&document, None).findings;
    findings.iter().map(check::CheckFinding::kind).collect()
}

/// Takes the steps of a control instance that leads: size, decoding, validation, the store.
pub(crate) fn control_accepts(document: &[u8], in_force: Option<&[u8]>) -> bool {
    let mut store = ConfigStore::default();
    if let Some(in_force) = in_force {
        let applied = apply(&mut store, in_force);
        assert_eq!(applied, Some(ChangeOutcome::Accepted));
    }
    apply(&mut store, document) == Some(ChangeOutcome::Accepted)
}

fn apply(store: &mut ConfigStore, document: &[u8]) -> Option<ChangeOutcome> {
    if document.len() > DOCUMENT_BYTES_MAX {
        return None;
    }
    let config = PlatformAdapter.decode_config(document).ok()?;
    fleet::validate(&config).ok()?;
    let document = Bytes::copy_from_slice(document);
    let entry = StoreEntry::Change(ConfigChange { config, document });
    Some(store.apply(1, &entry.encode().unwrap()))
}
