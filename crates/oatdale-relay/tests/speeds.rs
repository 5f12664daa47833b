//! Estimates of endpoint speeds on the wire, and the numbers that they belong to.

use oatdale_policy::relay::{MergeOutcome, SpeedTable, StatedEstimate, Trend};
use oatdale_relay::{Directory, Endpoint, EndpointSpeed, MAX_SPEEDS_PER_DATAGRAM};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);

fn estimate(endpoint: u32, factor: f64) -> StatedEstimate {
    StatedEstimate {
        endpoint,
        factor,
        weight: 10.0,
        age: Duration::from_millis(310),
        trend: Trend::Slower,
    }
}

// Guards against datagrams that networks drop, and against traffic that grows with the site.
#[test]
fn exchange_stays_below_5_kb_per_second() {
    let all = vec![EndpointSpeed::from(&estimate(u32::MAX, 8.0)); MAX_SPEEDS_PER_DATAGRAM];
    let mut datagram = Vec::new();
    ciborium::into_writer(&(("Speeds", all),), &mut datagram).expect("it can be encoded");
    assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
    // Two datagrams a second to two nodes, with the headers of IP and UDP.
    assert!(4 * (datagram.len() + 28) < 5_000);
}

// Guards against an estimate that gets younger on its way and so replaces its own origin.
#[test]
fn estimate_survives_the_wire_and_does_not_get_younger() {
    for factor in [0.25, 0.8, 1.0, 2.2, 8.0] {
        let sent = estimate(4_000_000_000, factor);
        let got = StatedEstimate::from(&EndpointSpeed::from(&sent));
        assert!((got.factor / factor - 1.0).abs() < 0.002, "{got:?}");
        assert_eq!((got.endpoint, got.weight), (sent.endpoint, sent.weight));
        assert_eq!((got.age.as_millis(), got.trend), (350, sent.trend));
        let outcome = SpeedTable::default().merge(NOW, &got, 10);
        assert_eq!(outcome, MergeOutcome::Kept);
    }
    let sent = StatedEstimate {
        age: Duration::from_micros(350_400),
        ..estimate(1, 2.0)
    };
    let got = StatedEstimate::from(&EndpointSpeed::from(&sent));
    assert!(got.age >= sent.age, "{got:?}");
}

// Guards against bits of a faulty sender that give an endpoint an impossible speed.
#[test]
fn any_bits_give_a_possible_factor() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut table = SpeedTable::default();
    for _ in 0..100_000 {
        let mut bytes = Vec::new();
        ciborium::into_writer(&rng.random::<u64>(), &mut bytes).expect("it can be encoded");
        let speed: EndpointSpeed = ciborium::from_reader(&bytes[..]).expect("any bits decode");
        let got = StatedEstimate::from(&speed);
        table.merge(NOW, &got, usize::MAX);
        let factor = table.factor(NOW, got.endpoint);
        assert!((0.25..=8.0).contains(&factor), "{got:?} {factor}");
    }
}

// Guards against an endpoint that has restarted under its id and inherits the estimate.
#[test]
fn restarted_endpoint_has_no_estimate() {
    let (mut directory, mut table) = (Directory::default(), SpeedTable::default());
    let mut factor_of_incarnation = |born: u64| {
        let endpoint = Endpoint {
            id: "engine-1".to_owned(),
            born: Some(born),
            service: "draft".to_owned(),
            addr: ([127, 0, 0, 1], 9_000).into(),
            domain: "a".to_owned(),
            version: "v1".to_owned(),
            slots: 16,
            leaving: false,
            cold_left: None,
            serial: born,
        };
        directory.upsert(NOW, endpoint);
        let (key, _) = directory.usable(NOW, "draft").next().expect("it is known");
        directory.begin_request(key, 1.0);
        let (number, _) = directory.loads().next().expect("it has a request");
        directory.end_request(key, 1.0);
        let factor = table.factor(NOW, number);
        table.merge(NOW, &estimate(number, 5.0), 10);
        factor
    };
    assert_eq!(factor_of_incarnation(1), 1.0);
    assert!(factor_of_incarnation(1) > 4.0);
    assert_eq!(factor_of_incarnation(2), 1.0);
}
