//! Replays of a burst: three times the usual requests, and half of the endpoints gone for its
//! second half. All hosts decide by the same sums, which lag by 250 to 500 ms.

use oatdale_policy::relay::{
    EscalationDecision, EscalationRule, EscalationVerdict, Ladder, Mean, RunTime, ServiceLoad,
    WAIT_FREE_LOAD,
};
use std::ops::Range;
use std::time::Duration;

const ENDPOINTS: f64 = 90.0;
const STEP_S: f64 = 0.025;
const REQUESTS_PER_S_AND_ENDPOINT: f64 = 4.7;
const WEIGHT_PER_S: f64 = 10.0;
const GENERATION_S: f64 = 0.8;
/// Urgency, target in seconds and usual weight with the largest model, by route.
const ROUTES: [(u8, f64, f64); 3] = [(0, 1.5, 1.3), (1, 3.0, 5.0), (2, 1.5, 1.8)];
/// Relative size and share of the largest tenth of the requests, and of the others.
const SIZES: [(f64, f64); 2] = [(3.0, 0.1), (0.78, 0.9)];
/// Confidences are distributed evenly over this range.
const CONFIDENCES: Range<u8> = 0..107;
const BURST: Range<f64> = 6.0..10.0;

const IDLE: EscalationRule = EscalationRule {
    threshold: 46,
    load: ServiceLoad {
        used: 0.0,
        available: 10.0,
    },
    weight: 3.0,
    urgency: 1,
    relative_size: 1.0,
    time: None,
};

#[derive(Clone, Copy)]
enum Rule {
    ByWait,
    ByCapacity,
    /// By capacity without sums: every second host has no other request, and the others have two.
    WithoutSums,
}

/// Numbers of requests of one kind that arrive at an endpoint in one step.
struct Step {
    at: f64,
    route: usize,
    is_large: bool,
    arrived: f64,
    escalated: f64,
    in_time: f64,
    /// Answered in time by a model that is not too small.
    served: f64,
}

/// State of the endpoints, all of which have the same load, and of the hosts.
struct Replay {
    rule: Rule,
    hosts: usize,
    backlog: f64,
    generating: f64,
    sums: [f64; 2],
    mean_wait: Mean,
    /// Runs of the largest model that the mean wait does not contain yet.
    unseen: f64,
    steps: Vec<Step>,
}

/// Replays a burst, and four calm seconds after it.
fn replay(rule: Rule, hosts: usize, burst: Range<f64>) -> Vec<Step> {
    let mut replay = Replay {
        rule,
        hosts,
        backlog: 0.0,
        generating: 0.0,
        sums: [0.0; 2],
        mean_wait: Mean::new(12.0),
        unseen: 0.0,
        steps: Vec::new(),
    };
    let lost = (burst.start + burst.end) / 2.0..burst.end;
    for number in 0..((burst.end + 4.0) / STEP_S) as usize {
        let at = number as f64 * STEP_S;
        if number % 10 == 0 {
            replay.sums = [replay.sums[1], replay.backlog + replay.generating];
        }
        let burst_factor = if burst.contains(&at) { 3.0 } else { 1.0 };
        let lost_factor = if lost.contains(&at) { 2.0 } else { 1.0 };
        let arrived = REQUESTS_PER_S_AND_ENDPOINT * burst_factor * lost_factor * STEP_S;
        for route in 0..ROUTES.len() {
            for (size, share) in SIZES {
                replay.arrive(at, route, size, arrived * share / ROUTES.len() as f64);
            }
        }
        replay.backlog = (replay.backlog - WEIGHT_PER_S * STEP_S).max(0.0);
        replay.generating *= 1.0 - STEP_S / GENERATION_S;
    }
    replay.steps
}

impl Replay {
    fn arrive(&mut self, at: f64, route: usize, size: f64, arrived: f64) {
        let (_, target, usual_weight) = ROUTES[route];
        let (weight, small_weight) = (usual_weight * size, usual_weight * size * 0.067);
        let first = (self.backlog + small_weight) / WEIGHT_PER_S;
        let run = (self.backlog + weight) / WEIGHT_PER_S;
        let is_escalated = |confidence: &u8| self.escalates(route, size, *confidence);
        let share = CONFIDENCES.filter(is_escalated).count() as f64 / CONFIDENCES.len() as f64;
        let poor_share = f64::from(IDLE.threshold) / CONFIDENCES.len() as f64;
        let escalated = arrived * share;
        let in_time = |time| f64::from(u8::from(time <= target));
        let (first_in_time, run_in_time) = (in_time(first), escalated * in_time(first + run));
        self.steps.push(Step {
            at,
            route,
            is_large: size > 1.0,
            arrived,
            escalated,
            in_time: (arrived - escalated) * first_in_time + run_in_time,
            served: arrived * (1.0 - share.max(poor_share)) * first_in_time + run_in_time,
        });
        self.backlog += arrived * small_weight + escalated * weight;
        self.generating += arrived * small_weight.min(1.0) + escalated * weight.min(1.0);
        // Each host sees only its own answers.
        self.unseen += escalated * ENDPOINTS / self.hosts as f64;
        while self.unseen >= 1.0 {
            self.unseen -= 1.0;
            self.mean_wait.add(run / target);
        }
    }

    fn escalates(&self, route: usize, size: f64, confidence: u8) -> bool {
        let (urgency, target, usual_weight) = ROUTES[route];
        let used = match self.rule {
            Rule::ByWait => {
                let ladder = Ladder {
                    threshold: IDLE.threshold,
                    relative_wait: self.mean_wait.get_or(0.0),
                    relative_size: size,
                };
                let decision = ladder.decide(0, 2, Some(confidence), true);
                return decision == EscalationDecision::Escalate(1);
            }
            Rule::ByCapacity => self.sums[0],
            Rule::WithoutSums => 2.0 * f64::from(confidence % 2) * (self.backlog + self.generating),
        };
        let weight = usual_weight * size;
        let waiting = (self.sums[0] + weight - WAIT_FREE_LOAD).max(0.0);
        let left = target - self.backlog / WEIGHT_PER_S;
        let rule = EscalationRule {
            load: ServiceLoad {
                used,
                available: WAIT_FREE_LOAD,
            },
            weight,
            urgency,
            relative_size: size,
            time: Some(RunTime {
                expected: Duration::from_secs_f64(waiting / WEIGHT_PER_S),
                left: Some(Duration::from_secs_f64(left.max(0.0))),
            }),
            ..IDLE
        };
        rule.decide(0, 2, Some(confidence)) == EscalationVerdict::Escalate(1)
    }
}

/// Returns the part of the requests of a time, of those that `of` selects, that `part` counts.
fn share(
    all: &[Step],
    times: Range<f64>,
    of: impl Fn(&Step) -> bool,
    part: fn(&Step) -> f64,
) -> f64 {
    let of = || all.iter().filter(|s| times.contains(&s.at) && of(s));
    of().map(part).sum::<f64>() / of().map(|s| s.arrived).sum::<f64>()
}

// With the old rule, half of the answers in a burst are late, because the runs of the largest model
// fill all endpoints; and its threshold stays low for seconds afterwards.
#[test]
fn answers_are_in_time_in_a_burst_and_the_threshold_recovers_within_a_second() {
    let run = |rule, hosts| {
        let all = replay(rule, hosts, BURST);
        let late = 1.0 - share(&all, BURST, |_| true, |s| s.in_time);
        let served = share(&all, BURST, |_| true, |s| s.served);
        let escalated = |times| share(&all, times, |_| true, |s| s.escalated);
        let recovered = escalated(11.0..14.0) / escalated(2.0..6.0);
        (late, served, escalated(BURST), recovered)
    };
    for hosts in [59, 985] {
        let (old_late, old_served, _, old_recovered) = run(Rule::ByWait, hosts);
        assert!(
            old_late > 0.3 && old_recovered < 0.5,
            "{old_late} {old_recovered}"
        );
        for rule in [Rule::ByCapacity, Rule::WithoutSums] {
            let (late, served, escalated, recovered) = run(rule, hosts);
            assert!(late < 0.05 && served > old_served + 0.1, "{late} {served}");
            assert!(
                escalated > 0.1 && recovered > 0.9,
                "{escalated} {recovered}"
            );
        }
    }
}

// If cheap runs took all of the capacity, large requests would never get an answer of the largest
// model, and neither would urgent routes with long prompts.
#[test]
fn large_and_urgent_requests_get_their_share_in_a_burst() {
    let all = replay(Rule::ByCapacity, 59, BURST);
    for route in 0..ROUTES.len() {
        let of = |large: bool| move |s: &Step| s.route == route && (s.is_large || !large);
        for part in [|s: &Step| s.escalated, |s: &Step| s.served] {
            let [large, all] = [true, false].map(|large| share(&all, BURST, of(large), part));
            assert!(large > all / 2.0, "route {route}: {large} of {all}");
        }
    }
    let served = [0, 1, 2].map(|n| share(&all, BURST, |s| s.route == n, |s| s.served));
    assert!(served.is_sorted_by(|a, b| a > b), "{served:?}");
}

// All hosts see the same sums late. If they stopped and started at one load, the endpoints would be
// idle and overloaded in turn.
#[test]
fn hosts_do_not_escalate_in_turns() {
    let all = replay(Rule::ByCapacity, 59, 6.0..16.0);
    let mean = share(&all, 8.0..11.0, |_| true, |s| s.escalated);
    for quarter in 32..44 {
        let from = f64::from(quarter) / 4.0;
        let share = share(&all, from..from + 0.25, |_| true, |s| s.escalated);
        assert!(
            (mean / 2.0..mean * 2.0).contains(&share),
            "{share} of {mean}"
        );
    }
}

#[test]
fn threshold_falls_gradually_with_load_and_for_large_requests_as_for_others() {
    let at = |tenths, relative_size| {
        let rule = EscalationRule {
            load: ServiceLoad {
                used: f64::from(tenths) / 10.0,
                ..IDLE.load
            },
            weight: IDLE.weight * relative_size,
            relative_size,
            ..IDLE
        };
        rule.threshold()
    };
    let [usual, large] = [1.0, 4.0].map(|size| (0..500).map(move |n| at(n, size)));
    let usual: Vec<_> = usual.collect();
    assert_eq!((usual[50], usual[499]), (46.0, 0.0));
    assert!(usual.is_sorted_by(|a, b| a >= b && a - b < 1.0));
    assert!(
        usual
            .iter()
            .zip(large)
            .all(|(usual, large)| large >= usual / 2.0)
    );
}

#[test]
fn run_that_would_be_late_is_not_made() {
    let at = |expected, left: Option<u64>| {
        let time = Some(RunTime {
            expected: Duration::from_millis(expected),
            left: left.map(Duration::from_millis),
        });
        EscalationRule { time, ..IDLE }.decide(0, 2, Some(10))
    };
    assert_eq!(at(400, Some(1_000)), EscalationVerdict::Escalate(1));
    assert_eq!(at(1_000, Some(1_000)), EscalationVerdict::NoTime);
    assert_eq!(at(0, Some(0)), EscalationVerdict::NoTime);
    assert_eq!(at(60_000, None), EscalationVerdict::Escalate(1));
}

// A comparison with NaN is false, and `f64::max` drops it: the threshold would be the full one.
#[test]
fn unknown_values_do_not_escalate() {
    let decide = |pos, model_count, confidence| IDLE.decide(pos, model_count, confidence);
    assert_eq!(decide(0, 3, Some(10)), EscalationVerdict::Escalate(2));
    assert_eq!(decide(0, 3, None), EscalationVerdict::Accept);
    assert_eq!(decide(2, 3, Some(10)), EscalationVerdict::Accept);
    assert_eq!(decide(0, 0, Some(10)), EscalationVerdict::Accept);
    for (used, available) in [
        (f64::NAN, 1.0),
        (1.0, f64::NAN),
        (f64::INFINITY, 1.0),
        (0.0, 0.0),
    ] {
        let load = ServiceLoad { used, available };
        let verdict = EscalationRule { load, ..IDLE }.decide(0, 2, Some(10));
        assert_eq!(verdict, EscalationVerdict::NoCapacity, "{load:?}");
    }
}
