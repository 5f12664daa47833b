//! Model check of the issuers of permits: three hosts that learn of each other late, are cut off
//! from the platform's service, from each other or from both, die and start again at any time.
//!
//! What an issuer may issue is decided by the production [`PermitIssuer`]. The model has no permits:
//! it adds up the shares of the limit of all issuers that hosts can reach.

use oatdale_check::{Spec, explore};
use oatdale_policy::relay::{IssuerRank, IssuerView, PermitIssuer};
use std::collections::BTreeSet;
use std::time::Duration;

/// Hosts, numbered in the order in which they become issuers.
const HOSTS: usize = 3;

/// Duration of one step of the clock.
const TICK: Duration = Duration::from_secs(1);

/// Time at which the model begins; all hosts have been running for long.
const BEGIN_TICK: u8 = 20;

/// Time at which it ends: long enough for a fault, all its consequences, and a second fault.
const END_TICK: u8 = 30;

/// Ticks within which a connected host learns of a change of the host list.
const LEARN_TICKS: u8 = 2;

/// The same for a host that lags.
const LAG_TICKS: u8 = 6;

/// Ticks after which the record of a host that does not renew it is gone.
const LEASE_TICKS: u8 = 4;

/// Ticks after which a host knows that the service does not answer it.
const NOTICE_TICKS: u8 = 2;

/// Ticks after its start in which a host issues no permits.
const START_TICKS: u8 = 3;

/// Ticks for which a host is excused after a restart or the end of a cut.
const EXCUSED_TICKS: u8 = 3;

/// Ticks for which hosts remember others that were removed from the list.
const REMOVED_TICKS: u8 = 10;

const MAX_FAULTS: u8 = 2;

const MAX_STATES: usize = 6_000_000;

/// Maximum sum of the shares that hosts can use, in hundredths: what an endpoint gets at most.
const MAX_SHARES: u32 = 150;

/// Part of the design that is left out, to show that the model finds it missing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Omission {
    Nothing,
    /// A second issuer issues as much as the first one.
    SecondShare,
    /// A new first issuer issues the whole limit at once.
    SettleTime,
    /// An issuer that the service does not answer issues the whole limit.
    Listing,
    /// A host issues permits from its start on.
    StartTime,
    /// A first issuer does not tell others that may hold themselves for it.
    Claims,
}

/// What a host does not reach.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Cut {
    Nothing,
    Service,
    Hosts,
    Both,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Host {
    /// When its process started; `None` while it is down.
    started_at: Option<u8>,
    cut: Cut,
    /// When it went down or was cut off from the service.
    lost_at: Option<u8>,
    /// Since when it has been listed again.
    listed_since: u8,
    /// Until when it is excused.
    excused_until: u8,
    is_lagging: bool,
    /// The other hosts that it knows.
    known: BTreeSet<usize>,
    /// When it last read the host list.
    read_at: u8,
    /// Hosts that were removed from its list, and when.
    removed: Vec<(u8, usize)>,
    issuer: PermitIssuer,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: u8,
    faults: u8,
    hosts: Vec<Host>,
    /// Sums of the shares of the limit that hosts could use at the last tick.
    shares: Shares,
}

/// What hosts can rely on to learn of a new first issuer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Channel {
    /// Its announcements arrive wherever it reaches a host. Hosts may lag.
    Claims,
    /// Its announcements are lost. No host lags.
    Lists,
}

/// Sums of shares of the limit, in hundredths.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Shares {
    /// Of the issuers that hosts in touch reach.
    in_touch: u32,
    /// Of all issuers that any host reaches.
    all: u32,
}

struct Issuers {
    omission: Omission,
    channel: Channel,
}

fn time(tick: u8) -> Duration {
    TICK * u32::from(tick)
}

impl Host {
    fn running(others: BTreeSet<usize>) -> Host {
        Host {
            started_at: Some(0),
            cut: Cut::Nothing,
            lost_at: None,
            listed_since: 0,
            excused_until: 0,
            is_lagging: false,
            known: others,
            read_at: BEGIN_TICK,
            removed: Vec::new(),
            issuer: PermitIssuer::default(),
        }
    }

    fn reaches_service(&self) -> bool {
        self.started_at.is_some() && matches!(self.cut, Cut::Nothing | Cut::Hosts)
    }

    fn reaches_hosts(&self) -> bool {
        self.started_at.is_some() && matches!(self.cut, Cut::Nothing | Cut::Service)
    }

    fn read_list(&mut self, now: u8, own: usize, registered: &BTreeSet<usize>) {
        let others: BTreeSet<_> = registered.iter().copied().filter(|h| *h != own).collect();
        self.read_at = now;
        if others == self.known {
            return;
        }
        let gone = self.known.difference(&others);
        self.removed.extend(gone.map(|host| (now, *host)));
        self.removed.retain(|(at, _)| now < at + REMOVED_TICKS);
        self.known = others;
    }
}

impl State {
    /// The hosts that have a record.
    fn registered(&self) -> BTreeSet<usize> {
        let hosts = self.hosts.iter().enumerate();
        let is_listed = |h: &Host| h.lost_at.is_none_or(|at| self.now < at + LEASE_TICKS);
        hosts
            .filter(|(_, h)| is_listed(h))
            .map(|(n, _)| n)
            .collect()
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        from == to || self.hosts[from].reaches_hosts() && self.hosts[to].reaches_hosts()
    }
}

impl Issuers {
    /// The first two issuers by a host's own list.
    fn issuers(&self, state: &State, host: usize) -> Vec<usize> {
        let viewer = &state.hosts[host];
        let may_issue = viewer.started_at.is_some_and(|at| {
            at == 0 || state.now >= at + START_TICKS || self.omission == Omission::StartTime
        });
        let mut all = viewer.known.clone();
        if may_issue {
            all.insert(host);
        }
        all.into_iter().take(2).collect()
    }

    fn view(&self, state: &State, host: usize) -> IssuerView {
        let viewer = &state.hosts[host];
        let position = self.issuers(state, host).iter().position(|h| *h == host);
        let rank = match (position, self.omission) {
            (Some(0), _) | (Some(_), Omission::SecondShare) => Some(IssuerRank::First),
            (Some(_), _) => Some(IssuerRank::Second),
            (None, _) => None,
        };
        let lost_at = viewer
            .lost_at
            .filter(|_| self.omission != Omission::Listing);
        let removed = viewer.removed.iter().filter(|(_, removed)| *removed < host);
        let removed_at = removed.map(|(at, _)| *at).max().unwrap_or_default();
        let first_since = match self.omission {
            Omission::SettleTime => 0,
            _ => removed_at.max(viewer.listed_since),
        };
        IssuerView {
            rank,
            first_since: time(first_since),
            is_listed: lost_at.is_none_or(|at| state.now < at + NOTICE_TICKS),
        }
    }

    /// Lets each host ask for a permit, and returns the sums of the shares that they could use.
    fn ask_all(&self, state: &mut State) -> Shares {
        let now = time(state.now);
        let mut in_touch = [0; HOSTS];
        let mut all = [0; HOSTS];
        for host in 0..HOSTS {
            let asker = &state.hosts[host];
            let is_up = asker.started_at.is_some();
            let is_excused = state.now < asker.excused_until || asker.cut != Cut::Nothing;
            for issuer in self.issuers(state, host) {
                if !is_up || !state.can_reach(host, issuer) {
                    continue;
                }
                let view = self.view(state, issuer);
                let permits = &mut state.hosts[issuer].issuer;
                if issuer != host {
                    permits.record_remote_request(now);
                }
                let Some(share) = permits.share(now, &view) else {
                    continue;
                };
                let share = (share * 100.0).round() as u32;
                all[issuer] = share;
                if !is_excused {
                    in_touch[issuer] = share;
                }
                self.claim(state, issuer, &view);
                break;
            }
        }
        Shares {
            in_touch: in_touch.iter().sum(),
            all: all.iter().sum(),
        }
    }

    fn claim(&self, state: &mut State, host: usize, view: &IssuerView) {
        let now = time(state.now);
        let is_sent = self.channel == Channel::Claims && self.omission != Omission::Claims;
        if !is_sent || !state.hosts[host].issuer.start_claim(now, view) {
            return;
        }
        let claimant = &state.hosts[host];
        let removed = claimant.removed.iter().map(|(_, removed)| *removed);
        let mut rivals: Vec<_> = removed.filter(|rival| *rival < host).collect();
        if view.is_new(now) {
            rivals.extend(self.issuers(state, host).get(1));
        }
        for rival in rivals {
            if state.can_reach(host, rival) {
                state.hosts[rival].issuer.record_claim(now);
            }
        }
    }

    fn tick(&self, state: &State) -> State {
        let mut next = state.clone();
        next.now += 1;
        let registered = next.registered();
        let now = next.now;
        for (n, host) in next.hosts.iter_mut().enumerate() {
            let learn_ticks = if host.is_lagging {
                LAG_TICKS
            } else {
                LEARN_TICKS
            };
            if host.reaches_service() && now >= host.read_at + learn_ticks {
                host.read_list(now, n, &registered);
            }
        }
        next.shares = self.ask_all(&mut next);
        next
    }

    fn host_steps(&self, state: &State, n: usize) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        let host = &state.hosts[n];
        let mut step = |label: &str, change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            steps.push((format!("host {n} {label}"), next));
        };
        let registered = state.registered();
        let now = state.now;
        if host.reaches_service() && !host.is_lagging {
            let mut read = host.clone();
            read.read_list(now, n, &registered);
            if read.known != host.known {
                step("reads the host list", &|next| next.hosts[n] = read.clone());
            }
        }
        if host.started_at.is_none() {
            step("starts", &|next| {
                let known = next.registered().into_iter().filter(|h| *h != n).collect();
                next.hosts[n] = Host {
                    started_at: Some(now),
                    excused_until: now + EXCUSED_TICKS,
                    read_at: now,
                    ..Host::running(known)
                };
            });
        } else if host.cut != Cut::Nothing {
            step("is connected again", &|next| {
                let host = &mut next.hosts[n];
                host.cut = Cut::Nothing;
                if host
                    .lost_at
                    .take()
                    .is_some_and(|at| now >= at + NOTICE_TICKS)
                {
                    host.listed_since = now;
                }
                host.excused_until = now + EXCUSED_TICKS;
                let registered = next.registered();
                next.hosts[n].read_list(now, n, &registered);
            });
        }
        let is_sound = host.started_at.is_some() && host.cut == Cut::Nothing;
        if state.faults >= MAX_FAULTS || !is_sound {
            return steps;
        }
        step("dies", &|next| {
            next.faults += 1;
            next.hosts[n].started_at = None;
            next.hosts[n].lost_at = Some(now);
        });
        for cut in [Cut::Service, Cut::Hosts, Cut::Both] {
            step(&format!("is cut off: {cut:?}"), &|next| {
                next.faults += 1;
                next.hosts[n].cut = cut;
                next.hosts[n].lost_at = (cut != Cut::Hosts).then_some(now);
            });
        }
        if !host.is_lagging && self.channel == Channel::Claims {
            step("begins to lag", &|next| {
                next.faults += 1;
                next.hosts[n].is_lagging = true;
            });
        }
        steps
    }
}

impl Spec for Issuers {
    type State = State;

    fn initial(&self) -> Vec<State> {
        let host = |n| Host::running((0..HOSTS).filter(|other| *other != n).collect());
        vec![State {
            now: BEGIN_TICK,
            faults: 0,
            hosts: (0..HOSTS).map(host).collect(),
            shares: Shares::default(),
        }]
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        if state.now >= END_TICK {
            return Vec::new();
        }
        let mut steps = vec![("clock tick".to_owned(), self.tick(state))];
        let hosts = 0..HOSTS;
        steps.extend(hosts.flat_map(|n| self.host_steps(state, n)));
        steps
    }

    fn invariant(&self, state: &State) -> Result<(), String> {
        match state.shares {
            Shares { in_touch, .. } if in_touch > MAX_SHARES => Err(format!(
                "{in_touch} hundredths of the limit by hosts in touch"
            )),
            // Hosts that the service does not answer may confirm each other as issuers if they do
            // not hear of another one.
            Shares { all, .. } if all > MAX_SHARES && self.channel == Channel::Claims => {
                Err(format!("{all} hundredths of the limit by all hosts"))
            }
            _ => Ok(()),
        }
    }
}

/// Explores the whole design, and returns the number of states.
fn assert_holds(channel: Channel) {
    let issuers = Issuers {
        omission: Omission::Nothing,
        channel,
    };
    let states = explore(&issuers, MAX_STATES).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states explored");
    assert!(states > 10_000, "only {states} states explored");
}

#[test]
fn issuers_share_at_most_one_and_a_half_limits_if_hosts_lag() {
    assert_holds(Channel::Claims);
}

#[test]
fn issuers_share_at_most_one_and_a_half_limits_if_claims_are_lost() {
    assert_holds(Channel::Lists);
}

#[test]
fn omitted_parts_of_the_design_are_found() {
    for (omission, channel) in [
        (Omission::SecondShare, Channel::Claims),
        (Omission::SettleTime, Channel::Lists),
        (Omission::Listing, Channel::Claims),
        (Omission::StartTime, Channel::Claims),
        // Claims are what protects from hosts that lag.
        (Omission::Claims, Channel::Claims),
    ] {
        let found = explore(&Issuers { omission, channel }, MAX_STATES);
        let found = found.expect_err("the omission must be found");
        println!("{omission:?}: {found}");
        assert!(
            found.violation.contains("of the limit"),
            "{omission:?}: {found}"
        );
    }
}
