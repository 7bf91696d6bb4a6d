//! The declaration (configuration) that the node has applied, with lookup tables for
//! the request path.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use model::declaration::Declaration;
use model::exchange::ConfigUpdate;
use model::ids::ConfigVersion;
use model::lookup::KeyTable;
use model::lookup::RouteTable;

/// A declaration with the lookup tables that the request path uses.
#[derive(Debug, Default)]
pub(crate) struct DeclarationIndex {
    /// The declaration itself.
    pub declaration: Declaration,
    /// Routes by path and name.
    pub routes: RouteTable,
    /// Teams by key digest.
    pub keys: KeyTable,
}

impl DeclarationIndex {
    /// Builds the lookup tables of a declaration.
    pub(crate) fn new(declaration: Declaration) -> Self {
        Self {
            routes: RouteTable::new(&declaration),
            keys: KeyTable::new(&declaration),
            declaration,
        }
    }

    /// Returns the declaration's version.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.declaration.version
    }
}

/// The current declaration; a reader keeps the one that it started with across updates.
#[derive(Debug, Default)]
pub(crate) struct DeclarationCell {
    current: RwLock<Arc<DeclarationIndex>>,
}

impl DeclarationCell {
    /// Returns the current declaration.
    pub(crate) fn get(&self) -> Arc<DeclarationIndex> {
        let index = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&index)
    }

    /// Applies an update; versions only grow, and older ones are ignored.
    ///
    /// # Errors
    ///
    /// Fails when a delta does not apply to the current version; the next exchange
    /// then requests the changes since that version again.
    pub(crate) fn apply(&self, update: ConfigUpdate) -> anyhow::Result<()> {
        let current = self.get();
        let declaration = match update {
            ConfigUpdate::Current => return Ok(()),
            ConfigUpdate::Full(declaration) => *declaration,
            ConfigUpdate::Delta(delta) => current.declaration.apply(&delta)?,
        };
        if declaration.version <= current.version() {
            return Ok(());
        }
        let next = Arc::new(DeclarationIndex::new(declaration));
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = next;
        Ok(())
    }
}
