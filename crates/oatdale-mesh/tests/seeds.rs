//! Seeds of the settings and the platform's list of hosts.

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
        caller: localhost(7002),
    };
    let cfg = MemberConfig {
        card,
        seeds: vec![SEED_ADDRESS.parse().unwrap()],
        holders: 2,
        intervals: Intervals::default(),
    };
    Member::new(cfg, Duration::ZERO)
}

// The platform's list lags, so a fleet that was just started is not on it yet, and the list comes
// before the first connection does. A node that took the list for the whole truth would forget the
// peers of its settings and stay alone for ever: its configuration would age and its bills would
// have no holder.
#[test]
fn an_empty_host_list_keeps_the_configured_seeds() {
    let mut member = member();
    let _ = member.handle(Input::Hosts(Vec::new()), Duration::from_millis(1));
    let outputs = member.handle(Input::Tick, Duration::from_millis(50));
    let dials_seed = |o: &Output| matches!(o, Output::Dial(a) if a.to_string() == SEED_ADDRESS);
    assert!(outputs.iter().any(dials_seed), "the seed is not dialed");
}
