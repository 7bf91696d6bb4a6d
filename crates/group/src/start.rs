//! Under which identity an instance starts, and with whom.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;

use model::ids::InstanceId;
use serde::Deserialize;
use serde::Serialize;
use settings::GroupSettings;

use crate::identity::instance_at;

/// Name of the file that holds the identity.
const START_FILE: &str = "start";
/// Name of the folder of the replicated log.
const LOG_FOLDER: &str = "log";

/// How an instance starts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartPlan {
    /// Identity in the group.
    pub instance: InstanceId,
    /// First members of a group that forms now; empty for one that joins.
    pub first: Vec<InstanceId>,
}

impl StartPlan {
    /// Decides on the start with an empty folder.
    ///
    /// The seeds that all instances know at the very first start form the
    /// group. Any other start with an empty folder joins under an identity that
    /// was never used, since whatever the address held before is lost.
    #[must_use]
    pub fn with_empty_folder(settings: &GroupSettings, folder: u32) -> Self {
        let mut first: Vec<IpAddr> = settings.seeds.iter().map(SocketAddr::ip).collect();
        first.sort_unstable();
        first.dedup();
        if settings.first_start && first.contains(&settings.address) {
            return Self {
                instance: instance_at(settings.address, 0),
                first: first.into_iter().map(|ip| instance_at(ip, 0)).collect(),
            };
        }
        Self::joining(settings.address, folder)
    }

    /// Returns the start of an instance that joins; `folder` must not be 0.
    #[must_use]
    pub fn joining(address: IpAddr, folder: u32) -> Self {
        Self {
            instance: instance_at(address, folder.max(1)),
            first: Vec::new(),
        }
    }
}

/// The plan on disk, so that a restart goes on under the same identity.
#[derive(Debug)]
pub struct StartFile<'a> {
    folder: &'a Path,
}

impl<'a> StartFile<'a> {
    /// Uses a data folder, which is created when it is missing.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be created.
    pub fn new(folder: &'a Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self { folder })
    }

    /// Reads the plan, none when there is none or it is torn.
    #[must_use]
    pub fn load(&self) -> Option<StartPlan> {
        let content = fs::read(self.folder.join(START_FILE)).ok()?;
        postcard::from_bytes(&content).ok()
    }

    /// Writes the plan durably.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; then no plan may be acted on.
    pub fn save(&self, plan: &StartPlan) -> io::Result<()> {
        let content = postcard::to_stdvec(plan).map_err(io::Error::other)?;
        let draft = self.folder.join("start.new");
        let mut file = File::create(&draft)?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&draft, self.folder.join(START_FILE))?;
        File::open(self.folder)?.sync_all()
    }

    /// Forgets the plan and the log, so that the next start joins anew.
    ///
    /// The log goes first: a plan without a log is harmless, a log without its plan is not.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn forget(&self) -> io::Result<()> {
        let log = self.folder.join(LOG_FOLDER);
        if log.exists() {
            fs::remove_dir_all(&log)?;
        }
        let plan = self.folder.join(START_FILE);
        if plan.exists() {
            fs::remove_file(plan)?;
        }
        File::open(self.folder)?.sync_all()
    }

    /// Returns the folder of the replicated log.
    #[must_use]
    pub fn log(&self) -> std::path::PathBuf {
        self.folder.join(LOG_FOLDER)
    }
}
