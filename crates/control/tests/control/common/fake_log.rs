//! A fake replicated log, shared by several instances in memory.

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use control::log::ControlLog;
use control::log::LogStatus;
use ed25519_dalek::SigningKey;
use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::hex;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::LogIndex;
use model::ids::OwnerKey;
use quorum::MemberChangeError;
use replica::ProposeError;
use replica::ReadIndexError;

#[derive(Debug, Default)]
struct SharedState {
    leader: Option<InstanceId>,
    ledger: ControlState,
}

/// State shared by all instances, with the signing keys of both owners.
#[derive(Clone, Debug)]
pub(crate) struct FakeGroup {
    state: Arc<Mutex<SharedState>>,
    owners: [SigningKey; 2],
}

/// One instance's handle to the shared log.
#[derive(Clone, Debug)]
pub(crate) struct FakeLog {
    own: InstanceId,
    group: FakeGroup,
    partitioned: Arc<AtomicBool>,
}

impl FakeGroup {
    /// Creates a group that `leader` leads.
    pub(crate) fn new(leader: InstanceId) -> Self {
        let group = Self {
            state: Arc::default(),
            owners: [1, 2].map(|seed| SigningKey::from_bytes(&[seed; 32])),
        };
        group.elect(Some(leader));
        let owners = group.owner_keys();
        group.execute(ControlCommand::SetInitialOwners { owners });
        group
    }

    pub(crate) fn elect(&self, leader: Option<InstanceId>) {
        self.state.lock().unwrap().leader = leader;
    }

    pub(crate) fn log(&self, own: InstanceId) -> FakeLog {
        FakeLog {
            own,
            group: self.clone(),
            partitioned: Arc::default(),
        }
    }

    /// Returns a change of the version in force to a declaration with these items.
    pub(crate) fn change(&self, items: &str) -> ProposedChange {
        let owners = self.owner_keys();
        let owners: Vec<_> = owners.iter().map(|key| hex::encode(key)).collect();
        let owners = owners.join("\", \"");
        ProposedChange {
            base: self.read(|ledger| ledger.config().version()),
            text: format!("owners = [\"{owners}\"]\n{items}"),
        }
    }

    /// Signs a change as both owners.
    pub(crate) fn sign(&self, change: &ProposedChange) -> Vec<OwnerSignature> {
        let hash = change.hash();
        let signed = self
            .owners
            .iter()
            .map(|key| OwnerSignature::sign(key, &hash));
        signed.collect()
    }

    /// Commits a declaration with these items under the next version.
    pub(crate) fn declare(&self, items: &str) -> ConfigVersion {
        let change = self.change(items);
        let signatures = self.sign(&change);
        let outcome = self.execute(ControlCommand::SubmitChange { change, signatures });
        match outcome {
            CommandOutcome::Change(ChangeStatus::Accepted(version)) => version,
            other => panic!("not accepted: {other:?}"),
        }
    }

    pub(crate) fn owner_keys(&self) -> Vec<OwnerKey> {
        let keys = self.owners.iter();
        keys.map(|key| key.verifying_key().to_bytes()).collect()
    }

    fn execute(&self, command: ControlCommand) -> CommandOutcome {
        self.state.lock().unwrap().ledger.execute(command)
    }

    fn read<R>(&self, reader: impl FnOnce(&ControlState) -> R) -> R {
        reader(&self.state.lock().unwrap().ledger)
    }
}

impl FakeLog {
    /// Partitions this instance from the others, or ends the partition.
    pub(crate) fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::SeqCst);
    }

    pub(crate) fn owner_keys(&self) -> Vec<OwnerKey> {
        self.group.owner_keys()
    }

    async fn wait_if_partitioned(&self) {
        if self.partitioned.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
    }
}

impl ControlLog for FakeLog {
    async fn read_index(&self) -> Result<LogIndex, ReadIndexError> {
        self.wait_if_partitioned().await;
        let leader = self.status().leader;
        leader.map(|_| 1).ok_or(ReadIndexError)
    }

    async fn propose(&self, command: &ControlCommand) -> Result<CommandOutcome, ProposeError> {
        self.wait_if_partitioned().await;
        let leader = self.status().leader;
        if leader != Some(self.own) {
            return Err(ProposeError::NotLeader { leader });
        }
        Ok(self.group.execute(command.clone()))
    }

    fn read<R>(&self, reader: impl FnOnce(&ControlState) -> R) -> R {
        self.group.read(reader)
    }

    fn status(&self) -> LogStatus {
        LogStatus {
            leader: self.group.state.lock().unwrap().leader,
            ..LogStatus::default()
        }
    }

    async fn remove_member(&self, _: InstanceId) -> Result<LogIndex, MemberChangeError> {
        let leader = self.status().leader;
        Err(MemberChangeError::NotLeader { leader })
    }

    fn receive(&self, _: InstanceId, _: Vec<u8>) {}
}
