//! Checks the observations of a run: linearizability by `todc-utils`, and exactly one bill per
//! request.

use super::{ClaimResult, History, Op, Run};
use oatdale_journal::{Claim, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use todc_utils::{Action, Specification, WGLChecker};

/// Sequential specification of a claim key: its holder and the released requests.
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
                    // The claim may be in effect, or have no effect because its release came first.
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

/// Sequential specification of a session: the pinned version.
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
                return Err(format!(
                    "claims of key {:?} are not linearizable: {history:?}",
                    &key.0[..2]
                ));
            }
        }
        for (session, history) in &observations.pins {
            if !is_linearizable::<PinSpec>(history) {
                return Err(format!(
                    "pins of session {:?} are not linearizable: {history:?}",
                    &session.0[..2]
                ));
            }
        }
        Ok(())
    }

    fn check_bills(&self) -> Result<(), String> {
        let observations = self.observations();
        if let Some(request) = observations.exported_after_truncation.first() {
            return Err(format!(
                "the bill of {request} was exported after its truncation"
            ));
        }
        let mut bills = BTreeMap::new();
        for (request, tokens) in &observations.exported {
            let submitted = observations.submitted_closings.get(request);
            if !submitted.is_some_and(|submitted| submitted.contains(tokens)) {
                return Err(format!(
                    "exported bill of {request} with {tokens} tokens was never submitted"
                ));
            }
            if bills
                .insert(*request, *tokens)
                .is_some_and(|t| t != *tokens)
            {
                return Err(format!("the bill of {request} differs between exports"));
            }
        }
        let is_missing = |request: &&RequestId| !bills.contains_key(request);
        match observations.acknowledged.iter().find(is_missing) {
            Some(request) => Err(format!("the acknowledged bill of {request} is lost")),
            None => Ok(()),
        }
    }

    /// Checks that at most one request per key was dispatched and that a new node finds its claim.
    async fn check_dispatches(&self) -> Result<(), String> {
        let verifier = self.new_node(0, 99);
        let dispatched = self.observations().dispatched.clone();
        for (key, requests) in dispatched {
            if requests.len() > 1 {
                return Err(format!(
                    "more than one request of a key was dispatched: {requests:?}"
                ));
            }
            let request = self.observations().new_request_id();
            let claim_result = verifier.handle.claim(key, request).await;
            match claim_result {
                Ok(Claim::Lost { by, .. }) if by == requests[0] => {}
                other => return Err(format!("{requests:?} ran, but a new node got {other:?}")),
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
        // Each operation is a separate process, since operations on a key may overlap freely.
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
