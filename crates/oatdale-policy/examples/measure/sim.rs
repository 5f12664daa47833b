//! A small event queue between callers, nodes and endpoints.

mod due;
mod model;

use self::due::Due;
pub(crate) use self::model::{Flow, Job, Policy, Setup};
use crate::engine::{Engine, Started, Work};
use crate::world::{Draw, customer};
use oatdale_config::{Config, CustomerKey, DomainKey, EndpointKey, Key, VersionKey};
use oatdale_policy::{
    Ask, AttemptResult, LoadReport, Next, Offer, Outcome, Place, Refusal, Router, Session, Ticket,
    Turn,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Seconds between two reports of an engine's load.
const REPORT_EVERY: f64 = 0.1;

/// Seconds between a session's answer and its next request.
const THINKING: f64 = 0.2;

/// A caller's session.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dialog {
    flow: usize,
    customer: CustomerKey,
    pub(crate) completed: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive {
        flow: usize,
    },
    Step {
        session: usize,
        step: u32,
    },
    End {
        endpoint: usize,
        started: Started,
        sent: f64,
    },
    Measure,
    Report {
        endpoint: usize,
        report: LoadReport,
    },
    Wake {
        node: usize,
    },
}

/// One run.
pub(crate) struct Sim {
    setup: Setup,
    cfg: Arc<Config>,
    now: f64,
    made: u64,
    events: BinaryHeap<Reverse<Due>>,
    pub(crate) engines: Vec<Engine>,
    sent: Vec<Vec<(usize, u16, f64)>>,
    routers: Vec<Router>,
    reports: Vec<f64>,
    turn: usize,
    draw: Draw,
    pub(crate) jobs: Vec<Job>,
    pub(crate) sessions: Vec<Dialog>,
}

impl Sim {
    /// Runs until every request has ended.
    pub(crate) fn run(setup: Setup) -> Sim {
        let cfg = Arc::new(setup.site.config());
        let router = |node: usize| {
            let place = Place {
                domain: Some(DomainKey::from_index(node % 3)),
                seed: setup.seed * 64 + node as u64 + 1,
            };
            Router::with_tuning(cfg.clone(), place, setup.tuning)
        };
        let mut engines: Vec<Engine> = cfg
            .endpoints
            .iter()
            .map(|(_, e)| Engine::new(e.concurrency))
            .collect();
        for &(at, slowness, failing) in &setup.faults {
            engines[at].slowness = slowness;
            engines[at].failing = failing;
        }
        let mut sim = Sim {
            routers: (0..setup.nodes).map(router).collect(),
            reports: vec![0.0; engines.len()],
            sent: vec![Vec::new(); engines.len()],
            draw: Draw::new(setup.seed * 7919 + 3),
            cfg,
            now: 0.0,
            made: 0,
            events: BinaryHeap::new(),
            engines,
            turn: 0,
            jobs: Vec::new(),
            sessions: Vec::new(),
            setup,
        };
        for flow in 0..sim.setup.flows.len() {
            sim.next_arrival(flow);
        }
        sim.push(0.0, Event::Measure);
        while let Some(Reverse(due)) = sim.events.pop() {
            sim.now = due.at;
            sim.handle(due.event);
        }
        sim
    }

    /// Jobs of a flow that arrived in a span of time.
    pub(crate) fn arrived(&self, flow: usize, from: f64, to: f64) -> impl Iterator<Item = &Job> {
        self.jobs
            .iter()
            .filter(move |j| j.flow == flow && j.arrived >= from && j.arrived < to)
    }

    fn push(&mut self, at: f64, event: Event) {
        self.made += 1;
        let order = self.made;
        self.events.push(Reverse(Due { at, order, event }));
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { flow } => {
                self.arrive(flow);
                self.next_arrival(flow);
            }
            Event::Step { session, step } => self.step(session, step),
            Event::End {
                endpoint,
                started,
                sent,
            } => self.end(endpoint, started, sent),
            Event::Measure => self.measure(),
            Event::Report { endpoint, report } => self.report(endpoint, report),
            Event::Wake { node } => self.turns(node),
        }
    }

    fn next_arrival(&mut self, flow: usize) {
        let Flow { rate, surge, .. } = self.setup.flows[flow];
        // Draws at the highest rate and keeps each with the present rate's share of it.
        let highest = surge.map_or(rate, |(_, _, by)| rate * by.max(1.0));
        let mut at = self.now;
        loop {
            at += self.draw.exponential(1.0 / highest);
            let now = match surge {
                Some((from, to, by)) if at >= from && at < to => rate * by,
                _ => rate,
            };
            if self.draw.unit() * highest < now {
                break;
            }
        }
        let until = self.setup.flows[flow].until.unwrap_or(self.setup.length);
        if at < until {
            self.push(at, Event::Arrive { flow });
        }
    }

    fn arrive(&mut self, flow: usize) {
        let kind = &self.setup.flows[flow];
        let (only, steps) = (kind.customer, kind.steps);
        let any = customer(&mut self.draw, self.setup.site.customers);
        let customer = only.unwrap_or(any);
        if steps == 0 {
            self.request(flow, customer, None);
            return;
        }
        self.sessions.push(Dialog {
            flow,
            customer,
            completed: None,
        });
        self.step(self.sessions.len() - 1, 0);
    }

    fn step(&mut self, session: usize, step: u32) {
        let Dialog { flow, customer, .. } = self.sessions[session];
        if self.now < self.setup.length {
            self.request(flow, customer, Some((session, step)));
        }
    }

    /// A session's request was answered in time, or was not: then the session begins again.
    fn step_over(&mut self, job: usize, retry_after: Option<Duration>) {
        let Some((session, step)) = self.jobs[job].session else {
            return;
        };
        let dialog = self.sessions[session];
        let is_good = self.jobs[job].is_good();
        match is_good {
            true if step + 1 == self.setup.flows[dialog.flow].steps => {
                self.sessions[session].completed = Some(self.now);
            }
            true => {
                let step = step + 1;
                self.push(self.now + THINKING, Event::Step { session, step });
            }
            false => {
                let told = retry_after.map_or(1.0, |d| d.as_secs_f64());
                let at = self.now + self.setup.comes_back.unwrap_or(told);
                self.push(at, Event::Step { session, step: 0 });
            }
        }
    }

    fn request(&mut self, flow: usize, customer: CustomerKey, session: Option<(usize, u32)>) {
        let kind = self.setup.flows[flow].clone();
        let input = self.draw.log_normal(kind.input.max(1.0), 0.4) as u32;
        let output = self.draw.log_normal(kind.output, 0.4).max(1.0) as u32;
        let prefix = self.draw.below(kind.prefixes.max(1)) as u64;
        let node = self.draw.below(self.setup.nodes);
        let job = self.jobs.len();
        self.jobs.push(Job {
            flow,
            customer,
            arrived: self.now,
            deadline: self.now + kind.deadline,
            work: Work {
                job,
                attempt: 0,
                input: if kind.input > 0.0 { input } else { 0 },
                output,
                prefix: (flow as u64) << 32 | prefix,
            },
            attempts: 0,
            first_byte: None,
            done: None,
            refused: None,
            session,
            node,
            ticket: None,
        });
        match self.setup.policy {
            Policy::Oatdale => self.offer(job),
            Policy::Random | Policy::RoundRobin | Policy::LeastReported => {
                let endpoint = self.simple_choice(job);
                self.send(job, 1, endpoint);
            }
        }
    }

    fn simple_choice(&mut self, job: usize) -> usize {
        let service = self.setup.flows[self.jobs[job].flow].service;
        let pool = self.cfg.services[service].pool;
        let endpoints = &self.cfg.pools[pool].endpoints;
        match self.setup.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                endpoints[self.turn % endpoints.len()].index()
            }
            Policy::LeastReported => endpoints
                .iter()
                .map(|e| e.index())
                .min_by(|&a, &b| self.reports[a].total_cmp(&self.reports[b]))
                .expect("a pool has endpoints"),
            Policy::Random | Policy::Oatdale => endpoints[self.draw.below(endpoints.len())].index(),
        }
    }

    fn offer(&mut self, job: usize) {
        let now = self.time();
        let draw = self.draw.bits();
        let j = &self.jobs[job];
        let ask = Ask {
            customer: j.customer,
            service: self.setup.flows[j.flow].service,
            idempotent: true,
            session: match j.session {
                None => Session::None,
                Some((_, 0)) => Session::Opens,
                Some((_, step)) => Session::Pinned {
                    version: VersionKey::from_index(0),
                    step,
                },
            },
            deadline: Duration::from_secs_f64(j.deadline),
            input_tokens: j.work.input,
            output_tokens: j.work.output,
            prefix: j.work.prefix,
            draw,
            stream: true,
            class: j.flow as u8,
        };
        let node = j.node;
        match self.routers[node].offer(now, &ask) {
            Offer::Run(d) => {
                self.jobs[job].ticket = Some(d.ticket);
                self.send(job, d.attempt, d.endpoint.index());
            }
            Offer::Wait(ticket) => {
                self.jobs[job].ticket = Some(ticket);
                self.wake_later(node);
            }
            Offer::Refuse(refusal) => self.refuse(job, refusal),
        }
    }

    fn wake_later(&mut self, node: usize) {
        if let Some(at) = self.routers[node].next_wake() {
            let at = at.as_secs_f64().max(self.now + 1e-6);
            self.push(at, Event::Wake { node });
        }
    }

    fn turns(&mut self, node: usize) {
        let now = self.time();
        while let Some((ticket, turn)) = self.routers[node].next_turn(now) {
            let job = self.job_of(node, ticket);
            match turn {
                Turn::Run(d) => self.send(job, d.attempt, d.endpoint.index()),
                Turn::Refuse(refusal) => self.refuse(job, refusal),
            }
        }
    }

    fn job_of(&self, node: usize, ticket: Ticket) -> usize {
        let is_it = |j: &Job| j.node == node && j.ticket == Some(ticket);
        self.jobs
            .iter()
            .rposition(is_it)
            .expect("the ticket has a job")
    }

    fn send(&mut self, job: usize, attempt: u16, endpoint: usize) {
        self.jobs[job].attempts += 1;
        let mut work = self.jobs[job].work;
        work.attempt = attempt;
        self.sent[endpoint].push((job, attempt, self.now));
        let started = self.engines[endpoint].submit(self.now, work, &mut self.draw);
        self.started(endpoint, started);
    }

    fn started(&mut self, endpoint: usize, started: Option<Started>) {
        let Some(started) = started else { return };
        let (job, attempt) = (started.work.job, started.work.attempt);
        let at = self.sent[endpoint]
            .iter()
            .position(|&(j, a, _)| (j, a) == (job, attempt))
            .expect("what starts was sent");
        let (_, _, sent) = self.sent[endpoint].swap_remove(at);
        let end = Event::End {
            endpoint,
            started,
            sent,
        };
        self.push(started.end, end);
    }

    fn end(&mut self, endpoint: usize, started: Started, sent: f64) {
        let next = self.engines[endpoint].end(self.now, &mut self.draw);
        self.started(endpoint, next);
        let job = started.work.job;
        let is_whole = matches!(started.result, AttemptResult::Complete { .. });
        if is_whole {
            self.jobs[job].first_byte = Some(started.first_byte);
            self.jobs[job].done = Some(self.now);
        }
        if self.setup.policy != Policy::Oatdale {
            self.simple_end(job, started.work.attempt, is_whole);
            return;
        }
        let (node, Some(ticket)) = (self.jobs[job].node, self.jobs[job].ticket) else {
            return;
        };
        let outcome = Outcome {
            result: started.result,
            forwarded: false,
            first_byte: is_whole.then(|| Duration::from_secs_f64(started.first_byte - sent)),
            total: Duration::from_secs_f64(self.now - sent),
        };
        let now = self.time();
        match self.routers[node].finish(now, ticket, &outcome) {
            Next::Run(d) => self.send(job, d.attempt, d.endpoint.index()),
            Next::Done => {
                self.jobs[job].ticket = None;
                self.step_over(job, None);
            }
            Next::Refuse(refusal) => self.refuse(job, refusal),
        }
        self.turns(node);
    }

    fn refuse(&mut self, job: usize, refusal: Refusal) {
        self.jobs[job].ticket = None;
        self.jobs[job].refused = Some(self.now);
        self.step_over(job, refusal.retry_after);
    }

    /// The end of an attempt under a simple policy, which tries again at once.
    fn simple_end(&mut self, job: usize, attempt: u16, is_whole: bool) {
        if !is_whole && u32::from(attempt) < self.setup.attempts {
            let endpoint = self.simple_choice(job);
            self.send(job, attempt + 1, endpoint);
        }
    }

    fn measure(&mut self) {
        let age = Duration::from_secs_f64(self.setup.lag);
        for endpoint in 0..self.engines.len() {
            let (running, waiting) = self.engines[endpoint].load();
            let report = LoadReport {
                running,
                waiting,
                age,
            };
            self.push(
                self.now + self.setup.lag,
                Event::Report { endpoint, report },
            );
        }
        if self.now < self.setup.length {
            self.push(self.now + REPORT_EVERY, Event::Measure);
        }
    }

    fn report(&mut self, endpoint: usize, report: LoadReport) {
        self.reports[endpoint] = f64::from(report.running + report.waiting);
        if self.setup.policy != Policy::Oatdale {
            return;
        }
        let now = self.time();
        for node in 0..self.routers.len() {
            self.routers[node].observe_load(now, EndpointKey::from_index(endpoint), report);
            self.turns(node);
        }
    }
}
