//! What the control instance needs of the replicated log and its state.

use std::future::Future;
use std::sync::Arc;

use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::declaration::Declaration;
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

/// The declaration in force with the text that the owners signed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredConfig {
    /// The checked declaration.
    pub declaration: Arc<Declaration>,
    /// Its TOML text.
    pub text: Arc<str>,
}

/// Which instance owns the tokens of a team, as the log says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamOwner {
    /// The team.
    pub team: TeamName,
    /// The instance that grants its tokens.
    pub instance: InstanceId,
    /// Start of that instance; a restarted one does not know what it granted.
    pub incarnation: u64,
    /// Term of the ownership, above 0; it grows with every change.
    pub term: u64,
    /// Whether the team never had an owner before, so that no tokens can be out.
    pub first: bool,
}

/// Where this instance stands in the group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// `leader`, `follower`, `candidate` or `learner`.
    pub duty: String,
    /// Current term.
    pub term: u64,
    /// Leader known, if any.
    pub leader: Option<InstanceId>,
    /// Members that vote.
    pub voters: Vec<InstanceId>,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index applied.
    pub applied: LogIndex,
    /// Digest of the applied state in hexadecimal.
    pub digest: String,
}

/// The replicated log with the state on top of it.
pub trait ControlLog: Clone + Send + Sync + 'static {
    /// Waits until a quorum confirmed, after this call began, who leads, and
    /// everything committed by then is applied here.
    fn confirm(&self) -> impl Future<Output = Result<LogIndex, ConfirmError>> + Send;

    /// Commits a claim; only on the leader.
    fn claim(
        &self,
        claim: OnceClaim,
    ) -> impl Future<Output = Result<ClaimOutcome, ProposeError>> + Send;

    /// Commits the end of an attempt; only on the leader.
    fn settle(&self, settle: OnceSettle) -> impl Future<Output = Result<(), ProposeError>> + Send;

    /// Commits a change or a signature; only on the leader.
    fn submit(
        &self,
        submission: ChangeSubmission,
    ) -> impl Future<Output = Result<ChangeStatus, ProposeError>> + Send;

    /// Commits owners of teams, with terms that the state assigns; only on the leader.
    fn assign(
        &self,
        owners: Vec<TeamOwner>,
    ) -> impl Future<Output = Result<(), ProposeError>> + Send;

    /// Returns the version applied here.
    fn version(&self) -> ConfigVersion;

    /// Returns the declaration applied here.
    fn config(&self) -> DeclaredConfig;

    /// Returns where a change stands, as applied here.
    fn change_status(&self, hash: &ChangeHash) -> ChangeStatus;

    /// Returns the owner of a team, as applied here.
    fn owner(&self, team: &TeamName) -> Option<TeamOwner>;

    /// Returns the owners of all teams, as applied here.
    fn owners(&self) -> Vec<TeamOwner>;

    /// Returns where this instance stands.
    fn position(&self) -> LogPosition;

    /// Hands in a message of another member.
    fn receive(&self, from: InstanceId, message: Vec<u8>);
}
