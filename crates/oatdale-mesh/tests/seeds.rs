//! Configured seeds and the platform's list of hosts.

use oatdale_mesh::{Card, Input, Intervals, Member, MemberConfig, Output};
use std::net::SocketAddr;
use std::time::Duration;

const SEED_ADDRESS: &str = "127.0.0.1:7000";

fn member() -> Member {
    let localhost = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let card = Card {
        host: "entry-1".to_owned(),
        domain: "north".to_owned(),
        region: "home".to_owned(),
        incarnation: 1,
        address: localhost(7001),
        caller_address: localhost(7002),
    };
    let cfg = MemberConfig {
        card,
        seeds: vec![SEED_ADDRESS.parse().unwrap()],
        holder_count: 2,
        intervals: Intervals::default(),
    };
    Member::new(cfg, Duration::ZERO)
}

/// The platform's list lags: a fleet that has just started is not on it yet, and the list arrives
/// before the first connection is made. A node that replaced its configured seeds by the list would
/// stay alone for ever: its configuration would become stale and its bills would have no holders.
#[test]
fn an_empty_host_list_keeps_the_configured_seeds() {
    let mut member = member();
    let _ = member.handle(Input::Hosts(Vec::new()), Duration::from_millis(1));
    let outputs = member.handle(Input::Tick, Duration::from_millis(50));
    let dials_seed = |o: &Output| matches!(o, Output::Dial(a) if a.to_string() == SEED_ADDRESS);
    assert!(
        outputs.iter().any(dials_seed),
        "the configured seed is not dialed"
    );
}
