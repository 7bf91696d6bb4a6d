//! Choice and storage of the identity under which an instance starts.

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
use tracing::warn;

use crate::identity::instance_id;

/// Name of the file that stores the start plan.
const PLAN_FILE: &str = "start";
/// Name of the file that stores the plan which replaces the start plan.
const NEXT_PLAN_FILE: &str = "start.next";
/// Name of the directory of the replicated log.
const LOG_DIRECTORY: &str = "log";

/// Most members that a plan remembers.
const MAX_KNOWN_MEMBERS: usize = 16;

/// Identity under which an instance starts, and the members of the group if it forms one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartPlan {
    /// Identity of the instance in the group.
    pub instance: InstanceId,
    /// Initial members of a newly formed group; empty for an instance that joins an existing one.
    pub initial_members: Vec<InstanceId>,
    /// Members that the instance knew under an earlier identity, to be asked for the group.
    pub known_members: Vec<InstanceId>,
}

/// The part of a plan that every version of the file has; the known members follow it.
#[derive(Debug, Serialize, Deserialize)]
struct PlanHead {
    instance: InstanceId,
    initial_members: Vec<InstanceId>,
}

impl StartPlan {
    /// Returns the plan for a start with an empty data directory.
    ///
    /// At the first start of the deployment, the seeds form the group. Any other
    /// start with an empty directory joins the group under an unused identity, since
    /// the state of any identity used before at the address is lost.
    #[must_use]
    pub fn with_empty_directory(settings: &GroupSettings, directory_id: u32) -> Self {
        let mut seed_ips: Vec<IpAddr> = settings.seeds.iter().map(SocketAddr::ip).collect();
        seed_ips.sort_unstable();
        seed_ips.dedup();
        if settings.first_start && seed_ips.contains(&settings.own_address) {
            return Self {
                instance: instance_id(settings.own_address, 0),
                initial_members: seed_ips.into_iter().map(|ip| instance_id(ip, 0)).collect(),
                known_members: Vec::new(),
            };
        }
        Self::joining(settings.own_address, directory_id)
    }

    /// Returns the plan of an instance that joins the group.
    ///
    /// `directory_id` should be random, so that it differs from earlier ones at the address. 0 is
    /// reserved for initial members and counts as 1.
    #[must_use]
    pub fn joining(address: IpAddr, directory_id: u32) -> Self {
        Self {
            instance: instance_id(address, directory_id.max(1)),
            initial_members: Vec::new(),
            known_members: Vec::new(),
        }
    }

    /// Remembers members that the instance knows, beside the seeds of its settings, which may all
    /// have been replaced.
    #[must_use]
    pub fn with_known_members(mut self, mut members: Vec<InstanceId>) -> Self {
        members.truncate(MAX_KNOWN_MEMBERS);
        self.known_members = members;
        self
    }

    fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let head = PlanHead {
            instance: self.instance,
            initial_members: self.initial_members.clone(),
        };
        let mut content = postcard::to_stdvec(&head)?;
        content.extend(postcard::to_stdvec(&self.known_members)?);
        Ok(content)
    }

    fn decode(content: &[u8]) -> Result<Self, postcard::Error> {
        let (head, rest) = postcard::take_from_bytes::<PlanHead>(content)?;
        let known_members = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            instance: head.instance,
            initial_members: head.initial_members,
            known_members,
        })
    }
}

/// Data directory with the start plan, which keeps the identity across restarts, and the log.
#[derive(Debug)]
pub struct DataDirectory<'a> {
    path: &'a Path,
}

impl<'a> DataDirectory<'a> {
    /// Opens a data directory and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be created.
    pub fn new(path: &'a Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self { path })
    }

    /// Reads the plan; returns `None` if there is none, or if only a part of the first one was
    /// written.
    ///
    /// Completes a replacement of the plan that was interrupted.
    ///
    /// # Errors
    ///
    /// Fails if there may be a plan that cannot be read now. The log must be kept then: it may
    /// hold what was acknowledged.
    pub fn load_plan(&self) -> io::Result<Option<StartPlan>> {
        let content = match fs::read(self.path.join(PLAN_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                if !self.path.join(NEXT_PLAN_FILE).try_exists()? {
                    return Ok(None);
                }
                self.complete_replacement()?;
                fs::read(self.path.join(PLAN_FILE))?
            }
            content => content?,
        };
        match StartPlan::decode(&content) {
            Ok(plan) => Ok(Some(plan)),
            // A log is created only once the plan is durable.
            Err(error) if self.log_path().try_exists()? => {
                Err(io::Error::new(io::ErrorKind::InvalidData, error))
            }
            Err(error) => {
                warn!(event = "plan-incomplete", %error);
                Ok(None)
            }
        }
    }

    /// Writes the plan durably.
    ///
    /// # Errors
    ///
    /// Fails on a disk error; the plan must not be used then.
    pub fn save_plan(&self, plan: &StartPlan) -> io::Result<()> {
        self.write_plan(plan, PLAN_FILE)
    }

    fn write_plan(&self, plan: &StartPlan, name: &str) -> io::Result<()> {
        let content = plan.encode().map_err(io::Error::other)?;
        let temporary = self.path.join("start.new");
        let mut file = File::create(&temporary)?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path.join(name))?;
        sync(self.path)
    }

    /// Deletes the log and replaces the plan, so that the instance starts under another identity.
    ///
    /// The next plan is durable before the present one is given up, and that before any part of
    /// the log: whenever the process ends, the directory holds either the old identity with its
    /// whole log, or the decision for the next one. A directory without any plan would count as
    /// one that was never used.
    ///
    /// # Errors
    ///
    /// Fails on a disk error; [`Self::load_plan`] then returns the old plan or completes the
    /// replacement.
    pub fn replace_plan(&self, plan: &StartPlan) -> io::Result<()> {
        self.write_plan(plan, NEXT_PLAN_FILE)?;
        match fs::remove_file(self.path.join(PLAN_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            removed => removed?,
        }
        sync(self.path)?;
        self.complete_replacement()
    }

    /// Puts the next plan in the place of one that was given up.
    fn complete_replacement(&self) -> io::Result<()> {
        self.delete_log()?;
        let next_path = self.path.join(NEXT_PLAN_FILE);
        fs::rename(next_path, self.path.join(PLAN_FILE))?;
        sync(self.path)
    }

    /// Deletes a log that belongs to no plan.
    ///
    /// # Errors
    ///
    /// Fails on a disk error.
    pub fn delete_log(&self) -> io::Result<()> {
        let log = self.log_path();
        if log.try_exists()? {
            warn!(event = "log-deleted", folder = %log.display());
            remove_durably(&log)?;
        }
        sync(self.path)
    }

    /// Returns the directory of the replicated log.
    #[must_use]
    pub fn log_path(&self) -> std::path::PathBuf {
        self.path.join(LOG_DIRECTORY)
    }
}

/// Syncs a directory, so that creations, renames and removals in it survive a loss of power.
fn sync(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

/// Removes a directory with all that is in it; the caller syncs its parent.
///
/// Each directory is synced before it is removed, so that no file of a log that was given up
/// appears in the one that replaces it.
fn remove_durably(directory: &Path) -> io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            remove_durably(&entry.path())?;
        } else {
            fs::remove_file(entry.path())?;
        }
    }
    sync(directory)?;
    fs::remove_dir(directory)
}
