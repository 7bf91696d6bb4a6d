//! The declaration that the node has applied, ready for the request path.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use model::declaration::Declaration;
use model::exchange::ConfigUpdate;
use model::ids::ConfigVersion;
use model::lookup::KeyTable;
use model::lookup::RouteTable;

/// A declaration with the tables that the request path looks up in.
#[derive(Debug, Default)]
pub(crate) struct DeclaredView {
    /// The declaration.
    pub declaration: Declaration,
    /// Its routes.
    pub routes: RouteTable,
    /// Its keys.
    pub keys: KeyTable,
}

impl DeclaredView {
    /// Builds the tables of a declaration.
    pub(crate) fn new(declaration: Declaration) -> Self {
        Self {
            routes: RouteTable::new(&declaration),
            keys: KeyTable::new(&declaration),
            declaration,
        }
    }

    /// Returns the version.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.declaration.version
    }
}

/// The view in use; readers keep the one that they began with.
#[derive(Debug, Default)]
pub(crate) struct ViewCell {
    view: RwLock<Arc<DeclaredView>>,
}

impl ViewCell {
    /// Returns the view in use.
    pub(crate) fn get(&self) -> Arc<DeclaredView> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&view)
    }

    /// Applies an update; versions only grow, older ones are passed over.
    ///
    /// # Errors
    ///
    /// Fails when a delta does not fit the version in use; the next exchange
    /// then asks from that version again.
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
        let next = Arc::new(DeclaredView::new(declaration));
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = next;
        Ok(())
    }
}
