//! Reports to the issuers of how many requests this node has at endpoints that must not reject many.

use crate::cx::Cx;
use crate::directory::EndpointKey;
use crate::gossip::{self, Message};
use crate::permits::issuing::issuers;
use crate::permits::services;
use crate::permits::wire::HeldStatement;
use crate::state::State;
use crate::wire::Wire;
use oatdale_policy::relay::HeldReport;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Interval in which a report is repeated after a change.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Number of repeats, since datagrams may be lost.
const REPEATS: u8 = 2;

/// Interval in which unchanged requests are reported.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of endpoints in one datagram.
const MAX_PER_DATAGRAM: usize = 8;

/// Endpoints at which this node's requests are to be reported.
#[derive(Debug, Default)]
pub(crate) struct HeldChanges {
    /// Changed since the last report.
    changed: BTreeSet<EndpointKey>,
    /// To be reported again so many times.
    repeats: BTreeMap<EndpointKey, u8>,
}

impl HeldChanges {
    /// Records that the number of this node's requests at an endpoint has changed.
    pub(crate) fn record(&mut self, key: EndpointKey) {
        self.changed.insert(key);
    }

    fn take_changed(&mut self) -> BTreeSet<EndpointKey> {
        let changed = std::mem::take(&mut self.changed);
        self.repeats
            .extend(changed.iter().map(|key| (*key, REPEATS)));
        changed
    }

    fn take_repeats(&mut self) -> BTreeSet<EndpointKey> {
        let due = self.repeats.keys().copied().collect();
        self.repeats.retain(|_, repeats| {
            *repeats -= 1;
            *repeats > 0
        });
        due
    }
}

/// Reports changes at once, and repeats them; also tells other nodes of brittle services.
pub(crate) async fn run_reports<W: Wire>(cx: Arc<Cx<W>>) {
    let mut next_repeat = Instant::now() + REPEAT_INTERVAL;
    let mut next_refresh = Instant::now() + REFRESH_INTERVAL;
    loop {
        let left = next_repeat.saturating_duration_since(Instant::now());
        let has_changed = timeout(left, cx.held_changed.notified()).await.is_ok();
        let mut guard = cx.state();
        let state = &mut *guard;
        let mut keys = state.held_changes.take_changed();
        if !has_changed {
            next_repeat = Instant::now() + REPEAT_INTERVAL;
            keys.extend(state.held_changes.take_repeats());
            services::notify_nodes(&cx, state);
        }
        if Instant::now() >= next_refresh {
            next_refresh = Instant::now() + REFRESH_INTERVAL;
            keys.extend(state.directory.busy_and_brittle());
        }
        report(&cx, state, keys);
    }
}

/// Reports this node's requests at these endpoints to their issuers.
fn report<W: Wire>(cx: &Cx<W>, state: &mut State, keys: BTreeSet<EndpointKey>) {
    let now = cx.now();
    let mut statements: BTreeMap<SocketAddr, Vec<HeldStatement>> = BTreeMap::new();
    for key in keys {
        let Some(entry) = state.directory.get(key) else {
            continue;
        };
        let statement = HeldStatement {
            id: entry.endpoint.id.clone(),
            born: entry.endpoint.born,
            held: entry.held_report(now).into(),
        };
        let issuers = issuers(cx, state, now, entry.number);
        for to in issuers
            .into_iter()
            .filter(|to| *to != cx.settings.listen.nodes)
        {
            statements.entry(to).or_default().push(statement.clone());
        }
    }
    for (to, statements) in statements {
        for chunk in statements.chunks(MAX_PER_DATAGRAM) {
            gossip::send_now(cx, [to].into_iter(), &Message::Held(chunk.to_vec()));
        }
    }
}

/// Applies another node's reports.
pub(crate) fn handle_reports(
    state: &mut State,
    now: Duration,
    from: SocketAddr,
    statements: &[HeldStatement],
) {
    for statement in statements {
        let known = state.directory.by_id_with_key(&statement.id);
        let known = known.filter(|(_, e)| e.endpoint.born == statement.born);
        if let Some(key) = known.map(|(key, _)| key) {
            record_report(state, now, key, from, statement.held.into());
        }
    }
}

/// Records what another node reports of its requests at an endpoint.
pub(super) fn record_report(
    state: &mut State,
    now: Duration,
    key: EndpointKey,
    from: SocketAddr,
    report: HeldReport,
) {
    let Some(entry) = state.directory.get_mut(key) else {
        return;
    };
    let rejected = entry.permits().held.record_report(now, from, report);
    let sent_at = now.saturating_sub(report.rejected_after.unwrap_or_default());
    for _ in 0..rejected {
        lower_room(state, now, key, sent_at);
    }
}

/// Lowers the limit on the requests that an endpoint holds, as it has rejected one.
pub(super) fn lower_room(state: &mut State, now: Duration, key: EndpointKey, sent_at: Duration) {
    let Some(entry) = state.directory.get_mut(key) else {
        return;
    };
    let limit = entry.lower_room(now, sent_at);
    log::info!(
        target: "permit",
        "event=room_lowered id={} places={limit:.1} known_ms={}",
        entry.endpoint.id, entry.known_for(now).as_millis()
    );
}
