//! Process groups for tests, with a limit on how many run at once.

use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;

use bench::demo;
use bench::demo::declaration::DemoDeclaration;
use bench::demo::declaration::DemoTeam;
use bench::group::GroupPlan;
use bench::group::ProcessGroup;
use bench::journal;
use bench::load;
use bench::load::AuditReport;
use bench::load::CallOutcome;
use bench::load::CallRecord;
use bench::load::CallerClient;
use bench::load::CallerProfile;
use bench::load::LoadSettings;
use bench::load::audit_runs;
use bench::wait;
use tempfile::TempDir;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Groups that run at the same time, limited for small machines.
const GROUPS_AT_ONCE: usize = 2;
/// Time limit for a graceful stop.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_mins(1);

static GROUPS: LazyLock<Arc<Semaphore>> =
    LazyLock::new(|| Arc::new(Semaphore::new(GROUPS_AT_ONCE)));

/// A running group whose declaration is in force.
pub(crate) struct TestGroup {
    pub(crate) group: ProcessGroup,
    pub(crate) declaration: DemoDeclaration,
    _folder: TempDir,
    _permit: OwnedSemaphorePermit,
}

impl TestGroup {
    /// Starts a group with one team, whose limits are far above the load.
    pub(crate) async fn start(plan: GroupPlan) -> Self {
        let team = DemoTeam::new("workshop", 5_000, 5_000).expect("a key");
        Self::start_with(plan, DemoDeclaration::new(vec![team])).await
    }

    /// Starts a group with a given declaration.
    pub(crate) async fn start_with(plan: GroupPlan, declaration: DemoDeclaration) -> Self {
        let permit = Arc::clone(&GROUPS).acquire_owned().await.expect("open");
        let folder = tempfile::tempdir().expect("a folder");
        let group = ProcessGroup::start(folder.path(), plan).expect("a group");
        let text = declaration.text(&group.files.owners);
        demo::apply(&group, &text).await.expect("in force");
        wait::nodes_ready(&group).await.expect("ready nodes");
        Self {
            group,
            declaration,
            _folder: folder,
            _permit: permit,
        }
    }

    /// Returns the request profile of a team for a path.
    pub(crate) fn profile(&self, team: &str, path: &str, service: &str) -> CallerProfile {
        self.declaration.profile(team, path, service)
    }

    /// Returns a caller of a node.
    pub(crate) fn caller(&self, node: usize) -> CallerClient {
        let config = load::client_config(&self.group.files.authority()).expect("an authority");
        CallerClient::new(self.group.plan.nodes[node].callers, config)
    }

    /// Describes a load on all nodes.
    pub(crate) fn load(&self, profiles: Vec<CallerProfile>, requests: usize) -> LoadSettings {
        LoadSettings {
            nodes: self.group.caller_listeners(),
            authority: self.group.files.authority(),
            profiles,
            callers: 2 * self.group.plan.nodes.len(),
            requests,
            pause: Duration::from_millis(5),
        }
    }

    /// Compares records with the journals of the stub backend servers.
    pub(crate) fn audit(&self, records: &[CallRecord], profiles: &[CallerProfile]) -> AuditReport {
        audit_runs(records, profiles, &self.runs())
    }

    /// Returns the journal lines of the stub backend servers, each `SERVICE MARKER`.
    pub(crate) fn runs(&self) -> Vec<String> {
        journal::read_runs(&self.group.files.journals).expect("journals")
    }
}

/// Plans a chain of three services with `nodes` nodes each.
pub(crate) fn chain(nodes: usize) -> GroupPlan {
    let delay = Duration::from_millis(1);
    let plan = GroupPlan::new(3).expect("ports");
    let plan = plan.service("prices", nodes, delay, &[]).expect("ports");
    let plan = plan.service("stock", nodes, delay, &["/prices"]);
    let plan = plan.expect("ports");
    plan.service("quotes", nodes, delay, &["/stock"])
        .expect("ports")
}

/// Plans a group with the service `payments` only.
pub(crate) fn payments(nodes: usize, delay: Duration) -> GroupPlan {
    let plan = GroupPlan::new(3).expect("ports");
    plan.service("payments", nodes, delay, &[]).expect("ports")
}

/// Returns the number of answered records.
pub(crate) fn answered(records: &[CallRecord]) -> usize {
    let answered = records
        .iter()
        .filter(|record| record.outcome == CallOutcome::Answered);
    answered.count()
}
