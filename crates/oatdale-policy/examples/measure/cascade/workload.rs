//! Workloads of the cascade experiment: requests, acceptance of answers, and the true
//! distributions.

use crate::site::SimRng;

/// Standard deviation of the logarithm of the lengths of prompts and answers.
pub(super) const LENGTH_SIGMA: f64 = 0.4;

/// Random requests of each class from which the true distributions are estimated.
pub(super) const SAMPLES_PER_CLASS: usize = 20_000;

/// Distribution of requests, and the abilities of the three versions.
#[derive(Clone)]
pub(super) struct Workload {
    pub(super) name: &'static str,
    pub(super) target: f64,
    pub(super) latency_weight: f64,
    /// Share of the answers that are rated later, among those that were not held back for a rating
    /// at once.
    pub(super) rated_share: f64,
    pub(super) classes: Vec<Class>,
}

/// Class of similar requests: its share of all requests, median prompt and output tokens, and the
/// ability of each version.
#[derive(Clone, Copy)]
pub(super) struct Class {
    pub(super) share: f64,
    pub(super) input: f64,
    pub(super) output: f64,
    pub(super) ability: [f64; 3],
}

/// Request with the hidden values that decide which versions' answers are accepted.
#[derive(Clone, Copy)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) input: u32,
    pub(super) output: u32,
    pub(super) difficulty: f64,
    /// Independent part of the difficulty for each version.
    pub(super) noise: [f64; 3],
    /// Random hash for [`oatdale_policy::RequestInfo`].
    pub(super) random_hash: u64,
}

/// Skyward: short tagging, notes and pass schedules.
pub(super) fn skyward() -> Workload {
    Workload {
        name: "skyward",
        target: 0.90,
        latency_weight: 0.0,
        rated_share: 1.0,
        classes: vec![
            class(0.5, 200.0, 20.0, [0.95, 0.97, 0.99]),
            class(0.3, 1500.0, 200.0, [0.75, 0.90, 0.96]),
            class(0.2, 6000.0, 500.0, [0.40, 0.75, 0.93]),
        ],
    }
}

/// Tallyrow: tags, licence summaries and complete registers.
pub(super) fn tallyrow() -> Workload {
    Workload {
        name: "tallyrow",
        target: 0.90,
        latency_weight: 0.0,
        rated_share: 1.0,
        classes: vec![
            class(0.4, 150.0, 15.0, [0.94, 0.96, 0.99]),
            class(0.3, 3000.0, 600.0, [0.70, 0.88, 0.95]),
            class(0.3, 20_000.0, 1500.0, [0.55, 0.82, 0.94]),
        ],
    }
}

pub(super) fn class(share: f64, input: f64, output: f64, ability: [f64; 3]) -> Class {
    Class {
        share,
        input,
        output,
        ability,
    }
}

/// Returns the workload with a much worse cheapest version in all classes but the easiest.
pub(super) fn shifted(workload: &Workload) -> Workload {
    let mut workload = workload.clone();
    for class in &mut workload.classes[1..] {
        class.ability[0] *= 0.5;
    }
    workload
}

pub(super) fn random_request(workload: &Workload, rng: &mut SimRng) -> Request {
    let mut remaining_share = rng.uniform();
    let class = workload
        .classes
        .iter()
        .position(|c| {
            remaining_share -= c.share;
            remaining_share < 0.0
        })
        .unwrap_or(workload.classes.len() - 1);
    let Class { input, output, .. } = workload.classes[class];
    Request {
        class,
        input: rng.log_normal(input, LENGTH_SIGMA) as u32 + 1,
        output: rng.log_normal(output, LENGTH_SIGMA) as u32 + 1,
        difficulty: rng.uniform(),
        noise: [(); 3].map(|()| rng.uniform()),
        random_hash: rng.random_bits(),
    }
}

/// Returns the response time of a version; more expensive versions are slower.
pub(super) fn response_seconds(request: &Request, version: usize) -> f64 {
    let s_per_token = [0.006, 0.012, 0.025][version];
    0.05 + s_per_token * f64::from(request.output)
}

/// Whether a version's answer is accepted: half of the difficulty is common to all versions, and
/// half is independent for each version.
pub(super) fn is_accepted(class: &Class, request: &Request, version: usize) -> bool {
    let version_noise = request.noise[version];
    let mixed = 0.5 * (request.difficulty + version_noise);
    // The mean of two uniform numbers has a triangular distribution; its distribution function maps
    // it to a uniform one.
    let uniform_difficulty = match mixed < 0.5 {
        true => 2.0 * mixed * mixed,
        false => 1.0 - 2.0 * (1.0 - mixed) * (1.0 - mixed),
    };
    uniform_difficulty < class.ability[version]
}

/// Expected outcome of a sequence of versions in one class, according to the true distributions.
pub(super) struct ExpectedOutcome {
    pub(super) versions: Vec<usize>,
    /// Probability that each step is reached.
    pub(super) reached: Vec<f64>,
    pub(super) quality: f64,
}

/// Returns the expected outcomes of all sequences of versions, by class.
pub(super) fn expected_outcomes(
    workload: &Workload,
    rng: &mut SimRng,
) -> Vec<Vec<ExpectedOutcome>> {
    const SEQUENCES: [&[usize]; 7] = [&[0], &[1], &[2], &[0, 1], &[0, 2], &[1, 2], &[0, 1, 2]];
    workload
        .classes
        .iter()
        .map(|class| {
            let samples: Vec<Request> = (0..SAMPLES_PER_CLASS)
                .map(|_| random_request(workload, rng))
                .collect();
            let outcome_of = |versions: &&[usize]| expected_outcome(class, &samples, versions);
            SEQUENCES.iter().map(outcome_of).collect()
        })
        .collect()
}

pub(super) fn expected_outcome(
    class: &Class,
    samples: &[Request],
    versions: &[usize],
) -> ExpectedOutcome {
    let n = samples.len() as f64;
    let mut unaccepted: Vec<&Request> = samples.iter().collect();
    let mut reached = Vec::new();
    for &version in versions {
        reached.push(unaccepted.len() as f64 / n);
        unaccepted.retain(|request| !is_accepted(class, request, version));
    }
    ExpectedOutcome {
        versions: versions.to_vec(),
        reached,
        quality: 1.0 - unaccepted.len() as f64 / n,
    }
}
