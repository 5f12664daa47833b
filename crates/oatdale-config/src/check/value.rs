//! Values that the text writes as words: shares, times, addresses, digests, calls.

use crate::check::problems::{Problems, shorten};
use crate::config::{CallPattern, Digest};
use crate::error::Category;
use crate::ratio::{ParseRatioError, Ratio};
use crate::wire::Word;
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::time::Duration;

/// The word that stands for every call of a service.
const ALL_CALLS: &str = "all";
/// Methods that a call may name.
const METHODS: [&str; 8] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*",
];

/// Reads a part of a whole, `5%` or `0.05`, from 0 to 1.
pub(crate) fn ratio(p: &mut Problems, what: &str, word: &Word) -> Option<f64> {
    let wrong = match word.value.parse::<Ratio>() {
        Ok(ratio) => return Some(ratio.0),
        Err(ParseRatioError::TooLarge) => "over 100%",
        Err(ParseRatioError::NoRatio) => "not a part of a whole",
    };
    p.add(
        word.referenced,
        Category::Value,
        format!("{what} `{}` is {wrong}", shorten(&word.value)),
        "write a percentage such as `5%`, or a part of 1 such as `0.05`",
    );
    None
}

/// Reads a length of time such as `30s` that lies within `min..=max`.
pub(crate) fn duration(
    p: &mut Problems,
    what: &str,
    word: &Word,
    (min, max): (Duration, Duration),
) -> Option<Duration> {
    match humantime::parse_duration(&word.value) {
        Ok(d) if d >= min && d <= max => return Some(d),
        Ok(_) => p.add(
            word.referenced,
            Category::Value,
            format!("{what} `{}` is out of range", shorten(&word.value)),
            format!(
                "write a time from {} to {}",
                humantime::format_duration(min),
                humantime::format_duration(max)
            ),
        ),
        Err(_) => p.add(
            word.referenced,
            Category::Value,
            format!("{what} `{}` is not a time", shorten(&word.value)),
            "write a number with its unit, such as `30s`, `250ms` or `2m`",
        ),
    }
    None
}

/// Reads an address of an IP number and a port.
pub(crate) fn address(p: &mut Problems, word: &Word) -> Option<SocketAddr> {
    let address = address_or_any_port(p, word)?;
    if address.port() == 0 {
        p.add(
            word.referenced,
            Category::Value,
            format!("address `{}` has port 0", word.value),
            "write the port that it listens on",
        );
    }
    Some(address)
}

/// Reads an address to listen on, where port 0 takes a free port.
pub(crate) fn address_or_any_port(p: &mut Problems, word: &Word) -> Option<SocketAddr> {
    let address = word.value.parse().ok();
    if address.is_none() {
        p.add(
            word.referenced,
            Category::Value,
            format!("`{}` is not an IP number with a port", shorten(&word.value)),
            "write it like `10.20.1.11:8000` or `[fd00::11]:8000`; host names are not looked up",
        );
    }
    address
}

/// Reads the digest of a caller's key.
pub(crate) fn digest(p: &mut Problems, word: &Word) -> Option<Digest> {
    if let Ok(digest) = word.value.parse() {
        return Some(digest);
    }
    p.add(
        word.referenced,
        Category::Value,
        // The value may be the key itself, put here by mistake, so no part of it is shown.
        "this is not the digest of a caller's key",
        "write `sha256:` and 64 hex digits, as `oatdale key digest` prints them",
    );
    None
}

/// Reads a call such as `POST /slots/*/confirm`, or `all`.
pub(crate) fn call(p: &mut Problems, word: &Word) -> Option<CallPattern> {
    const HELP: &str = "write a method and a path such as `POST /slots/*/confirm`, or `all`";
    if word.value == ALL_CALLS {
        return Some(CallPattern {
            method: "*".to_owned(),
            path: "/**".to_owned(),
        });
    }
    let (method, path) = word.value.split_once(' ').unwrap_or((&word.value, ""));
    let path = path.trim();
    let message = match () {
        () if !METHODS.contains(&method) => format!("`{}` is not a method", shorten(method)),
        () if !path.starts_with('/') => "the path does not begin with `/`".to_owned(),
        () if path.contains(char::is_whitespace) => "the path holds a blank".to_owned(),
        () if misplaced_rest(path) => "`**` stands elsewhere than at the end".to_owned(),
        () => {
            return Some(CallPattern {
                method: method.to_owned(),
                path: path.to_owned(),
            });
        }
    };
    p.add(word.referenced, Category::Value, message, HELP);
    None
}

/// Reads a number that is finite, at least 0, and above 0 where `positive`.
pub(crate) fn number(p: &mut Problems, what: &str, n: &Spanned<f64>, positive: bool) -> f64 {
    let fits = n.value.is_finite() && n.value >= 0.0 && !(positive && n.value == 0.0);
    if !fits {
        let range = if positive { "above 0" } else { "of at least 0" };
        p.add(
            n.referenced,
            Category::Value,
            format!("{what} {} is out of range", n.value),
            format!("write a number {range}"),
        );
    }
    n.value
}

/// Reads a count that is above 0.
pub(crate) fn count(p: &mut Problems, what: &str, n: &Spanned<u32>) -> u32 {
    if n.value == 0 {
        p.add(
            n.referenced,
            Category::Value,
            format!("{what} is 0"),
            "write a whole number above 0",
        );
    }
    n.value
}

fn misplaced_rest(path: &str) -> bool {
    let mut segments = path.trim_end_matches('/').split('/').rev();
    segments.next();
    segments.any(|s| s == "**")
}
