//! Tests of settings that an operator's file or a platform's template may leave empty.

use oatdale_relay::Settings;

const TEXT: &str = "
platform: registry
host: a
failure-domain: x
listen: {callers: '10.0.0.1:1', readiness: '10.0.0.1:2', addresses: '10.0.0.1:3', nodes: '10.0.0.1:4', metrics: '10.0.0.1:5', state: '10.0.0.1:6'}
key-value: 10.0.0.9:1
bounds:
  stop-s: 8
  addresses-s: 5
  repeat-ratio: 0.9
  repeat-slack: 50
  exposure-share: 0.15
  exposure-slack: 30
  session-s: 5
";

// Guards against nodes that fail to start when operators set no bounds for cold endpoints.
#[test]
fn empty_bounds_of_cold_endpoints_are_read_as_unset() {
    for bounds in ["", "  cold-overshoot:\n  cold-slack:\n"] {
        let settings = Settings::read(&format!("{TEXT}{bounds}")).unwrap();
        assert_eq!(settings.bounds.cold_overshoot, None);
        assert_eq!(settings.bounds.cold_slack, None);
    }
    let settings = Settings::read(&format!("{TEXT}  cold-overshoot: 1.5\n  cold-slack: 5\n"));
    assert_eq!(settings.unwrap().bounds.cold_overshoot, Some(1.5));
}
