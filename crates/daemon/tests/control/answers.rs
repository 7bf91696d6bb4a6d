//! What operators are answered when a change is not decided or an instance stops.

use crate::control_group::ControlGroup;
use crate::control_group::document;
use crate::http;

const SIZE: u8 = 5;

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
