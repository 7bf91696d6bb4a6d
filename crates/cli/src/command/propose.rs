//! Proposals: signing, sending, and waiting until they are in force.

use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::anyhow;
use anyhow::ensure;
use model::admin::ChangeReport;
use model::admin::ChangeSubmission;
use model::admin::DeclarationText;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::declaration::Declaration;
use model::hex;
use model::ids::ChangeHash;
use tokio::time::sleep;

use crate::arguments::ControlArguments;
use crate::arguments::ProposeArguments;
use crate::client::AdminClient;
use crate::client::AdminRequest;
use crate::command::local::read_declaration;
use crate::exit::CliError;
use crate::keyfile::read_owner_key;
use crate::report::ChangeOutcome;
use crate::report::PlanReport;
use crate::report::SignatureFile;

/// Pause between questions whether a change is in force, in milliseconds.
const WAIT_PAUSE_MS: u64 = 200;

pub(super) async fn propose(arguments: &ProposeArguments) -> Result<ChangeOutcome, CliError> {
    let (text, declaration) = read_declaration(&arguments.file)?;
    let proposer = ChangeProposer::connect(&arguments.control)?;
    let current = proposer.in_force().await?;
    let base = arguments.base_version.unwrap_or(current.version);
    let plan = plan_between(&current, &declaration)?;
    let change = ProposedChange { base, text };
    if arguments.base_version.is_none() && current.text == change.text {
        return Ok(already_in_force(&change, &current, plan));
    }
    let signatures = signatures(arguments, &change.hash())?;
    proposer
        .submit(change, signatures, plan, arguments.wait_timeout)
        .await
}

/// Sends changes to the control instances.
pub(super) struct ChangeProposer<'a> {
    client: AdminClient,
    control: &'a ControlArguments,
}

impl<'a> ChangeProposer<'a> {
    pub(super) fn connect(control: &'a ControlArguments) -> Result<Self, CliError> {
        let client = AdminClient::new(&control.tls).map_err(CliError::Usage)?;
        Ok(Self { client, control })
    }

    /// Returns the text in force.
    pub(super) async fn in_force(&self) -> Result<DeclarationText, CliError> {
        let request = AdminRequest::get("/declaration");
        let addresses = &self.control.addresses;
        self.client.send_to_control(addresses, &request).await
    }

    /// Submits a change and waits for it when asked to.
    pub(super) async fn submit(
        &self,
        change: ProposedChange,
        signatures: Vec<OwnerSignature>,
        plan: PlanReport,
        wait: Option<Duration>,
    ) -> Result<ChangeOutcome, CliError> {
        let base = change.base;
        let text = change.text.clone();
        let submission = ChangeSubmission { change, signatures };
        let request = AdminRequest::post("/changes", &submission)?;
        let addresses = &self.control.addresses;
        let sent = self.client.send_to_control(addresses, &request).await?;
        let report = self.wait_for(sent, wait).await?;
        let conflict = matches!(report.status, ChangeStatus::Conflict { .. });
        let plan = if conflict {
            self.remaining(&text).await?
        } else {
            plan
        };
        Ok(ChangeOutcome {
            hash: report.hash,
            base,
            status: report.status,
            in_force: report.in_force,
            waited: wait.is_some(),
            plan,
        })
    }

    /// Asks until the change is in force, refused, or the time is up.
    async fn wait_for(
        &self,
        mut report: ChangeReport,
        wait: Option<Duration>,
    ) -> Result<ChangeReport, CliError> {
        let deadline = Instant::now() + wait.unwrap_or_default();
        let request = AdminRequest::get(format!("/changes/{}", report.hash));
        while is_open(&report) && Instant::now() < deadline {
            sleep(Duration::from_millis(WAIT_PAUSE_MS)).await;
            let addresses = &self.control.addresses;
            report = self.client.send_to_control(addresses, &request).await?;
        }
        Ok(report)
    }

    /// Returns what still differs after another change was accepted.
    async fn remaining(&self, text: &str) -> Result<PlanReport, CliError> {
        let current = self.in_force().await?;
        let declaration = Declaration::parse(text, 0).context("the declaration")?;
        plan_between(&current, &declaration)
    }
}

/// Compares the declaration in force with a new one.
pub(super) fn plan_between(
    current: &DeclarationText,
    new: &Declaration,
) -> Result<PlanReport, CliError> {
    let old = in_force(current)?;
    Ok(PlanReport::compare(&old, new))
}

/// Reads the declaration in force; a group without a first change has an empty one.
fn in_force(current: &DeclarationText) -> anyhow::Result<Declaration> {
    if current.text.is_empty() {
        return Ok(Declaration::default());
    }
    let declaration = Declaration::parse(&current.text, current.version);
    declaration.context("the declaration in force cannot be read by this version")
}

fn is_open(report: &ChangeReport) -> bool {
    match report.status {
        ChangeStatus::Pending => true,
        ChangeStatus::Accepted(_) => !report.in_force,
        _ => false,
    }
}

/// A text that is in force already is not proposed again, so that a re-send
/// after a lost answer makes no second version.
fn already_in_force(
    change: &ProposedChange,
    current: &DeclarationText,
    plan: PlanReport,
) -> ChangeOutcome {
    ChangeOutcome {
        hash: hex::encode(&change.hash()),
        base: change.base,
        status: ChangeStatus::Accepted(current.version),
        in_force: false,
        waited: false,
        plan,
    }
}

fn signatures(
    arguments: &ProposeArguments,
    hash: &ChangeHash,
) -> Result<Vec<OwnerSignature>, CliError> {
    let mut signatures = Vec::new();
    if let Some(key) = &arguments.key_file {
        let key = read_owner_key(key).map_err(CliError::Usage)?;
        signatures.push(OwnerSignature::sign(&key, hash));
    }
    for file in &arguments.signature_files {
        signatures.push(read_signature(file, hash).map_err(CliError::Usage)?);
    }
    Ok(signatures)
}

fn read_signature(file: &Path, hash: &ChangeHash) -> anyhow::Result<OwnerSignature> {
    let name = file.display();
    let text = fs::read_to_string(file).with_context(|| format!("{name} cannot be read"))?;
    let read: SignatureFile =
        serde_json::from_str(&text).with_context(|| format!("{name} holds no signature"))?;
    let expected = hex::encode(hash);
    ensure!(
        read.hash == expected,
        anyhow!("{name} signs change {}, not {expected}", read.hash)
    );
    let signature = read.signature();
    signature.with_context(|| format!("{name}: a value is not hexadecimal"))
}
