//! The limit on log lines about single endpoints.

use oatdale_relay::LineLimit;
use std::time::Duration;

// Omitted lines are counted, so that the log shows that something is missing, and a second with
// many lines takes nothing from the next one.
#[test]
fn lines_beyond_those_of_a_second_are_counted_as_omitted() {
    let mut limit = LineLimit::default();
    for second in 1..4 {
        let at = |n: u64| Duration::from_millis(second * 1_000 + n);
        let allowed = (0..500).filter(|n| limit.allows(at(*n))).count();
        assert_eq!(allowed, 20);
        assert_eq!(limit.take_omitted(), 480);
        assert_eq!(limit.take_omitted(), 0);
    }
}
