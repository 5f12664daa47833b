//! Judges what a run saw: linearizability by `todc-utils`, and one bill a request.

use super::{History, Op, Run, Told};
use oatdale_journal::{Claim, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use todc_utils::{Action, Specification, WGLChecker};

/// A claim key as callers may think of it.
struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = (Option<RequestId>, BTreeSet<RequestId>);
    type Operation = Op;

    fn init() -> Self::State {
        (None, BTreeSet::new())
    }

    fn apply(op: &Op, (holder, released): &Self::State) -> (bool, Self::State) {
        let same = (*holder, released.clone());
        match op {
            Op::Claim(by, told) => {
                let free = holder.is_none() && !released.contains(by);
                let taken = (Some(*by), released.clone());
                match told {
                    Told::Won => (free, if free { taken } else { same }),
                    Told::Lost(other) => (*holder == Some(*other), same),
                    // It may stand, or come after its release and so never stand.
                    Told::Unknown => (true, if free { taken } else { same }),
                }
            }
            Op::Release(by) => {
                let mut released = released.clone();
                released.insert(*by);
                (true, (holder.filter(|h| h != by), released))
            }
            Op::Pin(..) => (false, same),
        }
    }
}

/// A session as callers may think of it.
struct PinSpec;

impl Specification for PinSpec {
    type State = Option<String>;
    type Operation = Op;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Op, state: &Self::State) -> (bool, Self::State) {
        let Op::Pin(wanted, got) = op else {
            return (false, state.clone());
        };
        let after = state.clone().or_else(|| Some(wanted.clone()));
        let valid = got.is_none() || *got == after;
        (valid, after)
    }
}

impl Run {
    pub(crate) async fn check(&self) -> Result<(), String> {
        self.check_histories()?;
        self.check_bills()?;
        self.check_dispatches().await
    }

    fn check_histories(&self) -> Result<(), String> {
        let seen = self.seen();
        for (key, history) in &seen.claims {
            if !is_linearizable::<ClaimSpec>(history) {
                return Err(format!("claims of {:?}: {history:?}", &key.0[..2]));
            }
        }
        for (session, history) in &seen.pins {
            if !is_linearizable::<PinSpec>(history) {
                return Err(format!("pins of {:?}: {history:?}", &session.0[..2]));
            }
        }
        Ok(())
    }

    fn check_bills(&self) -> Result<(), String> {
        let seen = self.seen();
        if let Some(request) = seen.again.first() {
            return Err(format!("the bill of {request} was exported again"));
        }
        let mut bills = BTreeMap::new();
        for (request, tokens) in &seen.taken {
            let tried = seen.closings.get(request);
            if !tried.is_some_and(|tried| tried.contains(tokens)) {
                return Err(format!("nobody wrote this bill of {request}: {tokens}"));
            }
            if bills
                .insert(*request, *tokens)
                .is_some_and(|t| t != *tokens)
            {
                return Err(format!("the exported bill of {request} changed"));
            }
        }
        let lost = |request: &&RequestId| !bills.contains_key(request);
        match seen.acknowledged.iter().find(lost) {
            Some(request) => Err(format!("the acknowledged bill of {request} is lost")),
            None => Ok(()),
        }
    }

    /// Each dispatched request is alone, and a fresh node finds its claim.
    async fn check_dispatches(&self) -> Result<(), String> {
        let fresh = self.new_node(0, 99);
        let dispatched = self.seen().dispatched.clone();
        for (key, requests) in dispatched {
            if requests.len() > 1 {
                return Err(format!("{requests:?} of one key were dispatched"));
            }
            let request = self.seen().new_request();
            let found = fresh.handle.claim(key, request).await;
            match found {
                Ok(Claim::Lost { by, .. }) if by == requests[0] => {}
                other => return Err(format!("{requests:?} ran, but a fresh node got {other:?}")),
            }
        }
        Ok(())
    }
}

fn is_linearizable<S: Specification<Operation = Op>>(history: &History) -> bool {
    let mut open: BTreeSet<usize> = BTreeSet::new();
    let mut actions = Vec::new();
    for event in &history.events {
        let op = history.ops[event.op].clone();
        // Each operation is a process of its own: callers of this history never wait in line.
        if event.ends {
            open.remove(&event.op);
            actions.push((event.op, Action::Response(op)));
        } else {
            open.insert(event.op);
            actions.push((event.op, Action::Call(op)));
        }
    }
    for op in open {
        actions.push((op, Action::Response(history.ops[op].clone())));
    }
    WGLChecker::<S>::is_linearizable(todc_utils::History::from_actions(actions))
}
