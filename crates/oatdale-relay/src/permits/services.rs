//! Services whose endpoints state that they must not reject many requests.
//!
//! They all state it, so it is known of an endpoint that has just started as soon as it is known of any
//! other. A node that hears of it tells the service's issuers, selected by a hash as those of permits;
//! the first one tells all nodes.

use crate::cx::Cx;
use crate::gossip::{self, Message};
use crate::nodes::first_by_hash;
use crate::permits::issuing::own_rank;
use crate::state::State;
use crate::update::Node;
use crate::wire::Wire;
use oatdale_policy::relay::IssuerRank;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of nodes that tell others of a service.
const NOTIFIERS: usize = 2;

/// Number of times that each node is told, since datagrams may be lost.
const NOTICES: u8 = 2;

/// Time without any statement after which a response without one shows that the service's endpoints
/// have stopped to state it.
const END_TIME: Duration = Duration::from_secs(3);

/// Services known to this node as brittle.
#[derive(Debug, Default)]
pub(crate) struct BrittleServices(HashMap<String, BrittleService>);

#[derive(Debug)]
struct BrittleService {
    max_rejections: u32,
    /// When one of its endpoints last stated it to this node, or another node said so.
    stated_at: Duration,
    /// Nodes that this one has told, and how often.
    told: HashMap<SocketAddr, u8>,
}

impl BrittleServices {
    /// Records a statement, and returns whether it is new or states another number.
    fn record(&mut self, now: Duration, service: &str, max_rejections: u32) -> bool {
        let known = self.0.get_mut(service);
        let Some(known) = known.filter(|known| known.max_rejections == max_rejections) else {
            let service = service.to_owned();
            let known = BrittleService {
                max_rejections,
                stated_at: now,
                told: HashMap::new(),
            };
            self.0.insert(service, known);
            return true;
        };
        known.stated_at = now;
        false
    }

    /// Records a response without a statement to a request that was sent at `sent_at`, and returns
    /// whether this ends the service's brittle time.
    fn record_missing(&mut self, sent_at: Duration, service: &str) -> bool {
        let known = self.0.get(service);
        let has_ended = known.is_some_and(|known| sent_at >= known.stated_at + END_TIME);
        if has_ended {
            self.0.remove(service);
        }
        has_ended
    }

    /// Restarts the notices after a node has told this one that the brittle time has begun.
    fn restart_notices(&mut self, service: &str) {
        if let Some(known) = self.0.get_mut(service) {
            known.told.clear();
        }
    }
}

/// Records what a response of an endpoint of the service states, and tells the service's notifiers if
/// it is new.
pub(super) fn record_response<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    service: &str,
    max_rejections: Option<u32>,
    sent_at: Duration,
) {
    let now = cx.now();
    match max_rejections {
        Some(max) if state.brittle_services.record(now, service, max) => {
            log_change(service, max_rejections, "response");
            state.directory.set_max_rejections(now, service, Some(max));
            let own = cx.settings.listen.nodes;
            let notifiers = notifiers(cx, state, service);
            let others = notifiers.into_iter().filter(|to| *to != own);
            gossip::send_now(cx, others, &message(service, max));
        }
        Some(_) => {}
        None if state.brittle_services.record_missing(sent_at, service) => {
            log_change(service, None, "response");
            state.directory.set_max_rejections(now, service, None);
        }
        None => {}
    }
}

/// Applies another node's message that a service's endpoints must not reject many requests.
pub(crate) fn handle_brittle_service<W: Wire>(
    cx: &Cx<W>,
    state: &mut State,
    from: SocketAddr,
    service: &str,
    max_rejections: u32,
) {
    let now = cx.now();
    let is_notifier = notifiers(cx, state, service).contains(&from);
    if !is_notifier {
        state.brittle_services.restart_notices(service);
    }
    if state.brittle_services.record(now, service, max_rejections) {
        log_change(service, Some(max_rejections), &from.to_string());
        state
            .directory
            .set_max_rejections(now, service, Some(max_rejections));
    }
}

/// Tells nodes of brittle services that this node has not told often enough.
pub(super) fn notify_nodes<W: Wire>(cx: &Cx<W>, state: &mut State) {
    let services: Vec<_> = state.brittle_services.0.keys().cloned().collect();
    for service in services {
        if own_rank(cx, &notifiers(cx, state, &service)) != Some(IssuerRank::First) {
            continue;
        }
        let others: Vec<_> = gossip::other_nodes(cx, state).collect();
        let Some(known) = state.brittle_services.0.get_mut(&service) else {
            continue;
        };
        known.told.retain(|node, _| others.contains(node));
        let is_due = |to: &SocketAddr| known.told.get(to).is_none_or(|told| *told < NOTICES);
        let due: Vec<_> = others.into_iter().filter(is_due).collect();
        for to in &due {
            *known.told.entry(*to).or_default() += 1;
        }
        let message = message(&service, known.max_rejections);
        gossip::send_now(cx, due.into_iter(), &message);
    }
}

fn message(service: &str, max_rejections: u32) -> Message {
    Message::BrittleService {
        service: service.to_owned(),
        max_rejections,
    }
}

/// Returns the nodes that tell others of a service, first one first.
fn notifiers<W: Wire>(cx: &Cx<W>, state: &State, service: &str) -> Vec<SocketAddr> {
    let now = cx.now();
    let own = Node::from(&cx.settings);
    let own = state.may_issue_permits(now).then_some(&own);
    let others = state.nodes.iter(now).filter(|n| n.host != cx.settings.host);
    let first = first_by_hash(others.chain(own), service, NOTIFIERS);
    first.into_iter().map(|node| node.nodes).collect()
}

fn log_change(service: &str, max_rejections: Option<u32>, from: &str) {
    log::info!(
        target: "permit",
        "event=brittle_service service={service} max_rejections={max_rejections:?} from={from}"
    );
}
