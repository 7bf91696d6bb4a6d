//! A log that several instances share in memory.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use control::log::ControlLog;
use control::log::DeclaredConfig;
use control::log::LogPosition;
use control::log::TeamOwner;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::declaration::Declaration;
use model::declaration::TeamSpec;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::LogIndex;
use model::ids::TeamName;
use model::once::ClaimOutcome;
use model::once::OnceClaim;
use model::once::OnceSettle;
use replica::ConfirmError;
use replica::ProposeError;

#[derive(Debug, Default)]
struct SharedState {
    leader: Option<InstanceId>,
    config: DeclaredConfig,
    owners: BTreeMap<TeamName, TeamOwner>,
    claims: Vec<OnceClaim>,
    changes: Vec<ChangeHash>,
}

/// The shared state of all instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeGroup {
    state: Arc<Mutex<SharedState>>,
}

/// The log as one instance sees it.
#[derive(Clone, Debug)]
pub(crate) struct FakeLog {
    own: InstanceId,
    group: FakeGroup,
    cut: Arc<AtomicBool>,
}

impl FakeGroup {
    /// Creates a group that `leader` leads.
    pub(crate) fn new(leader: InstanceId) -> Self {
        let group = Self::default();
        group.elect(Some(leader));
        group
    }

    pub(crate) fn elect(&self, leader: Option<InstanceId>) {
        self.state.lock().unwrap().leader = leader;
    }

    pub(crate) fn log(&self, own: InstanceId) -> FakeLog {
        FakeLog {
            own,
            group: self.clone(),
            cut: Arc::default(),
        }
    }

    /// Commits a declaration with these teams under the next version.
    pub(crate) fn declare(&self, teams: &[TeamSpec]) -> ConfigVersion {
        let mut state = self.state.lock().unwrap();
        let version = state.config.declaration.version + 1;
        state.config = DeclaredConfig {
            declaration: Arc::new(Declaration {
                version,
                teams: teams.to_vec(),
                ..Declaration::default()
            }),
            text: Arc::from("text"),
        };
        version
    }
}

impl FakeLog {
    /// Cuts this instance off from the others, or heals the cut.
    pub(crate) fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    async fn lead<R>(&self, commit: impl FnOnce(&mut SharedState) -> R) -> Result<R, ProposeError> {
        if self.is_cut() {
            pending::<()>().await;
        }
        let mut state = self.group.state.lock().unwrap();
        if state.leader != Some(self.own) {
            let leader = state.leader;
            return Err(ProposeError::NotLeader { leader });
        }
        Ok(commit(&mut state))
    }

    fn read<R>(&self, read: impl FnOnce(&SharedState) -> R) -> R {
        read(&self.group.state.lock().unwrap())
    }
}

impl ControlLog for FakeLog {
    async fn confirm(&self) -> Result<LogIndex, ConfirmError> {
        if self.is_cut() {
            pending::<()>().await;
        }
        let leader = self.read(|state| state.leader);
        leader.map(|_| 1).ok_or(ConfirmError)
    }

    async fn claim(&self, claim: OnceClaim) -> Result<ClaimOutcome, ProposeError> {
        self.lead(|state| {
            let held = state.claims.iter().find(|held| held.key == claim.key);
            let held = held.map(|held| held.attempt);
            match held {
                Some(attempt) if attempt == claim.attempt => ClaimOutcome::Fresh,
                Some(_) => ClaimOutcome::Pending,
                None => {
                    state.claims.push(claim);
                    ClaimOutcome::Fresh
                }
            }
        })
        .await
    }

    async fn settle(&self, settle: OnceSettle) -> Result<(), ProposeError> {
        self.lead(|state| state.claims.retain(|held| held.key != settle.key))
            .await
    }

    async fn submit(&self, submission: ChangeSubmission) -> Result<ChangeStatus, ProposeError> {
        self.lead(|state| {
            state.changes.push(submission.change.hash());
            ChangeStatus::Pending
        })
        .await
    }

    async fn assign(&self, owners: Vec<TeamOwner>) -> Result<(), ProposeError> {
        self.lead(|state| {
            for owner in owners {
                state.owners.insert(owner.team.clone(), owner);
            }
        })
        .await
    }

    fn version(&self) -> ConfigVersion {
        self.read(|state| state.config.declaration.version)
    }

    fn config(&self) -> DeclaredConfig {
        self.read(|state| state.config.clone())
    }

    fn change_status(&self, hash: &ChangeHash) -> ChangeStatus {
        let known = self.read(|state| state.changes.contains(hash));
        if known {
            ChangeStatus::Pending
        } else {
            ChangeStatus::Unknown
        }
    }

    fn owner(&self, team: &TeamName) -> Option<TeamOwner> {
        self.read(|state| state.owners.get(team).cloned())
    }

    fn owners(&self) -> Vec<TeamOwner> {
        self.read(|state| state.owners.values().cloned().collect())
    }

    fn position(&self) -> LogPosition {
        LogPosition {
            leader: self.read(|state| state.leader),
            ..LogPosition::default()
        }
    }

    fn receive(&self, _: InstanceId, _: Vec<u8>) {}
}
