//! Judges what a run saw: linearizability by `todc-utils`, and one bill a request.

use super::{ClaimResult, History, Op, Run};
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
        let unchanged = (*holder, released.clone());
        match op {
            Op::Claim(by, result) => {
                let is_free = holder.is_none() && !released.contains(by);
                let acquired = (Some(*by), released.clone());
                match result {
                    ClaimResult::Won => (is_free, if is_free { acquired } else { unchanged }),
                    ClaimResult::Lost(other) => (*holder == Some(*other), unchanged),
                    // It may stand, or come after its release and so never stand.
                    ClaimResult::Unknown => (true, if is_free { acquired } else { unchanged }),
                }
            }
            Op::Release(by) => {
                let mut released = released.clone();
                released.insert(*by);
                (true, (holder.filter(|h| h != by), released))
            }
            Op::Pin(..) => (false, unchanged),
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
        let Op::Pin(requested, effective) = op else {
            return (false, state.clone());
        };
        let resulting = state.clone().or_else(|| Some(requested.clone()));
        let valid = effective.is_none() || *effective == resulting;
        (valid, resulting)
    }
}

impl Run {
    pub(crate) async fn check(&self) -> Result<(), String> {
        self.check_histories()?;
        self.check_bills()?;
        self.check_dispatches().await
    }

    fn check_histories(&self) -> Result<(), String> {
        let observations = self.observations();
        for (key, history) in &observations.claims {
            if !is_linearizable::<ClaimSpec>(history) {
                return Err(format!("claims of {:?}: {history:?}", &key.0[..2]));
            }
        }
        for (session, history) in &observations.pins {
            if !is_linearizable::<PinSpec>(history) {
                return Err(format!("pins of {:?}: {history:?}", &session.0[..2]));
            }
        }
        Ok(())
    }

    fn check_bills(&self) -> Result<(), String> {
        let observations = self.observations();
        if let Some(request) = observations.exported_after_truncation.first() {
            return Err(format!("the bill of {request} was exported again"));
        }
        let mut bills = BTreeMap::new();
        for (request, tokens) in &observations.exported {
            let submitted = observations.submitted_closings.get(request);
            if !submitted.is_some_and(|submitted| submitted.contains(tokens)) {
                return Err(format!("nobody wrote this bill of {request}: {tokens}"));
            }
            if bills
                .insert(*request, *tokens)
                .is_some_and(|t| t != *tokens)
            {
                return Err(format!("the exported bill of {request} changed"));
            }
        }
        let is_missing = |request: &&RequestId| !bills.contains_key(request);
        match observations.acknowledged.iter().find(is_missing) {
            Some(request) => Err(format!("the acknowledged bill of {request} is lost")),
            None => Ok(()),
        }
    }

    /// Each dispatched request is alone, and a fresh node finds its claim.
    async fn check_dispatches(&self) -> Result<(), String> {
        let verifier = self.new_node(0, 99);
        let dispatched = self.observations().dispatched.clone();
        for (key, requests) in dispatched {
            if requests.len() > 1 {
                return Err(format!("{requests:?} of one key were dispatched"));
            }
            let request = self.observations().new_request_id();
            let claim_result = verifier.handle.claim(key, request).await;
            match claim_result {
                Ok(Claim::Lost { by, .. }) if by == requests[0] => {}
                other => return Err(format!("{requests:?} ran, but a fresh node got {other:?}")),
            }
        }
        Ok(())
    }
}

fn is_linearizable<S: Specification<Operation = Op>>(history: &History) -> bool {
    let mut pending: BTreeSet<usize> = BTreeSet::new();
    let mut actions = Vec::new();
    for event in &history.events {
        let op = history.ops[event.op].clone();
        // Each operation is a process of its own: callers of this history never wait in line.
        if event.is_response {
            pending.remove(&event.op);
            actions.push((event.op, Action::Response(op)));
        } else {
            pending.insert(event.op);
            actions.push((event.op, Action::Call(op)));
        }
    }
    for op in pending {
        actions.push((op, Action::Response(history.ops[op].clone())));
    }
    WGLChecker::<S>::is_linearizable(todc_utils::History::from_actions(actions))
}
