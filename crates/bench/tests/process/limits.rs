//! Rate limits over all nodes together.

use std::time::Duration;
use std::time::Instant;

use bench::demo::declaration::DemoDeclaration;
use bench::demo::declaration::DemoTeam;
use bench::load;

use crate::support::TestGroup;
use crate::support::answered;
use crate::support::chain;

/// Requests per second of the limited team.
const RATE: u64 = 20;
/// Burst of the limited team.
const BURST: u64 = 10;

#[tokio::test(flavor = "multi_thread")]
async fn a_team_gets_no_more_than_its_rate_and_burst_over_all_nodes() {
    let teams = vec![
        DemoTeam::new("workshop", 5_000, 5_000).expect("a key"),
        DemoTeam::new("hostel", RATE, BURST).expect("a key"),
    ];
    let test = TestGroup::start_with(chain(2), DemoDeclaration::new(teams)).await;
    let profiles = vec![test.profile("hostel", "/prices", "prices")];
    let mut settings = test.load(profiles.clone(), 40);
    settings.pause = Duration::from_millis(20);
    let started_at = Instant::now();
    let records = load::run_load(&settings).await.expect("a load");
    // The window is the measured duration of the load: a longer one only raises the bound.
    let elapsed = started_at.elapsed();
    let allowed = BURST as f64 + RATE as f64 * elapsed.as_secs_f64();
    let passed = answered(&records);
    assert!(
        passed as f64 <= allowed,
        "{passed} of {allowed} in {elapsed:?}"
    );
    assert!(passed > 0);
    let audit = test.audit(&records, &profiles);
    assert!(audit.is_clean(), "{audit:#?}");
}
