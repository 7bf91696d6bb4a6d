//! The `plan` command, and the `team key` commands that edit the declaration in force.

use std::fs;
use std::path::Path;

use anyhow::Context;
use model::admin::DeclarationText;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::declaration::Declaration;
use model::hex;
use model::ids::KeyDigest;

use crate::arguments::ControlArguments;
use crate::arguments::EditArguments;
use crate::command::edit::grant_key;
use crate::command::edit::withdraw_key;
use crate::command::local::keygen_team_key;
use crate::command::local::read_declaration;
use crate::command::propose::ChangeProposer;
use crate::command::propose::plan_changes;
use crate::exit::CliError;
use crate::keyfile::read_owner_key;
use crate::report::ChangeOutcome;
use crate::report::KeyOutcome;
use crate::report::PlanReport;

pub(super) async fn plan(file: &Path, control: &ControlArguments) -> Result<PlanReport, CliError> {
    let (_, declaration) = read_declaration(file)?;
    let current = ChangeProposer::new(control)?.fetch_in_force().await?;
    plan_changes(&current, &declaration)
}

pub(super) async fn grant(
    team: &str,
    name: &str,
    digest: Option<KeyDigest>,
    edit: &EditArguments,
) -> Result<KeyOutcome, CliError> {
    let generated = digest.is_none().then(keygen_team_key);
    let generated_digest = generated
        .as_ref()
        .and_then(|generated| hex::decode_32(&generated.digest));
    let digest = digest
        .or(generated_digest)
        .context("the digest of the key is missing")?;
    let change = propose_edit(edit, |text| grant_key(text, name, team, &digest)).await?;
    Ok(KeyOutcome {
        key: generated.map(|generated| generated.key),
        digest: Some(hex::encode(&digest)),
        change,
    })
}

pub(super) async fn withdraw(name: &str, edit: &EditArguments) -> Result<KeyOutcome, CliError> {
    let change = propose_edit(edit, |text| withdraw_key(text, name)).await?;
    Ok(KeyOutcome {
        key: None,
        digest: None,
        change,
    })
}

/// Edits the declaration in force and proposes the result.
async fn propose_edit(
    arguments: &EditArguments,
    edit: impl FnOnce(&str) -> anyhow::Result<String>,
) -> Result<ChangeOutcome, CliError> {
    let key = read_owner_key(&arguments.key_file).map_err(CliError::Usage)?;
    let proposer = ChangeProposer::new(&arguments.control)?;
    let current = proposer.fetch_in_force().await?;
    let text = edit(&current.text).map_err(CliError::Usage)?;
    let declaration = Declaration::parse(&text, 0).context("the edited declaration");
    let plan = plan_changes(&current, &declaration.map_err(CliError::Usage)?)?;
    if let Some(file) = &arguments.output_file {
        write_text(file, &text)?;
    }
    let change = change_from_text(&current, text);
    let signature = OwnerSignature::sign(&key, &change.hash());
    let submitted = proposer.submit(change, vec![signature], plan, arguments.wait_timeout);
    submitted.await
}

fn change_from_text(current: &DeclarationText, text: String) -> ProposedChange {
    ProposedChange {
        base: current.version,
        text,
    }
}

fn write_text(file: &Path, text: &str) -> Result<(), CliError> {
    let written = fs::write(file, text);
    let written = written.with_context(|| format!("{} cannot be written", file.display()));
    written.map_err(CliError::Usage)
}
