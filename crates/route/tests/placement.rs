//! Placement at servers of unequal and of changing speed: 59 nodes that send a few calls a second
//! each, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::context::ServerPace;
use model::ids::RouteName;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;

const SENDERS: usize = 59;
const NETWORK_US: u64 = 700;
const WORK_US: u64 = 100_000;
/// A call that would wait for longer is refused, and tried at two other servers at the most.
const WAIT_MAX_US: u64 = 100_000;
const CHANGE_US: u64 = 600_000;
/// Times after a change of the pace at which the node beside the server announces it.
const NOTICES_US: [u64; 3] = [80_000, 280_000, 480_000];
const END_US: u64 = 60_000_000;
const TARGET_US: u64 = 250_000;

/// What senders know besides the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Known {
    Load,
    ResponseTimes,
    AnnouncedPace,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Call {
    sender: usize,
    sent: u64,
    attempted: u64,
    is_refused: bool,
    tried: Vec<u64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Respond(Call),
    Change,
    Announce,
}

/// Random numbers from the generator `SplitMix64`.
struct Random(u64);

impl Random {
    fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a duration in microseconds from an exponential distribution.
    fn duration(&mut self, mean_us: f64) -> u64 {
        let unit = f64::from(u32::try_from(self.number() >> 32).unwrap()) / 4_294_967_296.0;
        whole(-mean_us * (1.0 - unit).ln())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small durations"
)]
fn whole(duration_us: f64) -> u64 {
    duration_us as u64
}

/// The time at which each slot is free, and the pace.
struct Server {
    free_at: Vec<u64>,
    speed: f64,
    percent: u16,
}

impl Server {
    /// Queues a call that arrives over the network; returns its end, or `None` if it is refused.
    fn accept(&mut self, now: u64, work_us: u64) -> Option<u64> {
        let work_us = whole(work_us as f64 / self.speed * f64::from(self.percent) / 100.0);
        let slot = self.free_at.iter_mut().min().unwrap();
        let begin = (now + NETWORK_US).max(*slot);
        if begin > now + WAIT_MAX_US {
            return None;
        }
        *slot = begin + work_us;
        Some(*slot)
    }

    fn load(&self, now: u64, known: Known) -> ServerLoad {
        let busy = self.free_at.iter().filter(|free_at| **free_at > now);
        let pace = ServerPace::from_percent(self.percent);
        ServerLoad {
            in_flight: u32::try_from(busy.count()).unwrap(),
            pace: pace.filter(|_| known == Known::AnnouncedPace),
            ..ServerLoad::default()
        }
    }
}

/// Returns the fraction of the calls that are answered within the target.
fn met_targets(speeds: &[f64], slots: u32, slow_percent: u64, rate: f64, known: Known) -> f64 {
    let (start, route, mut random) = (Instant::now(), RouteName::from("read"), Random(7));
    let (mut picker, mut servers) = (LeastLoadedPicker::default(), Vec::new());
    for (node, &speed) in (0..).zip(speeds) {
        let mut member = PickerMember::new(node, start);
        (member.slots, member.same_data_centre) = (slots, true);
        picker.members_mut().push(member);
        let free_at = vec![0; slots as usize];
        servers.push(Server {
            free_at,
            speed,
            percent: 100,
        });
    }
    let mut pickers = vec![picker; SENDERS];
    let mut events = BinaryHeap::from([Reverse((0, Event::Change))]);
    events.extend((0..SENDERS).map(|sender| Reverse((0, Event::Arrive(sender)))));
    let (mut met, mut ended) = (0_u32, 0_u32);
    while let Some(Reverse((now, event))) = events.pop().filter(|next| next.0.0 < END_US) {
        let at = start + Duration::from_micros(now);
        let mut call = match event {
            Event::Arrive(sender) => {
                let next = now + random.duration(1e6 / rate);
                events.push(Reverse((next, Event::Arrive(sender))));
                Call {
                    sender,
                    sent: now,
                    attempted: now,
                    is_refused: false,
                    tried: Vec::new(),
                }
            }
            Event::Change => {
                for server in &mut servers {
                    server.percent = if random.number() % 100 < slow_percent {
                        250
                    } else {
                        100
                    };
                }
                events.push(Reverse((now + CHANGE_US, Event::Change)));
                events.extend(NOTICES_US.map(|notice| Reverse((now + notice, Event::Announce))));
                continue;
            }
            Event::Announce if known == Known::AnnouncedPace => {
                for (node, server) in (0..).zip(&servers) {
                    let pace = ServerPace::from_percent(server.percent).unwrap();
                    for picker in &mut pickers {
                        picker.record_pace(node, pace, at);
                    }
                }
                continue;
            }
            Event::Announce => continue,
            Event::Respond(call) => {
                let (picker, node) = (&mut pickers[call.sender], call.tried[call.tried.len() - 1]);
                let load = servers[usize::try_from(node).unwrap()].load(now, known);
                let took = Duration::from_micros(now - call.attempted);
                if call.is_refused {
                    picker.record_result(node, SendResult::Refused, Some(load), at);
                    call
                } else {
                    picker.record_result(node, SendResult::Answered, Some(load), at);
                    if known != Known::Load {
                        picker.record_response(node, &route, took, load.pace, at);
                    }
                    ended += 1;
                    met += u32::from(now - call.sent <= TARGET_US);
                    continue;
                }
            }
        };
        let chosen = pickers[call.sender].pick(&call.tried, random.number(), at);
        let Some(node) = chosen.filter(|_| call.tried.len() < 3) else {
            ended += 1;
            continue;
        };
        call.tried.push(node);
        let work_us = WORK_US / 2 + random.duration(WORK_US as f64 / 2.0);
        let end = servers[usize::try_from(node).unwrap()].accept(now, work_us);
        (call.attempted, call.is_refused) = (now, end.is_none());
        let end = end.unwrap_or(now + NETWORK_US);
        events.push(Reverse((end + NETWORK_US, Event::Respond(call))));
    }
    f64::from(met) / f64::from(ended)
}

/// Guards against placement that ignores how fast the servers are, or that follows the speed so
/// closely that the calls of all nodes meet at the fastest server.
#[test]
fn speed_and_pace_let_more_calls_meet_their_target() {
    for rate in [2.5, 4.0, 4.6] {
        let met = |known| met_targets(&[0.5, 1.0, 1.5], 10, 0, rate, known);
        let (load, times) = (met(Known::Load), met(Known::ResponseTimes));
        println!(
            "3 servers, {rate}/s: {load:.3} {times:.3} {:.3}",
            met(Known::AnnouncedPace)
        );
        assert!(times > load + 0.03, "{rate}: {times} instead of {load}");
    }
    for (slots, rate) in [
        (2, 3.0),
        (2, 4.0),
        (2, 5.0),
        (10, 15.0),
        (10, 20.0),
        (10, 25.0),
    ] {
        let met = |known| met_targets(&[1.0; 20], slots, 15, rate, known);
        let (load, times, pace) = (
            met(Known::Load),
            met(Known::ResponseTimes),
            met(Known::AnnouncedPace),
        );
        println!("20 servers of {slots} slots, {rate}/s: {load:.3} {times:.3} {pace:.3}");
        assert!(
            times > load - 0.015,
            "{slots}, {rate}: {times} instead of {load}"
        );
        assert!(
            pace > load + 0.015,
            "{slots}, {rate}: {pace} instead of {load}"
        );
    }
}
