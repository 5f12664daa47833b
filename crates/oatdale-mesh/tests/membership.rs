//! Membership: nodes that join, die, pause, leave and return, in fleets of 2 to 64 nodes.

#[path = "support/in_memory.rs"]
mod support;

use oatdale_mesh::{HostId, Input, PeerState};
use std::time::Duration;
use support::fleet::{Fleet, ms};

/// Simulated time in which the fleet converges.
const CONVERGENCE_TIME: Duration = Duration::from_secs(60);

/// How node `observer` sees node `subject`.
fn peer_state(fleet: &Fleet, observer: usize, subject: usize) -> Option<PeerState> {
    let name = &fleet.nodes[subject].name;
    fleet.nodes[observer]
        .app
        .peers
        .iter()
        .find(|p| p.host == *name)
        .map(|p| p.state)
}

#[test]
fn nine_nodes_find_each_other() {
    let mut fleet = Fleet::new(1, 3, 3);
    fleet.start_all();
    let elapsed_time = fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    assert!(elapsed_time < Duration::from_secs(3), "{elapsed_time:?}");
    fleet.run(Duration::from_secs(5));
    assert!(
        fleet
            .nodes
            .iter()
            .all(|n| n.member.as_ref().expect("up").linked_hosts().count() == 8)
    );
}

#[test]
fn one_seed_is_enough() {
    let mut fleet = Fleet::new(2, 3, 3);
    let seed = fleet.nodes[0].address;
    for i in 0..9 {
        fleet.start_with_seeds(i, vec![seed]);
    }
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
}

#[test]
fn a_large_fleet_keeps_few_links_per_node() {
    let mut fleet = Fleet::new(3, 8, 8);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(CONVERGENCE_TIME);
    assert!(fleet.views_agree());
    let most_links = fleet
        .nodes
        .iter()
        .map(|n| n.member.as_ref().expect("up").linked_hosts().count())
        .max();
    assert!(most_links.expect("nodes") < 40, "{most_links:?}");
}

/// A fleet starts from one seed. A joiner's first holders are chosen among the first nodes that it
/// knows; if these were never replaced, a few early nodes would hold the bills of the whole fleet.
#[test]
fn a_single_seed_does_not_keep_links_to_the_whole_fleet() {
    let mut fleet = Fleet::new(12, 8, 8);
    let seed = fleet.nodes[0].address;
    for i in 0..64 {
        fleet.start_with_seeds(i, vec![seed]);
        fleet.run(ms(20));
    }
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(CONVERGENCE_TIME);
    let links = fleet.nodes[0]
        .member
        .as_ref()
        .expect("up")
        .linked_hosts()
        .count();
    assert!(links < 30, "{links}");
}

/// A host loses power without closing its connections. Until its peers suspect it, callers may be
/// sent to an address that does not answer.
#[test]
fn a_failed_host_is_suspected_and_removed_once_unlisted() {
    let mut fleet = Fleet::new(4, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.publish_host_list();
    fleet.kill(8, true);
    fleet.run(Duration::from_secs(4));
    assert!((0..8).all(|i| peer_state(&fleet, i, 8) == Some(PeerState::Suspect)));
    fleet.publish_host_list();
    fleet.run(Duration::from_secs(8));
    assert!((0..8).all(|i| peer_state(&fleet, i, 8).is_none()));
}

/// A host restarts and is partitioned off before the platform's list, which lags, contains it
/// again. The list is older than the process, which still runs, so it must be suspected and not
/// removed.
#[test]
fn a_host_list_older_than_a_process_does_not_remove_it() {
    let mut fleet = Fleet::new(10, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.kill(8, false);
    fleet.run(ms(500));
    fleet.publish_host_list();
    fleet.restart(8);
    fleet.run(Duration::from_secs(3));
    fleet.partition(|a, _| a.name == "host-8");
    fleet.run(Duration::from_secs(20));
    assert!((0..8).all(|i| peer_state(&fleet, i, 8) == Some(PeerState::Suspect)));
}

/// A node is paused for ten seconds, as by a debugger or a stalled hypervisor, and resumes. If it
/// counted its own pause as silence of its peers, it would suspect them all.
#[test]
fn a_resumed_node_suspects_nobody() {
    let mut fleet = Fleet::new(5, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.pause(0);
    fleet.run(Duration::from_secs(10));
    assert_eq!(peer_state(&fleet, 1, 0), Some(PeerState::Suspect));
    fleet.resume(0);
    fleet.run(ms(60));
    assert!((1..9).all(|i| peer_state(&fleet, 0, i) == Some(PeerState::Alive)));
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other again");
}

/// A host is replaced within a second by one of the same name. A late card of the dead process must
/// not supersede that of the new one.
#[test]
fn a_restarted_node_is_known_by_its_new_incarnation() {
    let mut fleet = Fleet::new(6, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.kill(4, true);
    fleet.run(ms(500));
    fleet.restart(4);
    let incarnation = fleet.nodes[4].member.as_ref().expect("up").incarnation();
    fleet.run(Duration::from_secs(10));
    assert!(fleet.views_agree());
    for node in fleet.nodes.iter().filter(|n| n.name != "host-4") {
        let seen = node
            .app
            .peers
            .iter()
            .find(|p| p.host == "host-4")
            .expect("known");
        assert_eq!(seen.incarnation, incarnation);
    }
}

/// A host restarts with its wall clock set back, so that the new process has a lower incarnation
/// than the dead one. If peers kept refusing it, the host would be lost until its clock is right.
#[test]
fn a_restart_with_an_earlier_clock_is_accepted() {
    let mut fleet = Fleet::new(7, 3, 3);
    fleet.run(Duration::from_secs(100));
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.kill(4, false);
    fleet.run(ms(500));
    fleet.clock_lag = Duration::from_secs(50);
    fleet.restart(4);
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other again");
}

/// A host is paused, the platform starts a replacement under the same name, and the first one
/// resumes. If it did not end, two processes would serve callers under one name and take every link
/// from each other.
#[test]
fn a_process_replaced_while_paused_ends_on_resume() {
    let mut fleet = Fleet::new(11, 3, 3);
    for i in 0..8 {
        fleet.start(i);
    }
    fleet.run(Duration::from_secs(5));
    fleet.pause(0);
    fleet.run(Duration::from_secs(3));
    fleet.nodes[8].name = fleet.nodes[0].name.clone();
    fleet.start(8);
    fleet.run(Duration::from_secs(5));
    fleet.resume(0);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.nodes[0].app.ended);
    assert!((1..9).all(|i| !fleet.nodes[i].app.ended));
    let successor = fleet.nodes[8].member.as_ref().expect("up").incarnation();
    for node in &fleet.nodes[1..8] {
        let seen = node
            .app
            .peers
            .iter()
            .find(|p| p.host == "host-0")
            .expect("known");
        assert_eq!(
            (seen.incarnation, seen.state),
            (successor, PeerState::Alive)
        );
    }
}

#[test]
fn a_leaving_node_is_seen_as_left_at_once() {
    let mut fleet = Fleet::new(8, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.deliver_input(3, Input::Leave);
    fleet.run(ms(100));
    assert!(
        (0..9)
            .filter(|i| *i != 3)
            .all(|i| peer_state(&fleet, i, 3) == Some(PeerState::Left))
    );
    assert!(fleet.nodes[3].app.ended);
}

/// A partition lasts until the nodes of each side have removed the other. After it heals they
/// must reconnect without a restart.
#[test]
fn halves_reconnect_after_a_long_partition() {
    let mut fleet = Fleet::new(9, 3, 3);
    fleet.intervals.remove_after = Duration::from_secs(30);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.partition(|a, b| a.domain == 0 && b.domain != 0);
    fleet.run(Duration::from_secs(120));
    assert_eq!(peer_state(&fleet, 0, 1), None);
    fleet.heal();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other again");
}

#[test]
fn different_names_have_different_host_ids() {
    assert_ne!(HostId::of("a"), HostId::of("b"));
}

/// A node starts before its seed does and meanwhile reads the platform's list, which lags or lists
/// no entry hosts at all. If the list replaced the seeds, the node would stay alone for ever:
/// callers would get a second set of limits, and its bills would have no holders.
#[test]
fn an_empty_host_list_does_not_replace_the_seeds() {
    let mut fleet = Fleet::new(4, 2, 1);
    let seed = fleet.nodes[0].address;
    fleet.start_with_seeds(1, vec![seed]);
    fleet.deliver_input(1, Input::Hosts(Vec::new()));
    fleet.run(Duration::from_secs(2));
    fleet.start_with_seeds(0, Vec::new());
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("the nodes see each other");
}
