//! Owner keys, and helpers to build and submit changes.

use std::fmt::Write;

use ed25519_dalek::SigningKey;
use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::hex;
use replica::StateMachine;

/// Keys of the two initial owners, of a later owner and of a non-owner.
pub(crate) struct TestOwners {
    pub(crate) first: SigningKey,
    pub(crate) second: SigningKey,
    pub(crate) third: SigningKey,
    pub(crate) non_owner: SigningKey,
}

impl TestOwners {
    pub(crate) fn new() -> Self {
        Self {
            first: SigningKey::from_bytes(&[1; 32]),
            second: SigningKey::from_bytes(&[2; 32]),
            third: SigningKey::from_bytes(&[3; 32]),
            non_owner: SigningKey::from_bytes(&[4; 32]),
        }
    }

    /// Returns a state whose initial owners are the first two.
    pub(crate) fn initialized_state(&self) -> ControlState {
        let mut state = ControlState::default();
        let owners = vec![public_key(&self.first), public_key(&self.second)];
        let outcome = apply(&mut state, &ControlCommand::SetInitialOwners { owners });
        assert_eq!(outcome, CommandOutcome::Done);
        state
    }

    /// Returns a change to a declaration with the given teams.
    pub(crate) fn change(&self, base: u64, teams: &[&str]) -> ProposedChange {
        change_with_owners(&self.first, &self.second, base, teams)
    }
}

pub(crate) fn change_with_owners(
    first: &SigningKey,
    second: &SigningKey,
    base: u64,
    teams: &[&str],
) -> ProposedChange {
    let owners = [first, second].map(|key| hex::encode(&public_key(key)));
    let mut text = format!("owners = [\"{}\", \"{}\"]\n", owners[0], owners[1]);
    for team in teams {
        let _ = write!(text, "[[team]]\nname = \"{team}\"\nrate = 5\nburst = 10\n");
    }
    ProposedChange { base, text }
}

pub(crate) fn public_key(key: &SigningKey) -> [u8; 32] {
    key.verifying_key().to_bytes()
}

pub(crate) fn apply(state: &mut ControlState, command: &ControlCommand) -> CommandOutcome {
    state.apply(1, &command.encode().expect("encodes"))
}

pub(crate) fn submit(
    state: &mut ControlState,
    change: &ProposedChange,
    signers: &[&SigningKey],
) -> ChangeStatus {
    let hash = change.hash();
    let signatures = signers.iter().map(|key| OwnerSignature::sign(key, &hash));
    submit_signed(state, change, signatures.collect())
}

pub(crate) fn submit_signed(
    state: &mut ControlState,
    change: &ProposedChange,
    signatures: Vec<OwnerSignature>,
) -> ChangeStatus {
    let command = ControlCommand::SubmitChange {
        change: change.clone(),
        signatures,
    };
    match apply(state, &command) {
        CommandOutcome::Change(status) => status,
        other => panic!("unexpected {other:?}"),
    }
}
