//! Speed of a server whose reports are absurd or end.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerPace;
use route::ServerSpeed;

/// Guards against a server that is avoided or preferred for good, since it reports a pace that its
/// response times do not show, or stops reporting while it is slow.
#[test]
fn absurd_reports_and_missing_ones_lose_their_effect() {
    assert_eq!(ServerPace::from_percent(0), None);
    assert_eq!(ServerPace::from_percent(10_001), None);
    let start = Instant::now();
    for (percent, first) in [(10_000, 0.1), (1, 2.0)] {
        let pace = ServerPace::from_percent(percent);
        let mut speed = ServerSpeed::default();
        speed.note_pace(pace.unwrap(), start);
        assert_eq!(speed.at(start), Some(first));
        let mut now = start;
        for _ in 0..60 {
            now += Duration::from_millis(100);
            speed.note_response(1.0, pace, now);
            speed.note_response(f64::NAN, pace, now);
            speed.note_response(f64::INFINITY, pace, now);
            speed.note_pace(pace.unwrap(), now);
        }
        let corrected = speed.at(now).unwrap();
        assert!((0.66..1.5).contains(&corrected), "{percent}: {corrected}");
        let silent = speed.at(now + Duration::from_millis(400)).unwrap();
        assert!((silent - 1.0).abs() < 1e-9, "{percent}: {silent}");
    }
    let mut speed = ServerSpeed::default();
    (0..20).for_each(|_| speed.note_response(1e9, None, start));
    let slow = speed.at(start).unwrap();
    let later = speed.at(start + Duration::from_secs(30)).unwrap();
    assert!(slow < 0.5 && later > 0.9, "{slow} {later}");
}
