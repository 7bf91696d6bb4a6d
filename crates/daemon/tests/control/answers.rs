//! What operators are answered when a change is not decided or an instance stops.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::control_group::ControlGroup;
use crate::control_group::document;
use crate::http;
use crate::wait::eventually;

const SIZE: u8 = 5;
const READ_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_change_that_may_be_in_force_is_not_answered_as_refused() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    let first = document(3, 0);
    group.put(&first);
    let leader = group.leader(&first);
    let followers = group.numbers().filter(|&number| number != leader);
    followers.take(3).for_each(|number| group.kill(number));
    let to = group.address(leader, 0);
    let second = document(5, 3);
    let response = http::send(to, "PUT /v1/config", &[("Host", "control")], &second).unwrap();
    assert_eq!(response.status, 504, "{response:?}");
}

#[test]
fn a_request_that_an_instance_has_read_is_answered_although_it_stops() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    let first = document(3, 0);
    group.put(&first);
    let leader = group.leader(&first);
    let follower = group.numbers().find(|&number| number != leader).unwrap();
    let to = group.address(follower, 0);
    let second = document(5, 3);
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let length = second.len();
    write!(
        stream,
        "PUT /v1/config HTTP/1.1\r\nHost: control\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
    )
    .unwrap();
    let mut interim = [0; b"HTTP/1.1 100 Continue\r\n\r\n".len()];
    stream.read_exact(&mut interim).unwrap();
    group.terminate(follower);
    eventually("no connection is taken", || TcpStream::connect(to).is_err());
    let mut response = String::new();
    let answered = stream
        .write_all(second.as_bytes())
        .and_then(|()| stream.read_to_string(&mut response));
    assert!(
        response.starts_with("HTTP/1.1 "),
        "{answered:?}: {response}"
    );
    group.await_end(follower);
}
