//! One run: a fleet of processes, callers, operators and faults, and what all of them saw.

use crate::nemesis;
use crate::process::Process;
use crate::site::{self, Site, States, until};
use crate::work::{self, Op};
use oatdale_config::{ChangeId, Revision};
use oatdale_platform::{ConfigStore, Proposal, StoreError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

pub(crate) const NODES: usize = 4;

const CALLERS: u64 = 14;

/// How long callers go on.
const SPAN: Duration = Duration::from_secs(6);

/// A customer that may use the large model's versions only.
pub(crate) const LARGE_KEY: &str = "key-of-gamma";

/// Faults that really happened and what was under way then.
#[derive(Clone, Default, Debug)]
pub(crate) struct Tally {
    pub(crate) requests: usize,
    pub(crate) answered: usize,
    pub(crate) not_run: usize,
    pub(crate) unanswered: usize,
    pub(crate) under_way_at_faults: usize,
    pub(crate) kills: usize,
    pub(crate) killed: Vec<usize>,
    pub(crate) pauses: usize,
    pub(crate) outages: u64,
    pub(crate) lost_answers: u64,
    pub(crate) engine_faults: usize,
    pub(crate) plain_faults: usize,
    pub(crate) changes: usize,
    pub(crate) conflicts: usize,
    /// Requests that ran, whose callers got no byte, and that nobody billed.
    pub(crate) unbilled: usize,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unanswered += other.unanswered;
        self.under_way_at_faults += other.under_way_at_faults;
        self.kills += other.kills;
        self.pauses += other.pauses;
        self.outages += other.outages;
        self.lost_answers += other.lost_answers;
        self.engine_faults += other.engine_faults;
        self.plain_faults += other.plain_faults;
        self.changes += other.changes;
        self.conflicts += other.conflicts;
        self.unbilled += other.unbilled;
    }

    /// Kinds of fault that did not happen; a run without them proves nothing.
    pub(crate) fn missing(&self) -> Vec<&'static str> {
        [
            ("no request was answered", self.answered),
            ("nothing was under way at faults", self.under_way_at_faults),
            ("no kill", self.kills),
            ("no pause", self.pauses),
            ("no outage", self.outages as usize),
            ("no lost answer", self.lost_answers as usize),
            ("no engine fault", self.engine_faults),
            ("no plain fault", self.plain_faults),
            ("no configuration change", self.changes),
        ]
        .into_iter()
        .filter(|(_, count)| *count == 0)
        .map(|(what, _)| what)
        .collect()
    }
}

/// What an operator did to the configuration.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Edit {
    /// Read it.
    Read(u64),
    /// Changed it from one revision to another.
    Changed(u64, u64),
    /// Was told that somebody else had changed it from this revision.
    Conflict(u64),
    /// Was not told; it may have changed.
    Unknown(u64),
}

/// A node's revision as one caller read it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    pub(crate) node: usize,
    pub(crate) asked: Instant,
    pub(crate) told: Instant,
    pub(crate) revision: u64,
}

/// A run under way.
pub(crate) struct Run {
    pub(crate) site: Site,
    pub(crate) processes: RefCell<Vec<Option<Process>>>,
    pub(crate) addresses: RefCell<Vec<(SocketAddr, SocketAddr)>>,
    pub(crate) ops: RefCell<Vec<Op>>,
    pub(crate) seen: RefCell<Vec<Seen>>,
    pub(crate) edits: RefCell<Vec<(usize, Instant, Instant, Edit)>>,
    pub(crate) under_way: Cell<usize>,
    pub(crate) tally: RefCell<Tally>,
    pub(crate) end: Instant,
}

/// Runs a seed; returns what happened and the broken promises.
pub(crate) async fn run(seed: u64) -> (Tally, Vec<String>) {
    let mut run = start().await;
    run.end = Instant::now() + SPAN;
    let callers = (0..CALLERS).map(|n| work::call(&run, n, seed * 1000 + n));
    let operators = (0..2).map(|n| operate(&run, n, seed * 1000 + 500 + n as u64));
    futures::join!(
        futures::future::join_all(callers),
        futures::future::join_all(operators),
        nemesis::act(&run, seed),
    );
    let found = run.check().await;
    hold(seed, &run, &found).await;
    let mut tally = run.tally.into_inner();
    let counters = run.site.stand_ins.kv().counters();
    tally.outages = counters.outages;
    tally.lost_answers = counters.lost_answers;
    let missing = tally.missing().into_iter().map(str::to_owned);
    let found = found.into_iter().chain(missing).collect();
    (tally, found)
}

/// Keeps the nodes of a run that found a fault for `OATDALE_TEST_HOLD_S` seconds, so that their
/// threads can be looked at with a debugger.
async fn hold(seed: u64, run: &Run, found: &[String]) {
    let secs = std::env::var("OATDALE_TEST_HOLD_S").ok();
    let secs = secs.map_or(0, |text| text.parse().expect("whole seconds"));
    if found.is_empty() || secs == 0 {
        return;
    }
    println!(
        "seed {seed}: held for {secs} s: {:?}",
        run.addresses.borrow()
    );
    println!("seed {seed}: {found:?}");
    tokio::time::sleep(Duration::from_secs(secs)).await;
}

async fn start() -> Run {
    let site = Site::start(0).await;
    let run = Run {
        site,
        processes: RefCell::default(),
        addresses: RefCell::default(),
        ops: RefCell::default(),
        seen: RefCell::default(),
        edits: RefCell::default(),
        under_way: Cell::new(0),
        tally: RefCell::default(),
        end: Instant::now(),
    };
    let store = ConfigStore::new(run.site.stand_ins.kv().clone());
    let first = propose(&run, &site::usual_states(), Revision(1), 7_000_000);
    let applied = store.apply(first, run.end + site::LONG).await;
    applied.expect("the service is up");
    for node in 0..NODES {
        let process = run.start_process(node);
        run.addresses
            .borrow_mut()
            .push((process.callers, process.admin));
        run.processes.borrow_mut().push(Some(process));
    }
    for node in 0..NODES {
        run.wait_serving(node, NODES - 1).await;
    }
    run
}

impl Run {
    /// Starts a node, or starts it again under a new incarnation.
    pub(crate) fn start_process(&self, node: usize) -> Process {
        let alive = self.processes.borrow();
        let seeds: Vec<String> = alive
            .iter()
            .flatten()
            .map(|process| format!("\"{}\"", process.nodes))
            .collect();
        let settings = site::settings(node, None, &self.site.stand_ins);
        let settings = settings.replace("peers: []", &format!("peers: [{}]", seeds.join(", ")));
        Process::start_test("node_process", &format!("node-{node}"), &settings)
    }

    pub(crate) async fn wait_serving(&self, node: usize, peers: usize) {
        let admin = self.addresses.borrow()[node].1;
        until("the node serves and knows others", async || {
            let status = self.site.get(admin, "/v1/status", &[]).await.json();
            let alive = status["peers"].as_array().map_or(0, |all| {
                all.iter().filter(|p| p["state"] == "serving").count()
            });
            status["state"] == "serving" && alive >= peers
        })
        .await;
    }
}

fn propose(run: &Run, states: &States, seen: Revision, change: u64) -> Proposal {
    let mut text = site::text(&run.site.stand_ins, states, 0.5);
    text.push_str(&format!(
        "  gamma:\n    keys: [\"{}\"]\n    services: [drafts]\n    versions: [large/*]\n    \
         limits: {{ requests-per-second: 10000, concurrent: 5000 }}\n# {change}\n",
        site::digest(LARGE_KEY)
    ));
    Proposal {
        seen,
        change: ChangeId(change),
        operator: "operator".to_owned(),
        time: 0,
        text,
    }
}

/// Rolls versions out, drains and withdraws them, against another operator who does the same.
async fn operate(run: &Run, id: usize, seed: u64) {
    const STATES: [&str; 4] = [
        "{ state: serving",
        "{ state: draining",
        "{ state: withdrawn",
        "{ state: canary, share: 0.3",
    ];
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let store = ConfigStore::new(run.site.stand_ins.kv().clone());
    let mut change = seed * 100;
    while Instant::now() < run.end {
        change += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..250))).await;
        let limit = Instant::now() + Duration::from_secs(2);
        let asked = Instant::now();
        let Ok(Some(stored)) = store.current(limit).await else {
            continue;
        };
        let seen = stored.document.head.revision;
        run.edited(id, asked, Edit::Read(seen.0));
        let mut states = site::usual_states();
        for version in ["small/1", "large/2"] {
            states.insert(version, STATES[rng.random_range(0..STATES.len())]);
        }
        let asked = Instant::now();
        let proposal = propose(run, &states, seen, change);
        let edit = match store.apply(proposal, limit).await {
            Ok(applied) => match applied {
                oatdale_platform::Applied::Accepted(document) => {
                    Edit::Changed(seen.0, document.head.revision.0)
                }
                oatdale_platform::Applied::Superseded { ours, .. } => Edit::Changed(seen.0, ours.0),
                oatdale_platform::Applied::Unchanged(document) => {
                    Edit::Read(document.head.revision.0)
                }
            },
            Err(StoreError::Conflict { .. }) => Edit::Conflict(seen.0),
            Err(_) => Edit::Unknown(seen.0),
        };
        match edit {
            Edit::Changed(..) => run.tally.borrow_mut().changes += 1,
            Edit::Conflict(_) => run.tally.borrow_mut().conflicts += 1,
            _ => {}
        }
        run.edited(id, asked, edit);
    }
}

impl Run {
    fn edited(&self, operator: usize, asked: Instant, edit: Edit) {
        let edit = (operator, asked, Instant::now(), edit);
        self.edits.borrow_mut().push(edit);
    }
}
