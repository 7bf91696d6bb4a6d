//! Untrusted input: missing keys, forged headers, and plain text sent to TLS listeners.

use bench::load::CallOutcome;
use bench::load::CallerProfile;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::TestGroup;
use crate::support::chain;

fn refused(cause: &str) -> CallOutcome {
    CallOutcome::Failed {
        cause: cause.to_owned(),
        verdict: "not-run".to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_proper_key_do_not_run() {
    let test = TestGroup::start(chain(1)).await;
    let good = test.profile("workshop", "/quotes", "quotes");
    let with_key = |key: Option<&str>| CallerProfile {
        key: key.map(str::to_owned),
        ..good.clone()
    };
    let mut caller = test.caller(0);
    for (profile, cause) in [
        (with_key(None), "bad-credentials"),
        (with_key(Some("")), "bad-credentials"),
        (with_key(Some("rwp_unknown")), "unknown-key"),
    ] {
        let record = caller.call(0, &profile).await;
        assert_eq!(record.outcome, refused(cause));
    }
    let unrouted = CallerProfile {
        path: "/nowhere".to_owned(),
        ..good.clone()
    };
    let record = caller.call(0, &unrouted).await;
    assert_eq!(record.outcome, refused("unknown-route"));
    assert!(test.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_sees_neither_keys_nor_forged_headers() {
    let test = TestGroup::start(chain(1)).await;
    let profile = test.profile("workshop", "/quotes", "quotes");
    let forged = [
        ("ragwortplank-call", "00000000000000000000000000000001"),
        ("ragwortplank-context", "forged"),
        ("ragwortplank-verdict", "ran"),
        ("proxy-authorization", "Bearer forged"),
    ];
    let seen = test.caller(0).echoed_headers(&profile, &forged).await;
    let seen = seen.expect("an answer");
    let own: Vec<_> = seen
        .iter()
        .filter(|line| line.starts_with("ragwortplank-"))
        .collect();
    assert_eq!(own.len(), 1, "{own:?}");
    assert!(!own[0].ends_with("00000001"), "{own:?}");
    let key = profile.key.expect("a key");
    let leaked = |line: &&String| line.contains(&key) || line.contains("forged");
    assert!(!seen.iter().any(|line| leaked(&line)), "{seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_text_on_tls_listeners_is_rejected_and_affects_no_other_caller() {
    let test = TestGroup::start(chain(1)).await;
    let node = &test.group.plan.nodes[0];
    for address in [node.callers, node.peers, node.admin] {
        let mut stream = TcpStream::connect(address).await.expect("a listener");
        let garbage = b"GET /quotes HTTP/1.1\r\nhost: node\r\n\r\n";
        stream.write_all(garbage).await.expect("sent");
        // The listener sends at most a TLS alert, then closes the connection.
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let received = String::from_utf8_lossy(&answer).into_owned();
        assert!(!received.contains("HTTP/"), "{received}");
    }
    let profile = test.profile("workshop", "/quotes", "quotes");
    let record = test.caller(0).call(0, &profile).await;
    assert_eq!(record.outcome, CallOutcome::Answered);
}
