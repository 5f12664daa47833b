//! Checks what must always hold.

use crate::run::{Edit, LARGE_KEY, Run};
use crate::site;
use crate::work::{Kind, Op};
use oatdale_config::{Revision, VersionState};
use oatdale_fakes::{EngineHandle, KvFaults, Plain, text};
use oatdale_platform::ConfigStore;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use todc_utils::{Action, History, Specification, WGLChecker};
use tokio::time::Instant;

/// Far more than a request's own limit and the longest pause of a node together.
const PATIENCE: Duration = Duration::from_secs(12);

/// The versions that take nothing at each revision.
type Withdrawn = BTreeMap<u64, BTreeSet<String>>;

impl Run {
    /// Ends all faults, waits for the bills and returns every broken promise.
    pub(crate) async fn check(&self) -> Vec<String> {
        self.site.stand_ins.kv().set_faults(KvFaults::default());
        let mut found = Vec::new();
        let withdrawn = self.withdrawn().await;
        self.check_bills(&mut found).await;
        let ops = self.ops.borrow();
        self.count(&ops);
        for op in ops.iter() {
            check_answer(op, &mut found);
            if op.told.duration_since(op.asked) > PATIENCE {
                found.push(format!("no end in {PATIENCE:?}: {op:?}"));
            }
        }
        self.check_versions(&ops, &withdrawn, &mut found);
        self.check_not_run(&ops, &mut found);
        self.check_once(&ops, &mut found);
        check_sessions(&ops, &mut found);
        self.check_revisions(&mut found);
        found
    }

    fn count(&self, ops: &[Op]) {
        let mut tally = self.tally.borrow_mut();
        tally.requests = ops.len();
        tally.answered = ops.iter().filter(|op| op.success()).count();
        tally.not_run = ops.iter().filter(|op| op.not_run()).count();
        tally.unanswered = ops.iter().filter(|op| op.got.is_none()).count();
    }

    /// What ran, by request id: the versions that engines began it on, or the desk's path.
    fn ran(&self) -> BTreeMap<String, Vec<String>> {
        let mut ran = BTreeMap::<_, Vec<_>>::new();
        let engines = self.site.stand_ins.engines().iter();
        for call in engines.flat_map(EngineHandle::calls) {
            ran.entry(call.request).or_default().push(call.version);
        }
        for call in self.site.stand_ins.plain().iter().flat_map(Plain::calls) {
            ran.entry(call.request).or_default().push(call.path);
        }
        ran
    }

    async fn withdrawn(&self) -> Withdrawn {
        let store = ConfigStore::new(self.site.stand_ins.kv().clone());
        let end = Instant::now() + site::LONG;
        let current = store.current(end).await.expect("the service is up");
        let newest = current.expect("there is one").document.head.revision.0;
        let mut all = Withdrawn::new();
        for revision in 1..=newest {
            let document = store.at(Revision(revision), end).await;
            let document = document.expect("the service is up");
            let Some(document) = document else { continue };
            let cfg = oatdale_config::from_str(&document.text).expect("it was checked");
            let gone = cfg
                .versions
                .iter()
                .filter(|(_, version)| version.state == VersionState::Withdrawn)
                .map(|(key, _)| cfg.version_name(key));
            all.insert(revision, gone.collect());
        }
        all
    }

    /// A customer's requests begin on its own versions only, and a version that is withdrawn at
    /// every revision that its node may have had meanwhile gets none.
    fn check_versions(&self, ops: &[Op], withdrawn: &Withdrawn, found: &mut Vec<String>) {
        let ran = self.ran();
        // By when each revision was there for sure is not known; that it was not there before the
        // edit began is.
        let edits = self.edits.borrow();
        let newest_by = |at: Instant| {
            edits
                .iter()
                .filter(|(_, asked, ..)| *asked <= at)
                .map(|(_, _, _, edit)| match edit {
                    Edit::Read(revision) => *revision,
                    Edit::Changed(_, to) => *to,
                    Edit::Conflict(seen) | Edit::Unknown(seen) => seen + 1,
                })
                .max()
        };
        for op in ops {
            let Kind::Chat { .. } = op.kind else { continue };
            let Some(versions) = op.request().and_then(|id| ran.get(&id)) else {
                continue;
            };
            for version in versions {
                if op.key == LARGE_KEY && !version.starts_with("large/") {
                    found.push(format!("not allowed: {version} for {op:?}"));
                }
                let newest = newest_by(op.told).unwrap_or_default().max(op.revision);
                let mut possible = withdrawn.range(op.revision..=newest);
                if op.revision > 0 && possible.all(|(_, gone)| gone.contains(version)) {
                    found.push(format!("withdrawn: {version} for {op:?}"));
                }
            }
        }
    }

    fn check_not_run(&self, ops: &[Op], found: &mut Vec<String>) {
        let ran = self.ran();
        for op in ops.iter().filter(|op| op.not_run()) {
            if op.request().is_some_and(|id| ran.contains_key(&id)) {
                found.push(format!("ran though it says not-run: {op:?}"));
            }
        }
    }

    /// A confirmation runs at most once, and its callers' answers are those of a slot that can be
    /// taken once.
    fn check_once(&self, ops: &[Op], found: &mut Vec<String>) {
        let mut runs = BTreeMap::<String, usize>::new();
        for call in self.site.stand_ins.plain().iter().flat_map(Plain::calls) {
            *runs.entry(call.path).or_default() += 1;
        }
        let twice = |(path, count): &(&String, &usize)| path.ends_with("/confirm") && **count > 1;
        for (path, count) in runs.iter().filter(twice) {
            found.push(format!("{path} ran {count} times"));
        }
        let mut slots = BTreeMap::<&str, Vec<(usize, Instant, Instant, Told)>>::new();
        for op in ops {
            if let Kind::Confirm { path, keyed: true } = &op.kind {
                let told = match (op.success(), op.not_run()) {
                    (true, _) => Told::Done,
                    (_, true) => Told::NotRun,
                    _ => Told::Unknown,
                };
                let op = (op.caller as usize, op.asked, op.told, told);
                slots.entry(path).or_default().push(op);
            }
        }
        for (path, history) in slots {
            if !is_linearizable::<Slot>(&history) {
                found.push(format!("{path}: {history:?}"));
            }
        }
    }

    /// Every request that ran has one bill, but for those whose node was killed before any word of
    /// them went to their callers; those are counted.
    async fn check_bills(&self, found: &mut Vec<String>) {
        let ran = self.ran();
        let told: BTreeMap<String, bool> = {
            let ops = self.ops.borrow();
            let told = ops
                .iter()
                .filter_map(|op| Some((op.request()?, op.not_run())));
            told.collect()
        };
        let must: BTreeSet<&String> = ran
            .keys()
            .filter(|id| told.get(*id) == Some(&false))
            .collect();
        let end = Instant::now() + site::LONG;
        let mut ids: Vec<String>;
        let mut quiet = 0;
        loop {
            let bills = self.site.bills().await;
            let before = bills.len();
            ids = bills.iter().map(|bill| bill.request.to_string()).collect();
            let have: BTreeSet<&String> = ids.iter().collect();
            let all = must.iter().all(|id| have.contains(id));
            quiet = if all { quiet + 1 } else { 0 };
            if quiet > 4 || Instant::now() > end {
                break;
            }
            tokio::time::sleep(Duration::from_millis(if before == 0 { 200 } else { 500 })).await;
        }
        let have: BTreeSet<&String> = ids.iter().collect();
        for id in must.iter().filter(|id| !have.contains(**id)) {
            found.push(format!("{id} has no bill"));
        }
        if have.len() != ids.len() {
            found.push("a request has two bills".to_owned());
        }
        for id in have.iter().filter(|id| told.get(**id) == Some(&true)) {
            found.push(format!("{id} has a bill though it says not-run"));
        }
        let unbilled = ran.keys().filter(|id| !have.contains(id)).count();
        self.tally.borrow_mut().unbilled = unbilled;
    }

    /// No node ever shows an older revision, and the operators' history is that of one register.
    fn check_revisions(&self, found: &mut Vec<String>) {
        let mut seen = self.seen.borrow().clone();
        seen.sort_by_key(|seen| seen.told);
        for (i, later) in seen.iter().enumerate() {
            let before = seen[..i].iter().filter(|s| s.node == later.node);
            let before = before.filter(|s| s.told < later.asked);
            let newest = before.map(|s| s.revision).max().unwrap_or_default();
            if later.revision != 0 && later.revision < newest {
                found.push(format!("went back from {newest}: {later:?}"));
            }
        }
        if !is_linearizable::<Register>(&self.edits.borrow()) {
            found.push(format!("operators: {:?}", self.edits.borrow()));
        }
    }
}

/// An answer that claims to be whole is the whole answer to its own request.
fn check_answer(op: &Op, found: &mut Vec<String>) {
    let Some(got) = &op.got else { return };
    let text = got.text();
    let whole = match &op.kind {
        Kind::Chat { prompt, stream } => {
            let version = op.version().unwrap_or_default();
            let reference = text::reference(version, &format!("user: {prompt}"));
            let ended = !stream || text.trim_end().ends_with("data: [DONE]");
            ended && text.contains(&reference)
        }
        Kind::Lookup { path } | Kind::Confirm { path, .. } => got.json()["path"] == path.as_str(),
    };
    if op.success() && !whole {
        found.push(format!("not the whole answer to its own request: {op:?}"));
    }
    if !op.success() && text.contains("[DONE]") && text.contains("may-have-run") {
        found.push(format!("both an end and an error: {op:?}"));
    }
}

fn check_sessions(ops: &[Op], found: &mut Vec<String>) {
    let mut sessions = BTreeMap::<&str, BTreeSet<&str>>::new();
    for op in ops {
        if let (Some(session), Some(version)) = (&op.session, op.version()) {
            sessions.entry(session).or_default().insert(version);
        }
    }
    for (session, versions) in sessions.iter().filter(|(_, versions)| versions.len() > 1) {
        found.push(format!("session {session} had {versions:?}"));
    }
}

/// What a caller was told of a confirmation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

/// A slot that is confirmed at most once for one key.
struct Slot;

impl Specification for Slot {
    type State = bool;
    type Operation = Told;

    fn init() -> bool {
        false
    }

    fn apply(told: &Told, taken: &bool) -> (bool, bool) {
        match told {
            Told::Done => (!taken, true),
            Told::NotRun | Told::Unknown => (true, *taken),
        }
    }
}

/// The configuration's revision, changed by compare-and-swap.
struct Register;

impl Specification for Register {
    type State = (u64, BTreeSet<u64>);
    type Operation = Edit;

    fn init() -> Self::State {
        (2, BTreeSet::new())
    }

    fn apply(edit: &Edit, (revision, unknown): &Self::State) -> (bool, Self::State) {
        // An edit without an answer may still take effect later, once, from what it saw.
        let mut reach = *revision;
        while unknown.contains(&reach) {
            reach += 1;
        }
        let mut unknown = unknown.clone();
        match edit {
            Edit::Read(read) => {
                let holds = (*revision..=reach).contains(read);
                (holds, (*read.max(revision), unknown))
            }
            Edit::Changed(from, to) => {
                let holds = (*revision..=reach).contains(from) && *to == from + 1;
                (holds, (*to, unknown))
            }
            Edit::Conflict(seen) => (reach > *seen, (*revision, unknown)),
            Edit::Unknown(seen) => {
                unknown.insert(*seen);
                (true, (*revision, unknown))
            }
        }
    }
}

fn is_linearizable<S: Specification>(ops: &[(usize, Instant, Instant, S::Operation)]) -> bool
where
    S::Operation: Clone,
{
    let mut actions: Vec<(Instant, usize, Action<S::Operation>)> = Vec::new();
    for (process, asked, told, op) in ops {
        actions.push((*asked, *process, Action::Call(op.clone())));
        actions.push((*told, *process, Action::Response(op.clone())));
    }
    actions.sort_by_key(|(at, ..)| *at);
    let actions = actions.into_iter().map(|(_, id, action)| (id, action));
    WGLChecker::<S>::is_linearizable(History::from_actions(actions.collect()))
}
