//! Odd announcements, headers, configurations and frames, sent to real processes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;

use crate::cluster::NODE_MEMORY_MIB;
use crate::cluster::TestCluster;
use crate::cluster::announcement;
use crate::http;
use crate::wait::eventually;

/// The faulty entries arrive at the node of the first service.
const SERVICES: [&str; 2] = ["orders", "stock"];
/// Largest frame of a link, in bytes.
const FRAME_BYTES: usize = 16 * 1024 * 1024;
/// A start of a server that is later than any other in these tests.
const LATER_START: u64 = 1_000_000;

/// Returns a sound announcement in which one field has another value.
fn with_field(address: SocketAddr, field: &str, value: &str) -> Vec<u8> {
    let sound = announcement("orders", address, LATER_START - 1);
    let begin = sound.find(&format!("\"{field}\":")).unwrap() + field.len() + 3;
    let end = begin + sound[begin..].find([',', '}']).unwrap();
    format!("{}{value}{}", &sound[..begin], &sound[end..]).into_bytes()
}

fn odd_bodies(address: SocketAddr) -> Vec<Vec<u8>> {
    let sound = announcement("orders", address, LATER_START - 1);
    let deep = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let long = format!("\"{}\"", "x".repeat(60_000));
    let mut bodies = vec![
        Vec::new(),
        b"{}".to_vec(),
        b"null".to_vec(),
        deep.clone().into_bytes(),
        b"{\"a\":".repeat(10_000),
        vec![0xff; 4096],
        [
            &sound.as_bytes()[..20],
            b"\xff\xfe",
            &sound.as_bytes()[20..],
        ]
        .concat(),
        vec![b' '; 70 * 1024],
    ];
    let values = [
        "null",
        "true",
        "-1",
        "-0.5",
        "1.5",
        "1e400",
        "18446744073709551616",
        "\"\"",
        "[]",
        "{}",
        &deep,
        &long,
        "\"\\ud800\"",
    ];
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "phase",
        "coldRemaining",
        "sequence",
        "born",
    ];
    for field in fields {
        bodies.extend(values.map(|value| with_field(address, field, value)));
    }
    // The start alone may be missing: not every platform names it.
    let required = fields.into_iter().filter(|field| *field != "born");
    for field in required {
        bodies.push(
            sound
                .replace(&format!("\"{field}\""), "\"other\"")
                .into_bytes(),
        );
    }
    let absurd = [
        ("address", "\"10.0.0.1:65536\""),
        ("address", "\"10.0.0.1:0\""),
        ("address", "\"0.0.0.0:80\""),
        ("phase", "\"asleep\""),
        ("slots", "0"),
        ("slots", "4294967295"),
        ("coldRemaining", "18446744073709551615"),
        ("sequence", "18446744073709551615"),
        ("born", "18446744073709551615"),
    ];
    bodies.extend(absurd.map(|(field, value)| with_field(address, field, value)));
    bodies
}

fn assert_serving(cluster: &mut TestCluster, context: &str) {
    cluster.assert_running();
    for node in 0..2 {
        for service in SERVICES {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(node, &format!("POST /unsafe/{service}/1"), &id);
            assert_eq!(
                response.unwrap().status,
                200,
                "{service} at {node}: {context}"
            );
        }
    }
}

/// Drains the server of the first node by a sound announcement, and waits for the effect.
fn assert_following(cluster: &TestCluster, context: &str) {
    let server = &cluster.servers[0];
    let draining = announcement("orders", server.address, LATER_START).replace("ready", "draining");
    let status = cluster.announce(0, &server.name, draining.as_bytes());
    assert_eq!(status, Some(200), "{context}");
    for node in 0..2 {
        eventually(
            &format!("a drained server gets no calls: {context}"),
            || {
                let id = format!("{:016x}", rand::random::<u64>());
                let response = cluster.call(node, "POST /unsafe/orders/1", &id);
                response.is_ok_and(|response| response.status == 503)
            },
        );
    }
}

#[test]
fn an_odd_announcement_names_no_server() {
    let mut cluster = TestCluster::start(&SERVICES);
    let server = cluster.servers[0].clone();
    for body in odd_bodies(server.address) {
        let shown = String::from_utf8_lossy(&body[..body.len().min(300)]).into_owned();
        let status = cluster.announce(0, &server.name, &body);
        assert!(matches!(status, Some(400..=499)), "{status:?}: {shown}");
        let other = cluster.announce(0, "i-other", &body);
        assert!(matches!(other, Some(400..=499)), "{other:?}: {shown}");
    }
    assert_serving(&mut cluster, "after odd announcements");
    assert_following(&cluster, "after odd announcements");
    cluster.assert_running();
}

#[test]
fn an_absurd_start_or_sequence_hides_no_later_announcement() {
    for (field, server) in [("born", "i-0"), ("born", "i-other"), ("sequence", "i-0")] {
        let cluster = TestCluster::start(&SERVICES[..1]);
        let address = cluster.servers[0].address;
        let start = if field == "born" { "1" } else { "999999" };
        let absurd = String::from_utf8(with_field(address, field, "18446744073709551615"))
            .unwrap()
            .replace("\"born\":999999", &format!("\"born\":{start}"));
        // Whether it is taken doesn't matter here.
        cluster.announce(0, server, absurd.as_bytes());
        let draining = announcement("orders", address, 1)
            .replace("ready", "draining")
            .replace("\"sequence\":1", "\"sequence\":2")
            .replace("\"born\":1", &format!("\"born\":{start}"));
        let status = cluster.announce(0, &cluster.servers[0].name, draining.as_bytes());
        assert_eq!(status, Some(200), "{field} of {server}");
        eventually(
            &format!("a drained server gets no calls: {field} of {server}"),
            || {
                let id = format!("{:016x}", rand::random::<u64>());
                let response = cluster.call(0, "POST /unsafe/orders/1", &id);
                response.is_ok_and(|response| response.status == 503)
            },
        );
    }
}

#[test]
fn an_odd_name_names_no_server() {
    let mut cluster = TestCluster::start(&SERVICES);
    let address = cluster.servers[0].address;
    let body = announcement("orders", address, LATER_START - 1);
    let long = "x".repeat(20_000);
    for name in ["", &long, "i/0", "i\u{7f}", "i\u{e9}", "../config"] {
        let status = cluster.announce(0, name, body.as_bytes());
        let shown = &name[..name.len().min(20)];
        assert!(
            matches!(status, None | Some(400..=499)),
            "{status:?}: {shown}"
        );
    }
    assert_serving(&mut cluster, "after odd names");
    assert_following(&cluster, "after odd names");
}

#[test]
fn announcements_at_their_bounds_do_not_stop_a_process() {
    let mut cluster = TestCluster::start(&SERVICES);
    let server = cluster.servers[0].clone();
    for (field, value) in [
        ("slots", "65536"),
        ("coldRemaining", "3600000"),
        ("sequence", "9007199254740991"),
    ] {
        let status = cluster.announce(0, &server.name, &with_field(server.address, field, value));
        assert_eq!(status, Some(200), "{field}: {value}");
        assert_serving(&mut cluster, field);
    }
    assert_following(&cluster, "after extreme announcements");
    cluster.assert_running();
}

#[test]
fn an_odd_deadline_does_not_stop_a_node() {
    let mut cluster = TestCluster::start(&SERVICES);
    let long = "9".repeat(10_000);
    for deadline in [
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775807",
        "-1",
        "-9223372036854775808",
        "1.5",
        "1e400",
        "NaN",
        "",
        " ",
        &long,
    ] {
        for node in 0..2 {
            let id = format!("{:016x}", rand::random::<u64>());
            let header = [("X-Ragwortplank-Deadline-Ms", deadline)];
            let response = cluster.call_with(node, "POST /unsafe/orders/1", &id, &header);
            let shown = &deadline[..deadline.len().min(30)];
            assert_eq!(response.unwrap().status, 200, "{shown}");
        }
    }
    assert_serving(&mut cluster, "after odd deadlines");
}

#[test]
fn an_odd_configuration_is_refused_and_the_one_in_force_stays() {
    let mut cluster = TestCluster::start(&SERVICES);
    let sound = include_str!("config.json")
        .replace("\"version\":3", "\"version\":4")
        .replace("\"baseVersion\":0", "\"baseVersion\":3");
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let weights = |weight: &str| {
        let backends = format!(
            "\"weightedBackends\":[{{\"service\":\"orders\",\"weight\":{weight}}},{{\"service\":\"stock\",\"weight\":{weight}}}],\"service\":\"orders\""
        );
        sound.replacen("\"service\":\"orders\"", &backends, 1)
    };
    let documents = [
        deep.clone(),
        "{\"a\":".repeat(100_000),
        sound.replacen("60000", &deep, 1),
        sound.replacen("60000", "1e400", 1),
        sound.replacen("60000", "18446744073709551615", 1),
        sound.replacen("60000", "18446744073709551616", 1),
        sound.replacen("60000", "-1", 1),
        sound.replacen("60000", "0.5", 1),
        sound.replacen("\"priority\":0", "\"priority\":256", 1),
        sound.replacen("\"version\":4", "\"version\":1e30", 1),
        sound.replace("\"ratePerS\":0", "\"ratePerS\":-1"),
        sound.replace("\"ratePerS\":0", "\"ratePerS\":1e400"),
        sound.replace("\"burst\":0", "\"burst\":-0.5"),
        weights("1e18"),
        weights("1e300"),
        weights("-1"),
    ];
    for document in documents {
        let shown = &document[..document.len().min(400)];
        let status = cluster.put_document(document.as_bytes());
        assert_eq!(status, Some(400), "{shown}");
    }
    assert_serving(&mut cluster, "after odd configurations");
    let extreme = sound
        .replace("\"aim\":1500", "\"aim\":18446744073709551615")
        .replace(
            "\"headerTimeout\":3000",
            "\"headerTimeout\":18446744073709551615",
        )
        .replace(
            "\"idleTimeout\":15000",
            "\"idleTimeout\":18446744073709551615",
        )
        .replace("\"maxAttempts\":2", "\"maxAttempts\":4294967295")
        .replace("\"ratePerS\":0", "\"ratePerS\":1e15")
        .replace("\"burst\":0", "\"burst\":1e300");
    assert_eq!(cluster.put_document(extreme.as_bytes()), Some(200));
    for node in ["node-0", "node-1"] {
        eventually("the configuration is in force", || {
            cluster.log(node).contains("event=config-applied config=4")
        });
    }
    for _ in 0..20 {
        eventually("a node serves calls", || {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(0, "POST /unsafe/orders/1", &id);
            response.is_ok_and(|response| response.status == 200)
        });
    }
    cluster.assert_running();
}

#[test]
fn odd_frames_on_a_link_stop_no_process() {
    let mut cluster = TestCluster::start(&SERVICES);
    let links = [cluster.control_address(5), cluster.node_address(0, 6)];
    let frame = |content: &[u8]| {
        let mut bytes = u32::try_from(content.len()).unwrap().to_be_bytes().to_vec();
        bytes.extend_from_slice(content);
        bytes
    };
    let mut odd = vec![
        u32::MAX.to_be_bytes().to_vec(),
        frame(b""),
        frame(&[9, 9, 9]),
        frame(&vec![0; FRAME_BYTES]),
        frame(&vec![0xff; FRAME_BYTES]),
        frame(&[&[0][..], &vec![0xff; FRAME_BYTES - 1]].concat()),
        u32::try_from(FRAME_BYTES).unwrap().to_be_bytes().to_vec(),
    ];
    for kind in 0..8 {
        odd.push(frame(&[0, kind]));
        // A length or number that is as large as it can be encoded.
        odd.push(frame(
            &[&[0, kind][..], &[0xff; 9], &[1], &[0xff; 64]].concat(),
        ));
        let random: Vec<u8> = (0..4096).map(|_| rand::random()).collect();
        odd.push(frame(&[&[0, kind][..], &random].concat()));
    }
    for link in links {
        for bytes in &odd {
            let mut stream = http::connect(link).unwrap();
            // The other end may close the connection before it has read all of this.
            let _ = stream.write_all(bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let _ = stream.read_to_end(&mut Vec::new());
        }
    }
    cluster.await_serving();
    assert_serving(&mut cluster, "after odd frames");
    let peak = cluster.peak_memory_mib(0);
    assert!(peak < NODE_MEMORY_MIB, "the node took {peak} MiB");
}
