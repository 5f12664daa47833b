//! Turns settings as written into the checked form.

use super::{
    Addresses, LogLevel, MeshKey, NodeLimits, NodeSettings, PlatformAddresses, Secret, wire,
};
use crate::check::problems::{Problems, shorten};
use crate::check::value;
use crate::error::{Category, Error, Result};
use crate::wire::Word;
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

const LEVELS: [LogLevel; 5] = [
    LogLevel::Error,
    LogLevel::Warn,
    LogLevel::Info,
    LogLevel::Debug,
    LogLevel::Trace,
];

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
const HEADER_BYTES: RangeInclusive<usize> = KIB..=MIB;
const BODY_BYTES: RangeInclusive<usize> = KIB..=1024 * MIB;
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;
const SENDER_TIMES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(600));
const ADDRESS_LIFETIMES: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(3600));
const REFUSE_AFTER: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(604_800));
const JOURNAL_SHARDS: RangeInclusive<u32> = 1..=1024;
const BILL_HOLDERS: RangeInclusive<u32> = 1..=8;

const DEFAULT_LEVEL: LogLevel = LogLevel::Info;
const DEFAULT_LIMITS: NodeLimits = NodeLimits {
    header_bytes: 32 * KIB,
    body_bytes: 8 * MIB,
    connections: 20_000,
    header_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(10),
};
const DEFAULT_ADDRESS_LIFETIME: Duration = Duration::from_secs(15);
const DEFAULT_JOURNAL_SHARDS: u16 = 8;
const DEFAULT_BILL_HOLDERS: u8 = 2;
/// Stands for an address that could not be read, until the settings are refused.
const NO_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl TryFrom<wire::Settings> for NodeSettings {
    type Error = Error;

    fn try_from(s: wire::Settings) -> Result<Self> {
        let mut problems = Problems::default();
        let p = &mut problems;
        p.name("host", &s.host);
        p.name("failure domain", &s.failure_domain);
        p.name("region", &s.region);
        let settings = NodeSettings {
            listen: check_listen(p, &s.listen),
            advertise: check_advertise(p, &s),
            platform: check_platform(p, &s.platform),
            peers: check_peers(p, &s.peers),
            mesh_key: check_mesh_key(p, &s),
            log_level: check_level(p, s.log_level.as_ref()),
            limits: check_limits(p, &s.limits),
            address_lifetime: time(
                p,
                "address-lifetime",
                s.address_lifetime.as_ref(),
                ADDRESS_LIFETIMES,
            )
            .unwrap_or(DEFAULT_ADDRESS_LIFETIME),
            refuse_after: time(p, "refuse-after", s.refuse_after.as_ref(), REFUSE_AFTER),
            journal_shards: count(
                p,
                "journal-shards",
                s.journal_shards.as_ref(),
                JOURNAL_SHARDS,
            )
            .unwrap_or(DEFAULT_JOURNAL_SHARDS),
            bill_holders: count(p, "bill-holders", s.bill_holders.as_ref(), BILL_HOLDERS)
                .unwrap_or(DEFAULT_BILL_HOLDERS),
            host: s.host.value,
            domain: s.failure_domain.value,
            region: s.region.value,
        };
        problems.finish(settings)
    }
}

fn check_listen(p: &mut Problems, listen: &wire::Listen) -> Addresses {
    p.unique(
        "address",
        [&listen.callers, &listen.nodes, &listen.admin]
            .into_iter()
            .filter(|word| !word.value.ends_with(":0")),
    );
    let mut read = |word| value::address_or_any_port(p, word).unwrap_or(NO_ADDRESS);
    Addresses {
        callers: read(&listen.callers),
        nodes: read(&listen.nodes),
        admin: read(&listen.admin),
    }
}

fn check_advertise(p: &mut Problems, s: &wire::Settings) -> Addresses {
    let (a, l) = (&s.advertise, &s.listen);
    Addresses {
        callers: advertised(p, "callers", a.callers.as_ref(), &l.callers),
        nodes: advertised(p, "nodes", a.nodes.as_ref(), &l.nodes),
        admin: advertised(p, "admin", a.admin.as_ref(), &l.admin),
    }
}

/// Others can't connect to "all addresses": a node that listens there has to say which is its own.
fn advertised(p: &mut Problems, field: &str, own: Option<&Word>, listen: &Word) -> SocketAddr {
    let word = own.unwrap_or(listen);
    let Ok(address) = word.value.parse::<SocketAddr>() else {
        if own.is_some() {
            value::address(p, word);
        }
        return NO_ADDRESS;
    };
    if address.ip().is_unspecified() {
        p.add(
            word.referenced,
            Category::Rule,
            format!("nobody can connect to `{}`", word.value),
            format!("add the host's own address below `advertise`, as `{field}: 10.84.1.1:8080`"),
        );
    }
    address
}

fn check_platform(p: &mut Problems, platform: &wire::Platform) -> PlatformAddresses {
    let mut read = |word: Option<&Word>| word.and_then(|w| value::address(p, w));
    PlatformAddresses {
        key_value: read(Some(&platform.key_value)).unwrap_or(NO_ADDRESS),
        host_list: read(platform.host_list.as_ref()),
        ratings: read(platform.ratings.as_ref()),
    }
}

fn check_peers(p: &mut Problems, peers: &[Word]) -> Vec<SocketAddr> {
    p.unique("peer", peers.iter());
    peers.iter().filter_map(|w| value::address(p, w)).collect()
}

fn check_mesh_key(p: &mut Problems, s: &wire::Settings) -> MeshKey {
    let no_key = || MeshKey::File("".into());
    match (&s.mesh_key, &s.mesh_key_file) {
        (None, Some(file)) => MeshKey::File(file.value.clone().into()),
        (Some(key), None) => match Secret::from_hex(&key.value) {
            Some(secret) => MeshKey::Inline(secret),
            None => {
                p.add(
                    key.referenced,
                    Category::Value,
                    "this is not a mesh key",
                    "write 64 hex digits, as `oatdale key new` prints them",
                );
                no_key()
            }
        },
        (Some(_), Some(file)) => {
            p.add(
                file.referenced,
                Category::Rule,
                "the mesh key is given twice",
                "keep either `mesh-key` or `mesh-key-file`",
            );
            no_key()
        }
        (None, None) => {
            p.add(
                s.host.referenced,
                Category::Field,
                "there is no mesh key, so any process could join as a node",
                "add `mesh-key-file: /etc/oatdale/mesh.key`, or `mesh-key` with 64 hex digits",
            );
            no_key()
        }
    }
}

fn check_level(p: &mut Problems, word: Option<&Word>) -> LogLevel {
    let Some(word) = word else {
        return DEFAULT_LEVEL;
    };
    let found = LEVELS.into_iter().find(|l| l.as_str() == word.value);
    found.unwrap_or_else(|| {
        p.unknown("log level", word, LEVELS.iter().map(|l| l.as_str()));
        DEFAULT_LEVEL
    })
}

fn check_limits(p: &mut Problems, limits: &wire::Limits) -> NodeLimits {
    let d = DEFAULT_LIMITS;
    let connections: Option<u32> =
        count(p, "connections", limits.connections.as_ref(), CONNECTIONS);
    let header_timeout = limits.header_timeout.as_ref();
    let body_timeout = limits.body_timeout.as_ref();
    NodeLimits {
        header_bytes: bytes(p, limits.header_bytes.as_ref(), HEADER_BYTES)
            .unwrap_or(d.header_bytes),
        body_bytes: bytes(p, limits.body_bytes.as_ref(), BODY_BYTES).unwrap_or(d.body_bytes),
        connections: connections.map_or(d.connections, |n| n as usize),
        header_timeout: time(p, "header-timeout", header_timeout, SENDER_TIMES)
            .unwrap_or(d.header_timeout),
        body_timeout: time(p, "body-timeout", body_timeout, SENDER_TIMES).unwrap_or(d.body_timeout),
    }
}

fn time(
    p: &mut Problems,
    field: &str,
    word: Option<&Word>,
    range: (Duration, Duration),
) -> Option<Duration> {
    value::duration(p, field, word?, range)
}

fn count<T: TryFrom<u32>>(
    p: &mut Problems,
    field: &str,
    n: Option<&Spanned<u32>>,
    range: RangeInclusive<u32>,
) -> Option<T> {
    let n = n?;
    if range.contains(&n.value) {
        return T::try_from(n.value).ok();
    }
    p.add(
        n.referenced,
        Category::Value,
        format!("{field} {} is out of range", n.value),
        format!("write a number from {} to {}", range.start(), range.end()),
    );
    None
}

/// Reads a size such as `32KiB`, `8MiB` or a plain number of bytes.
fn bytes(p: &mut Problems, word: Option<&Word>, range: RangeInclusive<usize>) -> Option<usize> {
    let word = word?;
    let (digits, unit) = match word.value.as_str() {
        v if v.ends_with("KiB") => (&v[..v.len() - 3], KIB),
        v if v.ends_with("MiB") => (&v[..v.len() - 3], MIB),
        v => (v, 1),
    };
    let number = digits.trim().parse::<usize>().ok();
    let size = number.and_then(|n| n.checked_mul(unit));
    if let Some(size) = size.filter(|s| range.contains(s)) {
        return Some(size);
    }
    p.add(
        word.referenced,
        Category::Value,
        format!("`{}` is not a size that fits here", shorten(&word.value)),
        format!(
            "write one from {} to {} bytes, such as `32KiB` or `8MiB`",
            range.start(),
            range.end()
        ),
    );
    None
}
