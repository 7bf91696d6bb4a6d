//! The `propose` command: signs a change, submits it, and waits until it is in force.

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

/// Interval at which the status of a change is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

pub(super) async fn propose(arguments: &ProposeArguments) -> Result<ChangeOutcome, CliError> {
    let (text, declaration) = read_declaration(&arguments.file)?;
    let proposer = ChangeProposer::new(&arguments.control)?;
    let current = proposer.fetch_in_force().await?;
    let base = arguments.base_version.unwrap_or(current.version);
    let plan = plan_changes(&current, &declaration)?;
    let change = ProposedChange { base, text };
    if arguments.base_version.is_none() && current.text == change.text {
        return Ok(already_in_force(&change, &current, plan));
    }
    let signatures = collect_signatures(arguments, &change.hash())?;
    proposer
        .submit(change, signatures, plan, arguments.wait_timeout)
        .await
}

/// Submits changes to the control instances.
pub(super) struct ChangeProposer<'a> {
    client: AdminClient,
    control: &'a ControlArguments,
}

impl<'a> ChangeProposer<'a> {
    pub(super) fn new(control: &'a ControlArguments) -> Result<Self, CliError> {
        let client = AdminClient::new(&control.tls).map_err(CliError::Usage)?;
        Ok(Self { client, control })
    }

    /// Fetches the declaration in force.
    pub(super) async fn fetch_in_force(&self) -> Result<DeclarationText, CliError> {
        let request = AdminRequest::get("/declaration");
        let addresses = &self.control.addresses;
        self.client.send_to_control(addresses, &request).await
    }

    /// Submits a change and, given a timeout, waits until it is in force.
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
        let submitted = self.client.send_to_control(addresses, &request).await?;
        let report = self.poll_until_in_force(submitted, wait).await?;
        let conflict = matches!(report.status, ChangeStatus::Conflict { .. });
        let plan = if conflict {
            self.plan_after_conflict(&text).await?
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

    /// Polls the change until it is in force, refused, or the timeout has passed.
    async fn poll_until_in_force(
        &self,
        mut report: ChangeReport,
        wait: Option<Duration>,
    ) -> Result<ChangeReport, CliError> {
        let deadline = Instant::now() + wait.unwrap_or_default();
        let request = AdminRequest::get(format!("/changes/{}", report.hash));
        while is_unfinished(&report) && Instant::now() < deadline {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            let addresses = &self.control.addresses;
            report = self.client.send_to_control(addresses, &request).await?;
        }
        Ok(report)
    }

    /// Compares the text with the declaration in force, after another change was accepted.
    async fn plan_after_conflict(&self, text: &str) -> Result<PlanReport, CliError> {
        let current = self.fetch_in_force().await?;
        let declaration = Declaration::parse(text, 0).context("the proposed declaration")?;
        plan_changes(&current, &declaration)
    }
}

/// Compares the declaration in force with a new one.
pub(super) fn plan_changes(
    current: &DeclarationText,
    new: &Declaration,
) -> Result<PlanReport, CliError> {
    let old = parse_in_force(current)?;
    Ok(PlanReport::compare(&old, new))
}

/// Parses the declaration in force; it is empty until the first change is accepted.
fn parse_in_force(current: &DeclarationText) -> anyhow::Result<Declaration> {
    if current.text.is_empty() {
        return Ok(Declaration::default());
    }
    let declaration = Declaration::parse(&current.text, current.version);
    declaration.context("this version of the tool cannot parse the declaration in force")
}

fn is_unfinished(report: &ChangeReport) -> bool {
    match report.status {
        ChangeStatus::Pending => true,
        ChangeStatus::Accepted(_) => !report.in_force,
        _ => false,
    }
}

/// Reports a text that is already in force, which is not proposed again, so that a
/// retry after a lost response creates no second version.
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

fn collect_signatures(
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
    let parsed: SignatureFile =
        serde_json::from_str(&text).with_context(|| format!("{name} is not a signature file"))?;
    let expected = hex::encode(hash);
    ensure!(
        parsed.hash == expected,
        anyhow!("{name} signs change {}, not {expected}", parsed.hash)
    );
    let signature = parsed.signature();
    signature.with_context(|| format!("{name}: `owner` or `signature` is not valid hexadecimal"))
}
