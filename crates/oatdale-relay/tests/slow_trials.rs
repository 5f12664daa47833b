//! Replays of short trials of a plain service's new version.

use oatdale_policy::relay::{ExposureLimit, Origin};
use oatdale_relay::{ResponseSource, Revision, RollOut, RollOutEnd, RollOuts};
use std::time::Duration;

const NODES: usize = 9;

/// Responses between two exchanges of reports.
const RESPONSES_PER_EXCHANGE: usize = 20;

// Recorded responses in order, each as its route and its time in whole milliseconds, rounded down; `@` stands
// before the endpoint of the new version, and `|` for the order.

const SLOW_4: &str = "\
    a13 a19 b2 c2 a23 c1 a10 d26 c2 a31 b1 c2 a11 a13 a13 a10 a6 c7 b1 a18 a10 d11 c1 a17 c1 c1 a10 a7 a12 d20 \
    a17 a12 a17 d26 c1 a12 d19 d15 e1 d12 a18 a15 a14 a8 a9 a9 a6 a9 a12 a12 d10 a17 a8 a10 a7 a13 a15 d5 a7 \
    a12 a5 e1 a8 a6 a26 a14 a11 c1 d11 c1 a21 a10 a18 d28 d7 d13 c1 a15 a15 a40 | a14 d36 a31 c1 c1 a11 c1 a12 \
    d17 c1 b1 c2 a19 c2 d8 a13 a12 a22 a13 d14 a21 c1 a14 a10 a22@1 a44@2 a19 a26 a19 a17 d20@1 a49 c2 a12 a19 \
    c1 a300@2 a16 a19 a22 a36 c1 d13 a11 d20 a84@3 c1 a10 d14 a22@1 d15 d106@2 d9 a21 c1 a14 c1 c1 c8 a17@3 c2 \
    a42 a19@1 c1 c1 c9@2 d5 a10 a25 a14 c1 a15@2 c1 a13 c4 a17 a7 a7 c1 a10 a18@3 a24@1 a7 a18 c1 a14 c2@2 d25 \
    c1 d24 d8 d12 d20 a14 d9 d12 c1 a5 a7 a11 d11@1 a9@2 a47 a18 d30 a11 d12 a17 a16 c1@2 a25 a18 a143@3 d6 \
    a12 a7 a12 d10 a12 a16 a23 a9 a16 a29 a14 a17 a8 d12 a12 a11 e1 c1 a10 d39 a40 a7 a24 d31@2 a6 a10 a4 a11 \
    d13 a18@3 a28 a19 a29 c1 a15 d22 a10 a10 a15 a36 a14 a24 b3@2 a14 a26@1 c1 a10 a14@1 c1 a16 a8 a9 a12 a19 \
    c1 a12 d17 a19 a22 c1 a10 d16 d13 c1@2 c2 b1 c1 a20 a22 a29 b1 a13 b1 c1 a33 a13@1 a12@1 d8 a10 d13 d28 c1 \
    c1 c1 a3 a15 d15@2 d7 c7 e1";

const SLOW_6: &str = "\
    a6 a11 a18 a19 a32 a9 b12 a14 c1 d1 d8 d2 d2 a19 b9 e1 a14 a8 a13 b10 a11 a12 a10 a11 c1 e2 a13 a6 d8 a10 \
    c1 a7 d4 c4 a25 d1 b18 d4 d1 a17 a28 d1 d1 a4 a12 a14 b21 a20 a14 a12 a17 d1 d1 b18 a12 d1 e1 d1 d1 a19 e1 \
    a8 a17 b14 a18 b32 a20 b7 a16 a7 a13 a9 a13 b9 a17 a13 b17 a20 a14 b12 d1 b17 a17 a27 a24 a76 b18 a8 a9 \
    a29 b25 | a13 b13 a6 a4 b24 b20 b29 a21 b28 a15 c1 d1 b21 a9 a12 b21 a26 a19 a20 a8 a12 a15 b15 b17 a17 a5 \
    d1 a14 a17 a24 a15 d1 a9 a6 a15 b23 a22 a28 b30 b12 b12 d1 b15 a16 a7 a12 a11 a13 a19 b16 d1 b20 d1 d1 a14 \
    d1 c2@1 a15@2 a19 a33 d2@3 a21 b14 a37 d1 d1 a6 a17 b11 a66@3 a15 b18 d1 a18@3 a9 b14 d8@1 b7 a27 a27 b31 \
    a15 a27 a8 a12 b18 d1 d8 d1 a14 b12@3 c1 b12 a16 a23 b11 a9 b16 a64@1 a110 a12 a18 a11 a15 a27 a9 b55 d1 \
    b8 a11 d1 b24 b6 d1 a10 d1 d8@3 b15 d8 a18 b16 b10 a11 d1 a13 a16 a17 b8 b6 a20 b9@1 a16 b14 b28 a14 e1 d1 \
    e1 d1 d1 d1 a7 d7 a15 a15 b13 b11 a12 b15 a11 a13 a29 a10 a22 a15 a19 a19 a23 e4 d1 a6 a6 a15 a17 a20@3 \
    b14 a13@1 b17@1 a13 a19 c1 a32 b24 b17 c1 a19 a12@1 d1 a14 a15 d4 a30 b15 b14 a15 a18 a9 d1 a18 a20 b23 a8";

const SLOW_9: &str = "\
    a13 a22 b2 b2 b8 a18 a30 a15 a28 a21 b2 a34 a10 a23 a20 c31 a15 a16 c17 a12 c9 c15 a22 b1 d1 e1 c12 a25 \
    a38 a12 a14 a17 a22 b1 d1 e1 a24 b1 c14 b1 c8 a18 b1 a12 d1 a6 a21 c8 a15 b1 a24 a19 a15 a14 a12 a16 a6 \
    a35 c10 e1 a19 c6 e1 a15 a6 a23 a8 c9 a15 a11 b1 b1 a8 a12 a18 b1 a14 | c9 c12 c11 a20 a11 e2 b8 d8 a11 \
    c16 c17 a6 a12 b1 a16 b1 c28 a15 b1 a11 a17 e1 b1 a19 a30 b1 a7 b1 b1 a8 a11 c11 c11 a14@1 a13 c20 a6 a40 \
    c11 a11 a14 b1 a18 a12 a27 c10 a21 b8 b8@1 d1 a8 c6 a15 c23 b1 a21 a24 a16 a14 c21 a10 b1 b1 b1 c23 b1 a7 \
    a38 b1 c19 b1 b1 a33@2 c40 a8 a9 a23 c28 a5 c6 a15 a22 b2 e2@2 c19 b1 b1 d1 a13 a19 c22 a17 d4 a85@3 b1 b1 \
    c10 c5 a18 b8 a30 a8 a14@2 a22 a17 a22 e1@3 a10 b8@3 a27 a16 e1 b8 b1 b2@1 a9 a10 a18 a17 a41 a8 b1 c16 \
    a70@2 a12 a17 a19 c20 b2@3 a10@2 c7 a19 a20 a24 a10 b1 a22 a12 a13 b2@1 a29 a12 a17 a24 a12 b1 a10 a18 d1 \
    c10 a15 a15 a13 c21@3 c24 a31 a5 a25 c33 b1 a17 a17 b1 d1 c19 d1 b1 a37 a15 a14 a15 a30 a13 c13 b9@3 c2 \
    a55 c17 a14 a33 c10 a20 a26 c8 a19 a18 a13@3 a17 a12 c12 a15@2 c18 b1 b1 b1 c5";

const SOUND_4: &str = "\
    a13 a19 b2 c2 a23 c1 a10 d26 c2 a31 b1 c2 a11 a13 a13 a10 a6 c7 b1 a18 a10 d11 c1 a17 c1 c1 a10 a7 a12 d20 \
    a17 a12 a17 d26 c1 a12 d19 d15 e1 d12 a18 a15 a14 a8 a9 a9 a6 a9 a12 a12 d10 a17 a8 a10 a7 a13 a15 d5 a7 \
    a12 a5 e1 a8 a6 a26 a14 a11 c1 d11 c1 a21 a10 a18 d28 d7 d13 c1 a15 a15 a40 | a14 d36 a31 c1 c1 a11 c1 a12 \
    d17 c1 b1 c2 a19 c2 d8 a13 a12 a22 a13 d14 a21 c1 a14 a10 a22@1 a44@2 a19 a26 d16@2 a19 a43@2 a17 a48 c2 \
    a12 a19 c1 a16 a19 a22 a36 c1 d13 a11 a12@3 d14 c1 a10 d12@1 d13 a21 d13 d9 a20 c1 a14 c1 c1 c7 a17@3 c8 \
    a36 a12@3 c1 c1 c2@2 d5 a13 a24 a14 c1 a15@2 c1 a14 c1 a17 a7 a9 c1 a16@3 a11@3 a24@1 a8 a23 c1 a8 c2@2 \
    d25 c1 d20 d8 d12 d20 a20 d6 d12 c1 a5 a7 a8@2 a11 d11 a46 a18 d30 a12 d12 a17 a16 c1@2 a25 a17@1 a18 d6 \
    a15 a8 a12 d10 a12 a16 a23 a9 a16 a29 a14 a21 a8 d12 a12 a12 e1 c1 a10 d39 a39 a7 a23 d25@3 a9 a10 a4 a11 \
    d13 a18@3 a28 a19 a29 c4 a22 d22 a10 a8 a22 a36 a18 a19 b2@2 a14 a24 c1 a10 a19@2 c1 a16 a8 a9 a12 a19 c1 \
    a12 d17 a20 a21 c1 a10 d14 d13 c8@3 c1 b1 c1 a20 a23 a29 b1 a13 b1 c1 a40 a8@1 a9@1 d8 d12 a10 d28 c1 c1 \
    c1 a4 a8 d13@3 d7 c3 e1";

const SOUND_6: &str = "\
    a6 a11 a18 a19 a32 a9 b12 a14 c1 d1 d8 d2 d2 a19 b9 e1 a14 a8 a13 b10 a11 a12 a10 a11 c1 e2 a13 a6 d8 a10 \
    c1 a7 d4 c4 a25 d1 b18 d4 d1 a17 a28 d1 d1 a4 a12 a14 b21 a20 a14 a12 a17 d1 d1 b18 a12 d1 e1 d1 d1 a19 e1 \
    a8 a17 b14 a18 b32 a20 b7 a16 a7 a13 a9 a13 b9 a17 a13 b17 a20 a14 b12 d1 b17 a17 a27 a24 a76 b18 a8 a9 \
    a29 b25 | a13 b13 a6 a4 b24 b20 b29 a21 b28 a15 c1 d1 b21 a9 a12 b21 a26 a19 a20 a8 a12 a15 b15 b17 a17 a5 \
    d1 a14 a17 a24 a15 d1 a9 a6 a15 b23 a22 a28 b30 b12 b12 d1 b15 a16 a7 a12 a11 a13 a19 b16 d1 b20 d1 d1 a14 \
    d1 c2@1 a15@2 a19 a33 d2@3 a21 b14 a37 d1 d1 a6 a17 b11 a66@3 a15 b18 d1 a18@3 a9 b14 d8@1 b7 a27 a27 b31 \
    a15 a27 a8 a12 b18 d1 d8 d1 a14 b12@3 c1 b12 a16 a23 b11 a9@1 a9 b16 a110 a12 a18 a11 a15 a28 a9 b55 d1 b8 \
    a11 d1 b24 b6 d1 a10 d1 d1@3 b22 d1 a18 b23 b10 a11 d1 a13 a16 a17 b8 a13 b6 b9@1 a16 b21 b8 a14 e1 d1 e1 \
    d1 d1 d1 a7 d1 a8 a15 b13 a10 b11 b15 a11 a13 a23 a15 a17 a15 a19 a23 a26 e1 d4 a6 a6 a8 a20 a22 b15 a13@1 \
    b17@1 a11 a19 c1 a32 b21 b20 c1 a19 a12@1 d1 a7 a16 d4 a30 b15 a8 b14 a18 a11 d1 a16 a18 b20 a8";

struct Replay {
    nodes: Vec<RollOuts>,
}

impl Replay {
    fn new() -> Self {
        Replay {
            nodes: (0..NODES).map(|_| RollOuts::default()).collect(),
        }
    }

    fn order(&mut self) {
        let order = RollOut {
            service: "desk".to_owned(),
            target: "v2".to_owned(),
            duration: Duration::from_secs(10),
            order: Revision::new(1, 2),
            end: None,
        };
        let limit = ExposureLimit {
            share: 0.15,
            slack: 30.0,
        };
        for node in &mut self.nodes {
            node.update(Duration::ZERO, order.clone());
            node.update_rates(Duration::from_millis(1_200), limit);
        }
    }

    fn record(&mut self, node: usize, response: &str) {
        let (response, endpoint) = response.split_once('@').unwrap_or((response, "0"));
        let (route, time) = response.split_at(1);
        let version = match endpoint {
            "0" => "v1",
            _ => "v2",
        };
        let route = u32::from(route.as_bytes()[0]);
        let time = Duration::from_micros(time.parse::<u64>().unwrap() * 1_000 + 500);
        let source = ResponseSource {
            service: "desk",
            version,
            origin: Origin {
                route,
                endpoint: endpoint.parse().unwrap(),
            },
            is_failing: false,
        };
        self.nodes[node].record_response(&source, false, Some((route.into(), time)));
    }

    fn exchange(&mut self, now: Duration) {
        let host = |n: usize| format!("node-{n}");
        let reports = |(n, node): (usize, &RollOuts)| node.reports(now, &host(n), |_, _| false);
        let reports: Vec<_> = self.nodes.iter().enumerate().flat_map(reports).collect();
        for (n, node) in self.nodes.iter_mut().enumerate() {
            let others = reports.iter().filter(|r| r.host != host(n));
            others.for_each(|report| node.merge_report(now, report));
        }
    }
}

/// Returns how a rollout ends of which the nodes get these responses in turn.
fn end_of(responses: &str) -> RollOutEnd {
    let mut replay = Replay::new();
    for (n, response) in responses.split(' ').enumerate() {
        match response {
            "|" => replay.order(),
            _ => replay.record(n % NODES, response),
        }
        if n % RESPONSES_PER_EXCHANGE == 0 {
            replay.exchange(Duration::from_secs(5));
        }
    }
    replay.exchange(Duration::from_secs(9));
    let node = &mut replay.nodes[0];
    let due = (0..100).find_map(|n| {
        let now = Duration::from_millis(9_000 + n * 10);
        node.due_ends(now, 0, |_, _| false).pop()
    });
    due.unwrap().1
}

// Guards against completing a version whose few requests in the trial take several times as long: as many of the
// old version's take a little longer than usual.
#[test]
fn slow_version_is_not_completed_after_a_short_trial() {
    let ends = [SLOW_4, SLOW_6, SLOW_9].map(end_of);
    assert_eq!(ends, [RollOutEnd::RolledBack; 3]);
}

#[test]
fn sound_version_is_completed_after_a_short_trial() {
    let ends = [SOUND_4, SOUND_6].map(end_of);
    assert_eq!(ends, [RollOutEnd::Completed; 2]);
}
