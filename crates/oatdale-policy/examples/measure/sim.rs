//! Discrete-event simulation of callers, nodes and endpoints.

mod event;
mod model;

use self::event::ScheduledEvent;
pub(crate) use self::model::{Flow, Job, Policy, Setup};
use crate::engine::{Engine, Started, Work};
use crate::site::{SimRng, random_customer};
use oatdale_config::{Config, CustomerKey, DomainKey, EndpointKey, Key, VersionKey};
use oatdale_policy::{
    AdmissionDecision, AttemptDecision, AttemptResult, LoadReport, NodeIdentity, Outcome,
    QueueDecision, Refusal, RequestInfo, Router, Session, Ticket,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two load reports of an endpoint.
const LOAD_REPORT_INTERVAL_S: f64 = 0.1;

/// Time between a response and the next request of the session.
const THINK_TIME_S: f64 = 0.2;

/// Session of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerSession {
    flow: usize,
    customer: CustomerKey,
    /// Time at which the last request of the session was answered in time.
    pub(crate) completed_at: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller sends a request or opens a session.
    Arrive { flow: usize },
    /// A caller sends the next request of its session.
    Step { session: usize, step: u32 },
    /// An attempt ends at its endpoint.
    End {
        endpoint: usize,
        started: Started,
        sent_at: f64,
    },
    /// The load of all endpoints is measured.
    SampleLoad,
    /// A load report arrives at the nodes.
    DeliverReport { endpoint: usize, report: LoadReport },
    /// A node's router is called at the time that it asked for.
    Wake { node: usize },
}

/// State of one run.
pub(crate) struct Sim {
    setup: Setup,
    cfg: Arc<Config>,
    now: f64,
    /// Events scheduled so far.
    event_count: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    pub(crate) engines: Vec<Engine>,
    /// For each endpoint, the attempts that were sent but have not started: job, number of the
    /// attempt and time of sending.
    pending_attempts: Vec<Vec<(usize, u16, f64)>>,
    routers: Vec<Router>,
    /// Running and queued requests of each endpoint according to its last report.
    reported_loads: Vec<f64>,
    /// Requests placed by [`Policy::RoundRobin`] so far.
    round_robin: usize,
    rng: SimRng,
    pub(crate) jobs: Vec<Job>,
    pub(crate) sessions: Vec<CallerSession>,
}

impl Sim {
    /// Runs until every request has ended.
    pub(crate) fn run(setup: Setup) -> Sim {
        let cfg = Arc::new(setup.site.config());
        let router = |node: usize| {
            let identity = NodeIdentity {
                domain: Some(DomainKey::from_index(node % 3)),
                seed: setup.seed * 64 + node as u64 + 1,
            };
            Router::with_tuning(cfg.clone(), identity, setup.tuning)
        };
        let mut engines: Vec<Engine> = cfg
            .endpoints
            .iter()
            .map(|(_, e)| Engine::new(e.concurrency))
            .collect();
        for &(faulty, slowdown, failure_rate) in &setup.faults {
            engines[faulty].slowdown = slowdown;
            engines[faulty].failure_rate = failure_rate;
        }
        let mut sim = Sim {
            routers: (0..setup.nodes).map(router).collect(),
            reported_loads: vec![0.0; engines.len()],
            pending_attempts: vec![Vec::new(); engines.len()],
            rng: SimRng::new(setup.seed * 7919 + 3),
            cfg,
            now: 0.0,
            event_count: 0,
            events: BinaryHeap::new(),
            engines,
            round_robin: 0,
            jobs: Vec::new(),
            sessions: Vec::new(),
            setup,
        };
        for flow in 0..sim.setup.flows.len() {
            sim.schedule_arrival(flow);
        }
        sim.schedule(0.0, Event::SampleLoad);
        while let Some(Reverse(scheduled)) = sim.events.pop() {
            sim.now = scheduled.at;
            sim.handle(scheduled.event);
        }
        sim
    }

    /// Returns the jobs of a flow that arrived in `from..to`.
    pub(crate) fn arrivals(&self, flow: usize, from: f64, to: f64) -> impl Iterator<Item = &Job> {
        self.jobs
            .iter()
            .filter(move |j| j.flow == flow && j.arrived_at >= from && j.arrived_at < to)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.event_count += 1;
        let sequence = self.event_count;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    /// Returns the simulated time since the start.
    fn elapsed(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { flow } => {
                self.arrive(flow);
                self.schedule_arrival(flow);
            }
            Event::Step { session, step } => self.request_step(session, step),
            Event::End {
                endpoint,
                started,
                sent_at,
            } => self.end(endpoint, started, sent_at),
            Event::SampleLoad => self.sample_load(),
            Event::DeliverReport { endpoint, report } => self.deliver_report(endpoint, report),
            Event::Wake { node } => self.process_queue(node),
        }
    }

    /// Draws the time of the next arrival of a flow, a Poisson process, by thinning.
    fn schedule_arrival(&mut self, flow: usize) {
        let Flow { rate, surge, .. } = self.setup.flows[flow];
        // Arrivals are drawn at the peak rate and kept with the probability `current / peak`.
        let peak_rate = surge.map_or(rate, |(_, _, factor)| rate * factor.max(1.0));
        let mut at = self.now;
        loop {
            at += self.rng.exponential(1.0 / peak_rate);
            let current_rate = match surge {
                Some((from, to, factor)) if at >= from && at < to => rate * factor,
                _ => rate,
            };
            if self.rng.uniform() * peak_rate < current_rate {
                break;
            }
        }
        let until = self.setup.flows[flow].until.unwrap_or(self.setup.length);
        if at < until {
            self.schedule(at, Event::Arrive { flow });
        }
    }

    fn arrive(&mut self, flow: usize) {
        let flow_spec = &self.setup.flows[flow];
        let (fixed_customer, steps) = (flow_spec.customer, flow_spec.steps);
        let drawn_customer = random_customer(&mut self.rng, self.setup.site.customers);
        let customer = fixed_customer.unwrap_or(drawn_customer);
        if steps == 0 {
            self.create_request(flow, customer, None);
            return;
        }
        self.sessions.push(CallerSession {
            flow,
            customer,
            completed_at: None,
        });
        self.request_step(self.sessions.len() - 1, 0);
    }

    /// Sends a request of a session, unless the run's time for arrivals is over.
    fn request_step(&mut self, session: usize, step: u32) {
        let CallerSession { flow, customer, .. } = self.sessions[session];
        if self.now < self.setup.length {
            self.create_request(flow, customer, Some((session, step)));
        }
    }

    /// Schedules the next step of a session if its request was answered in time, and the restart of
    /// the session otherwise.
    fn advance_session(&mut self, job: usize, retry_after: Option<Duration>) {
        let Some((session, step)) = self.jobs[job].session else {
            return;
        };
        let caller_session = self.sessions[session];
        let met_deadline = self.jobs[job].met_deadline();
        match met_deadline {
            true if step + 1 == self.setup.flows[caller_session.flow].steps => {
                self.sessions[session].completed_at = Some(self.now);
            }
            true => {
                let step = step + 1;
                self.schedule(self.now + THINK_TIME_S, Event::Step { session, step });
            }
            false => {
                let advised_delay = retry_after.map_or(1.0, |d| d.as_secs_f64());
                let at = self.now + self.setup.fixed_retry_delay.unwrap_or(advised_delay);
                self.schedule(at, Event::Step { session, step: 0 });
            }
        }
    }

    fn create_request(
        &mut self,
        flow: usize,
        customer: CustomerKey,
        session: Option<(usize, u32)>,
    ) {
        let flow_spec = self.setup.flows[flow].clone();
        let input = self.rng.log_normal(flow_spec.input.max(1.0), 0.4) as u32;
        let output = self.rng.log_normal(flow_spec.output, 0.4).max(1.0) as u32;
        let prefix = self.rng.below(flow_spec.prefixes.max(1)) as u64;
        let node = self.rng.below(self.setup.nodes);
        let job = self.jobs.len();
        self.jobs.push(Job {
            flow,
            customer,
            arrived_at: self.now,
            deadline: self.now + flow_spec.deadline,
            work: Work {
                job,
                attempt: 0,
                input: if flow_spec.input > 0.0 { input } else { 0 },
                output,
                prefix: (flow as u64) << 32 | prefix,
            },
            attempts: 0,
            first_byte_at: None,
            done_at: None,
            refused_at: None,
            session,
            node,
            ticket: None,
        });
        match self.setup.policy {
            Policy::Oatdale => self.offer(job),
            Policy::Random | Policy::RoundRobin | Policy::LeastReported => {
                let endpoint = self.baseline_endpoint(job);
                self.send(job, 1, endpoint);
            }
        }
    }

    /// Returns the endpoint that a policy other than [`Policy::Oatdale`] chooses.
    fn baseline_endpoint(&mut self, job: usize) -> usize {
        let service = self.setup.flows[self.jobs[job].flow].service;
        let pool = self.cfg.services[service].pool;
        let endpoints = &self.cfg.pools[pool].endpoints;
        match self.setup.policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                endpoints[self.round_robin % endpoints.len()].index()
            }
            Policy::LeastReported => endpoints
                .iter()
                .map(|e| e.index())
                .min_by(|&a, &b| self.reported_loads[a].total_cmp(&self.reported_loads[b]))
                .expect("pool without endpoints"),
            Policy::Random | Policy::Oatdale => endpoints[self.rng.below(endpoints.len())].index(),
        }
    }

    fn offer(&mut self, job: usize) {
        let now = self.elapsed();
        let rollout_hash = self.rng.random_bits();
        let j = &self.jobs[job];
        let info = RequestInfo {
            customer: j.customer,
            service: self.setup.flows[j.flow].service,
            idempotent: true,
            session: match j.session {
                None => Session::None,
                Some((_, 0)) => Session::Open,
                Some((_, step)) => Session::Pinned {
                    version: VersionKey::from_index(0),
                    step,
                },
            },
            deadline: Duration::from_secs_f64(j.deadline),
            input_tokens: j.work.input,
            output_tokens: j.work.output,
            prefix: j.work.prefix,
            rollout_hash,
            stream: true,
            class: j.flow as u8,
        };
        let node = j.node;
        match self.routers[node].offer(now, &info) {
            AdmissionDecision::Run(d) => {
                self.jobs[job].ticket = Some(d.ticket);
                self.send(job, d.attempt, d.endpoint.index());
            }
            AdmissionDecision::Wait(ticket) => {
                self.jobs[job].ticket = Some(ticket);
                self.schedule_wake(node);
            }
            AdmissionDecision::Refuse(refusal) => self.refuse(job, refusal),
        }
    }

    /// Schedules the next call that the node's router asks for.
    fn schedule_wake(&mut self, node: usize) {
        if let Some(at) = self.routers[node].next_wake() {
            let at = at.as_secs_f64().max(self.now + 1e-6);
            self.schedule(at, Event::Wake { node });
        }
    }

    /// Sends or refuses the queued requests on which the router has decided.
    fn process_queue(&mut self, node: usize) {
        let now = self.elapsed();
        while let Some((ticket, decision)) = self.routers[node].poll_queue(now) {
            let job = self.job_of(node, ticket);
            match decision {
                QueueDecision::Run(d) => self.send(job, d.attempt, d.endpoint.index()),
                QueueDecision::Refuse(refusal) => self.refuse(job, refusal),
            }
        }
    }

    fn job_of(&self, node: usize, ticket: Ticket) -> usize {
        let is_match = |j: &Job| j.node == node && j.ticket == Some(ticket);
        self.jobs
            .iter()
            .rposition(is_match)
            .expect("ticket without a job")
    }

    fn send(&mut self, job: usize, attempt: u16, endpoint: usize) {
        self.jobs[job].attempts += 1;
        let mut work = self.jobs[job].work;
        work.attempt = attempt;
        self.pending_attempts[endpoint].push((job, attempt, self.now));
        let started = self.engines[endpoint].submit(self.now, work, &mut self.rng);
        self.schedule_end(endpoint, started);
    }

    /// Schedules the end of an attempt that has started.
    fn schedule_end(&mut self, endpoint: usize, started: Option<Started>) {
        let Some(started) = started else { return };
        let (job, attempt) = (started.work.job, started.work.attempt);
        let pending_index = self.pending_attempts[endpoint]
            .iter()
            .position(|&(j, a, _)| (j, a) == (job, attempt))
            .expect("started attempt was not sent");
        let (_, _, sent_at) = self.pending_attempts[endpoint].swap_remove(pending_index);
        let end = Event::End {
            endpoint,
            started,
            sent_at,
        };
        self.schedule(started.end, end);
    }

    fn end(&mut self, endpoint: usize, started: Started, sent_at: f64) {
        let next = self.engines[endpoint].end(self.now, &mut self.rng);
        self.schedule_end(endpoint, next);
        let job = started.work.job;
        let is_complete = matches!(started.result, AttemptResult::Complete { .. });
        if is_complete {
            self.jobs[job].first_byte_at = Some(started.first_byte_at);
            self.jobs[job].done_at = Some(self.now);
        }
        if self.setup.policy != Policy::Oatdale {
            self.end_baseline_attempt(job, started.work.attempt, is_complete);
            return;
        }
        let (node, Some(ticket)) = (self.jobs[job].node, self.jobs[job].ticket) else {
            return;
        };
        let outcome = Outcome {
            result: started.result,
            forwarded: false,
            first_byte: is_complete
                .then(|| Duration::from_secs_f64(started.first_byte_at - sent_at)),
            total: Duration::from_secs_f64(self.now - sent_at),
        };
        let now = self.elapsed();
        match self.routers[node].finish(now, ticket, &outcome) {
            AttemptDecision::Run(d) => self.send(job, d.attempt, d.endpoint.index()),
            AttemptDecision::Done => {
                self.jobs[job].ticket = None;
                self.advance_session(job, None);
            }
            AttemptDecision::Refuse(refusal) => self.refuse(job, refusal),
        }
        self.process_queue(node);
    }

    fn refuse(&mut self, job: usize, refusal: Refusal) {
        self.jobs[job].ticket = None;
        self.jobs[job].refused_at = Some(self.now);
        self.advance_session(job, refusal.retry_after);
    }

    /// Retries a failed attempt at once under a policy other than [`Policy::Oatdale`].
    fn end_baseline_attempt(&mut self, job: usize, attempt: u16, is_complete: bool) {
        if !is_complete && u32::from(attempt) < self.setup.baseline_attempts {
            let endpoint = self.baseline_endpoint(job);
            self.send(job, attempt + 1, endpoint);
        }
    }

    fn sample_load(&mut self) {
        let age = Duration::from_secs_f64(self.setup.lag);
        for endpoint in 0..self.engines.len() {
            let (running, waiting) = self.engines[endpoint].load();
            let report = LoadReport {
                running,
                waiting,
                age,
            };
            self.schedule(
                self.now + self.setup.lag,
                Event::DeliverReport { endpoint, report },
            );
        }
        if self.now < self.setup.length {
            self.schedule(self.now + LOAD_REPORT_INTERVAL_S, Event::SampleLoad);
        }
    }

    fn deliver_report(&mut self, endpoint: usize, report: LoadReport) {
        self.reported_loads[endpoint] = f64::from(report.running + report.waiting);
        if self.setup.policy != Policy::Oatdale {
            return;
        }
        let now = self.elapsed();
        for node in 0..self.routers.len() {
            self.routers[node].observe_load(now, EndpointKey::from_index(endpoint), report);
            self.process_queue(node);
        }
    }
}
