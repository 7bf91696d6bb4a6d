//! Changes that need the signatures of two owners, also when they sign concurrently.

use bench::wait;

use crate::support::TestGroup;
use crate::support::chain;

/// Exit status of a proposal after which the change is accepted.
const ACCEPTED: i32 = 0;
/// Exit status of a proposal that conflicts with an accepted one on the same base version.
const CONFLICT: i32 = 3;
/// Exit status of a proposal that waits for the other owner's signature.
const PENDING: i32 = 4;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_wins_and_a_resend_gets_the_first_result() {
    let mut test = TestGroup::start(chain(1)).await;
    let folder = test.group.files.folder().to_owned();
    let mut files = Vec::new();
    for burst in [100, 200] {
        test.declaration.teams[0].burst = burst;
        let file = folder.join(format!("burst-{burst}.toml"));
        std::fs::write(&file, test.declaration.text(&test.group.files.owners)).expect("a file");
        files.push(file.display().to_string());
    }
    let [first, second] = test.group.files.owner_keys();
    let keys = [first.display().to_string(), second.display().to_string()];
    for file in &files {
        let signed = test
            .group
            .operator_tool()
            .run_with_controls(&propose(file, &keys[0]));
        assert_eq!(signed.expect("the tool").status, PENDING);
    }
    // The second owner signs both concurrently.
    let mut racing = Vec::new();
    for file in files.clone() {
        let tool = test.group.operator_tool();
        let key = keys[1].clone();
        racing.push(tokio::task::spawn_blocking(move || {
            tool.run_with_controls(&propose(&file, &key))
                .expect("the tool")
                .status
        }));
    }
    let mut statuses = Vec::new();
    for race in racing {
        statuses.push(race.await.expect("no panic"));
    }
    let mut sorted = statuses.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [ACCEPTED, CONFLICT], "{statuses:?}");
    for (file, status) in files.iter().zip(&statuses) {
        let again = test
            .group
            .operator_tool()
            .run_with_controls(&propose(file, &keys[1]));
        assert_eq!(again.expect("the tool").status, *status);
    }
    for position in 0..test.group.plan.controls.len() {
        wait::until("version 2", async || {
            let status = wait::control_status(&test.group, position).await?;
            anyhow::ensure!(status.version == 2, "{status:?}");
            Ok(())
        })
        .await
        .expect("one change in force");
    }
}

fn propose<'a>(file: &'a str, key: &'a str) -> [&'a str; 6] {
    ["propose", file, "--key", key, "--base", "1"]
}

#[tokio::test(flavor = "multi_thread")]
async fn one_signature_alone_never_takes_effect() {
    let mut test = TestGroup::start(chain(1)).await;
    test.declaration.teams[0].burst += 1;
    let file = test.group.files.folder().join("alone.toml");
    std::fs::write(&file, test.declaration.text(&test.group.files.owners)).expect("a file");
    let file = file.display().to_string();
    let [first, second] = test.group.files.owner_keys();
    let key = first.display().to_string();
    for _ in 0..3 {
        let proposed = test
            .group
            .operator_tool()
            .run_with_controls(&propose(&file, &key));
        assert_eq!(proposed.expect("the tool").status, PENDING);
    }
    let status = wait::control_status(&test.group, 0).await;
    assert_eq!(status.expect("a status").version, 1);
    let second = second.display().to_string();
    let proposed = test
        .group
        .operator_tool()
        .run_with_controls(&propose(&file, &second));
    assert_eq!(proposed.expect("the tool").status, ACCEPTED);
}
