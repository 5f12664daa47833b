//! Who adds up the loads of which endpoints, and how often they are told.

use std::time::Duration;

/// How long what was told counts, as a multiple of the pause between two tellings: some may be lost.
const FRESH: u32 = 4;

/// Time between two tellings: an engine of a busy site gets some two requests meanwhile.
const EVERY: Duration = Duration::from_millis(250);

/// Nodes times endpoints for each group. A node that adds up so many sends 150 kB a second, a tenth of a link of
/// 10 Mbit/s.
const GROUP_SIZE: usize = 4_096;

/// Groups up to which nodes tell each quarter of a second: for each group a node sends and gets eight datagrams
/// a second, so 128 each way for 16 groups, fewer than there are about long prompts at such a size.
const MOST_GROUPS: usize = 16;

/// How loads are told on a site of this size.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Scheme {
    /// Into how many groups endpoints are dealt; a power of two, so that nodes that know of a few more or less
    /// mostly agree.
    pub groups: u32,
    /// Time between two tellings.
    pub every: Duration,
}

impl Scheme {
    /// The scheme for so many nodes and endpoints.
    pub fn new(nodes: usize, endpoints: usize) -> Self {
        let groups = (nodes * endpoints / GROUP_SIZE).max(1).ilog2();
        let groups = 1_usize << groups;
        let slower = (groups / MOST_GROUPS).max(1);
        Scheme {
            groups: u32::try_from(groups).unwrap_or(u32::MAX),
            every: EVERY * u32::try_from(slower).unwrap_or(u32::MAX),
        }
    }

    /// The group of an endpoint.
    pub fn group(&self, endpoint: u32) -> u32 {
        endpoint % self.groups
    }

    /// How long what was told counts.
    pub(crate) fn fresh(&self) -> Duration {
        self.every * FRESH
    }
}

impl Default for Scheme {
    fn default() -> Self {
        Scheme::new(1, 1)
    }
}
