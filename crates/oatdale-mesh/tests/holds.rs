//! Bill records that nodes hold for each other survive the loss of the owner and of one holder.

#[path = "support/in_memory.rs"]
mod support;

use bytes::Bytes;
use oatdale_mesh::{HoldAck, Input};
use std::time::Duration;
use support::fleet::{Fleet, ms};

/// Simulated time in which the fleet converges.
const CONVERGENCE_TIME: Duration = Duration::from_secs(60);
const TWO_COPIES: HoldAck = HoldAck {
    copies: 2,
    requested: 2,
};

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 3, 3);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(Duration::from_secs(5));
    fleet
}

fn hold(fleet: &mut Fleet, owner: usize, id: u128, record: &'static [u8]) {
    fleet.deliver_input(
        owner,
        Input::Hold {
            id,
            record: Bytes::from_static(record),
        },
    );
}

/// Nodes that hold at least one record for another node.
fn holders(fleet: &Fleet) -> Vec<usize> {
    let holds = |i: &usize| {
        fleet.nodes[*i]
            .member
            .as_ref()
            .is_some_and(|m| m.replica_bytes() > 0)
    };
    (0..fleet.nodes.len()).filter(holds).collect()
}

#[test]
fn holders_are_in_other_failure_domains() {
    let mut fleet = settled_fleet(1);
    for owner in 0..9 {
        hold(&mut fleet, owner, 7, b"bill");
        fleet.run(ms(100));
        assert_eq!(fleet.nodes[owner].app.acks[&7], TWO_COPIES);
        let holder_domains: Vec<usize> = holders(&fleet)
            .iter()
            .map(|i| fleet.nodes[*i].domain)
            .collect();
        assert_eq!(holder_domains.len(), 2);
        assert!(
            holder_domains[0] != holder_domains[1]
                && !holder_domains.contains(&fleet.nodes[owner].domain),
            "{holder_domains:?}"
        );
        fleet.deliver_input(owner, Input::Release(vec![7]));
        fleet.run(ms(100));
        assert!(holders(&fleet).is_empty());
    }
}

/// An owner and one of its two holders lose power together. The caller has its complete answer, so
/// the bill must still be journalled.
#[test]
fn a_bill_survives_the_loss_of_its_owner_and_one_holder() {
    for seed in 0..10 {
        let mut fleet = settled_fleet(seed);
        hold(&mut fleet, 0, 1, b"opened");
        fleet.run(ms(50));
        hold(&mut fleet, 0, 1, b"closed");
        fleet.run(ms(50));
        assert_eq!(fleet.nodes[0].app.acks[&1], TWO_COPIES);
        let victim = holders(&fleet)[(seed % 2) as usize];
        fleet.kill(0, true);
        fleet.kill(victim, true);
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
        assert!(holders(&fleet).is_empty());
    }
}

/// A host is restarted under the same name before any peer suspects it. The records that the
/// previous incarnation left with its holders must still be journalled.
#[test]
fn bills_of_a_previous_incarnation_are_journalled() {
    let mut fleet = settled_fleet(11);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    fleet.kill(0, false);
    fleet.run(ms(200));
    fleet.restart(0);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
    assert!(holders(&fleet).is_empty());
}

/// A holder dies while its owner runs on. The owner must replicate its records to another node on
/// its own, since the next loss would otherwise lose the bill.
#[test]
fn an_owner_replaces_a_lost_holder() {
    let mut fleet = settled_fleet(12);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    let original_holders = holders(&fleet);
    fleet.kill(original_holders[0], true);
    fleet.run(Duration::from_secs(5));
    assert_eq!(holders(&fleet).len(), 2);
    fleet.kill(original_holders[1], true);
    fleet.kill(0, true);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
}

/// The link breaks just as the owner releases a record, so the holder does not receive the release.
/// If it were not repeated, holders' memory would fill up with records that are journalled already.
#[test]
fn a_lost_release_is_repeated_after_reconnection() {
    let mut fleet = settled_fleet(13);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    fleet.partition(|a, _| a.name == "host-0");
    fleet.run(Duration::from_secs(3));
    fleet.deliver_input(0, Input::Release(vec![1]));
    fleet.run(ms(500));
    fleet.heal();
    fleet.run(Duration::from_secs(4));
    assert!(holders(&fleet).is_empty());
}

/// In a large fleet a holder is partitioned off and replaced, and its owner has no other reason for
/// a link to it. Records that were journalled in the meantime must not stay in its memory for ever.
#[test]
fn a_replaced_holder_drops_released_records() {
    let mut fleet = Fleet::new(20, 4, 8);
    fleet.start_all();
    fleet
        .run_until(CONVERGENCE_TIME, Fleet::views_agree)
        .expect("all nodes see each other");
    fleet.run(Duration::from_secs(20));
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(100));
    let original_holder = holders(&fleet)[0];
    let name = fleet.nodes[original_holder].name.clone();
    fleet.partition(move |a, _| a.name == name);
    fleet.run(Duration::from_secs(5));
    fleet.deliver_input(0, Input::Release(vec![1]));
    fleet.run(ms(500));
    fleet.heal();
    fleet.run(Duration::from_secs(40));
    assert!(holders(&fleet).is_empty());
    assert!(
        fleet.platform.journal.is_empty(),
        "no holder considered the owner dead"
    );
}

/// A node shuts down gracefully while some of its bills are not journalled yet, as during an outage
/// of the key-value service. Its holders must journal them.
#[test]
fn bills_of_a_leaving_owner_are_journalled() {
    let mut fleet = settled_fleet(14);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    fleet.deliver_input(0, Input::Leave);
    fleet.run(ms(200));
    assert!(fleet.nodes[0].app.ended);
    fleet.kill(0, false);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
}

/// Both holders of a node shut down gracefully, one after the other, as in a rollout of the product
/// itself, and then the owner dies.
#[test]
fn records_survive_holders_that_leave() {
    let mut fleet = settled_fleet(15);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    for holder in holders(&fleet) {
        fleet.deliver_input(holder, Input::Leave);
        fleet.run(ms(500));
        fleet.kill(holder, false);
        fleet.run(ms(500));
    }
    fleet.kill(0, true);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
}

/// The owner and one holder die, and the other holder shuts down gracefully before the owner counts
/// as gone. It is the only node that would have journalled the record, so it must hand the record
/// over first.
#[test]
fn a_leaving_holder_hands_over_records_of_a_dead_owner() {
    let mut fleet = settled_fleet(16);
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(50));
    let initial_holders = holders(&fleet);
    fleet.kill(0, true);
    fleet.kill(initial_holders[0], true);
    fleet.run(Duration::from_secs(3));
    fleet.deliver_input(initial_holders[1], Input::Leave);
    fleet
        .run_until(CONVERGENCE_TIME, |f| f.nodes[initial_holders[1]].app.ended)
        .expect("the holder leaves");
    fleet.kill(initial_holders[1], false);
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.platform.journal[&1], &b"closed"[..]);
}

/// A node without peers has no holders for its bills. It must report that at once instead of
/// delaying the end of every answer until the hold timeout.
#[test]
fn a_hold_without_peers_is_answered_at_once() {
    let mut fleet = Fleet::new(17, 1, 1);
    fleet.start_all();
    fleet.run(Duration::from_secs(3));
    hold(&mut fleet, 0, 1, b"closed");
    assert_eq!(
        fleet.nodes[0].app.acks[&1],
        HoldAck {
            copies: 0,
            requested: 2
        }
    );
}

/// The owner is partitioned off from all peers. Its answers must not wait for holders for ever.
#[test]
fn a_hold_ends_after_its_timeout() {
    let mut fleet = settled_fleet(18);
    fleet.partition(|a, _| a.name == "host-0");
    hold(&mut fleet, 0, 1, b"closed");
    fleet.run(ms(600));
    assert_eq!(
        fleet.nodes[0].app.acks[&1],
        HoldAck {
            copies: 0,
            requested: 2
        }
    );
}

/// A node is paused for so long that its holders journal its records, and then resumes. Neither the
/// owner nor the holders may keep the record, and the journal keeps the first one.
#[test]
fn no_record_stays_held_after_a_paused_owner_resumes() {
    let mut fleet = settled_fleet(19);
    hold(&mut fleet, 0, 1, b"opened");
    fleet.run(ms(50));
    fleet.pause(0);
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.platform.journal[&1], &b"opened"[..]);
    fleet.resume(0);
    fleet.run(ms(500));
    fleet.append_to_journal(0, 1, &Bytes::from_static(b"closed"));
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.platform.journal[&1], &b"opened"[..]);
    assert!(holders(&fleet).is_empty());
}

/// A holder is paused and does not confirm its copy; meanwhile the record is journalled and
/// released. If the release did not answer the pending hold, nothing would: the caller would never
/// get the end of an answer that is complete and billed.
#[test]
fn a_release_answers_a_pending_hold() {
    let mut fleet = settled_fleet(3);
    hold(&mut fleet, 0, 1, b"opened");
    fleet.run(ms(100));
    let holder = holders(&fleet)[0];
    fleet.pause(holder);
    fleet.deliver_input(0, Input::Release(vec![1]));
    hold(&mut fleet, 0, 2, b"closed");
    fleet.run(ms(100));
    assert!(
        !fleet.nodes[0].app.acks.contains_key(&2),
        "the hold was answered before the release"
    );
    fleet.deliver_input(0, Input::Release(vec![2]));
    fleet.run(CONVERGENCE_TIME);
    assert!(
        fleet.nodes[0].app.acks.contains_key(&2),
        "the hold is still pending"
    );
}
