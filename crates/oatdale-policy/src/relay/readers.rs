//! Which nodes read the platform's records for the others.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Nodes that read for the others. One would do; while one is away or cut off, and its successor is not
/// known yet, the others go on, and each is heard at another moment.
const READERS: usize = 3;

/// A node that may read for others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reader<'a> {
    /// Its host's name.
    pub host: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Whether a node is one of those that read for the others.
///
/// Nodes that know of the same ones come to the same result; where they differ, some more of them read,
/// or none, which the others notice by hearing nothing. The readers lie in different failure domains,
/// as far as there are several.
pub fn reads_for_others<'a>(own: Reader<'a>, nodes: impl Iterator<Item = Reader<'a>>) -> bool {
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for node in nodes.filter(|n| n.host != own.host).chain([own]) {
        by_domain.entry(node.domain).or_default().push(node.host);
    }
    let domains = by_domain.len();
    let place = by_domain.keys().position(|d| *d == own.domain);
    let rank = by_domain[own.domain]
        .iter()
        .filter(|host| weight(host) > weight(own.host))
        .count();
    // Turn by turn, each domain gives its next node.
    place.is_some_and(|place| rank * domains + place < READERS)
}

/// The same on every node, and nothing that follows from the order of names: names count up by domain.
fn weight(host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
