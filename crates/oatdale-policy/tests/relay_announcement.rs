//! Which long prompts are announced to the other nodes.

use oatdale_policy::relay::is_prompt_announced;
use std::time::Duration;

/// Nodes, engines, requests and long prompts a second of sites that serve similar work.
const SITES: [(usize, usize, f64, f64); 5] = [
    (9, 9, 48.0, 9.0),
    (66, 100, 300.0, 60.0),
    (295, 255, 600.0, 140.0),
    (985, 9_808, 552.0, 135.0),
    (2_000, 19_600, 1_120.0, 274.0),
];

/// Time in which an engine reads a long prompt.
const READ_TIME: Duration = Duration::from_millis(600);

// If each long prompt of a large site were announced to all nodes, datagrams would grow with prompts
// times nodes, although a node hardly ever sends to an engine while that reads a prompt.
#[test]
fn announcements_of_long_prompts_are_bounded_at_any_site_size() {
    for (nodes, engines, requests, prompts) in SITES {
        let requests_per_node = requests / nodes as f64;
        let is_announced = is_prompt_announced(requests_per_node, READ_TIME, engines);
        assert_eq!(is_announced, nodes <= 295, "{nodes} nodes");
        let received_per_second = if is_announced { prompts } else { 0.0 };
        assert!(
            received_per_second <= 150.0,
            "{nodes} nodes: each gets {received_per_second} announcements per second"
        );
    }
}

// A burst reaches few engines of a large site, so that nodes do send to the same ones.
#[test]
fn prompts_are_announced_where_nodes_send_to_few_engines() {
    assert!(is_prompt_announced(0.6, READ_TIME, 200));
    assert!(!is_prompt_announced(0.6, READ_TIME, 2_000));
    assert!(is_prompt_announced(6.0, READ_TIME, 2_000));
    assert!(!is_prompt_announced(0.0, READ_TIME, 1));
    assert!(is_prompt_announced(1.0, READ_TIME, 0));
}
