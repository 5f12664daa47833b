//! Headers and wire types, also those that others write badly.

use http::HeaderMap;
use oatdale_platform::wire::{Load, MAX_PAUSE, etag, parse_etag, retry_after};
use oatdale_platform::{Entry, ModRevision};
use std::time::Duration;

fn headers(lines: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.insert(*name, value.parse().unwrap());
    }
    headers
}

#[test]
fn a_load_reads_back_from_its_header() {
    for leaving in [false, true] {
        let load = Load {
            running: 3,
            waiting: 1,
            tokens: 90,
            age_ms: 40,
            leaving,
            versions: Vec::new(),
        };
        assert_eq!(Load::from_header(&load.to_header()), Some(load));
    }
    let newer = Load::from_header("running=3, gpu=7, waiting=0, new").unwrap();
    assert_eq!((newer.running, newer.leaving), (3, false));
    assert_eq!(Load::from_header("running=many"), None);
    let ancient = Load::from_header("age=18446744073709551615").unwrap();
    assert_eq!(ancient.age(), Duration::from_secs(3600));
}

#[test]
fn an_entity_tag_holds_a_revision_or_nothing() {
    assert_eq!(parse_etag(&etag(ModRevision(17))), Some(ModRevision(17)));
    for tag in [
        "",
        "17",
        "\"17",
        "W/\"17\"",
        "\"\"",
        "\"-1\"",
        "\"1\" \"2\"",
        "*",
    ] {
        assert_eq!(parse_etag(tag), None, "{tag}");
    }
}

#[test]
fn the_finer_of_two_times_to_wait_counts() {
    let both = headers(&[("retry-after", "1"), ("retry-after-ms", "250")]);
    assert_eq!(retry_after(&both), Some(Duration::from_millis(250)));
    let seconds = headers(&[("retry-after", " 2 ")]);
    assert_eq!(retry_after(&seconds), Some(Duration::from_secs(2)));
    let date = headers(&[("retry-after", "Wed, 02 Dec 2026 21:00:00 GMT")]);
    assert_eq!(retry_after(&date), None);
    assert_eq!(retry_after(&HeaderMap::new()), None);
}

/// A service asks to wait for thousands of years, or not at all. Added to the clock, the former
/// ends the thread; the latter makes a client ask again without end.
#[test]
fn an_absurd_time_to_wait_is_brought_within_bounds() {
    for (name, value) in [
        ("retry-after", "18446744073709551615"),
        ("retry-after-ms", "18446744073709551615"),
    ] {
        assert_eq!(retry_after(&headers(&[(name, value)])), Some(MAX_PAUSE));
    }
    for name in ["retry-after", "retry-after-ms"] {
        let pause = retry_after(&headers(&[(name, "0")])).unwrap();
        assert!(pause >= Duration::from_millis(1));
    }
}

#[test]
fn a_listed_value_that_is_not_base64_is_refused() {
    let listed = r#"{"key":"a","revision":3,"value":"not base64!"}"#;
    let listed: oatdale_platform::wire::ListedEntry = serde_json::from_str(listed).unwrap();
    let err = Entry::try_from(listed).unwrap_err();
    assert!(err.contains("\"a\" is not Base64"), "{err}");
}
