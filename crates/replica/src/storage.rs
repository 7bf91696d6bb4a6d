//! Files of one data folder: identity, log segments and snapshots.
//!
//! Every file starts with a header that names its format and version; what
//! follows is framed by lengths and checksums. See `docs/QUORUM.md`, "Files".

mod error;
mod files;
mod folder;
mod frame;
mod identity;
mod record;
mod replay;
mod segment;
mod snapshot;
mod store;
mod worker;

pub use crate::storage::error::StorageError;
pub use crate::storage::identity::FolderIdentity;
pub use crate::storage::identity::KnownFolder;
pub use crate::storage::store::LogStore;
pub use crate::storage::store::RecoveredState;
pub use crate::storage::store::StoreConfig;

pub(crate) use crate::storage::worker::StorageJob;
pub(crate) use crate::storage::worker::StorageReport;
pub(crate) use crate::storage::worker::StorageWorker;
