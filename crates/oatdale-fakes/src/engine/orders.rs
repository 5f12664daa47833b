//! Orders to hold versions: fencing, loading through the weight store, reading back.

use crate::weights::WeightStore;
use oatdale_platform::wire::{Held, Order, Role, StaleFencing};
use tokio::time::Instant;

/// What an engine holds and why.
#[derive(Debug)]
pub(crate) struct Holdings {
    checks_fencing: bool,
    store: Option<WeightStore>,
    newest: u64,
    fencing: u64,
    revision: u64,
    role: Role,
    held: Vec<String>,
    loading: Vec<(Instant, String)>,
    log: Vec<Order>,
}

/// Why an order is refused.
#[derive(Debug)]
pub(crate) enum Refused {
    Stale(StaleFencing),
    UnknownVersion(String),
}

impl Holdings {
    pub(crate) fn new(held: Vec<String>, checks_fencing: bool, store: Option<WeightStore>) -> Self {
        Holdings {
            checks_fencing,
            store,
            newest: 0,
            fencing: 0,
            revision: 0,
            role: Role::default(),
            held,
            loading: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Follows an order, unless it is known to be older than another.
    pub(crate) fn order(&mut self, order: Order) -> Result<Held, Refused> {
        self.settle();
        if self.checks_fencing && order.fencing < self.newest {
            let newest = self.newest;
            return Err(Refused::Stale(StaleFencing { newest }));
        }
        self.newest = self.newest.max(order.fencing);
        self.fencing = order.fencing;
        self.revision = order.revision;
        self.role = order.role;
        self.held.retain(|v| order.versions.contains(v));
        self.loading.retain(|(_, v)| order.versions.contains(v));
        for version in &order.versions {
            self.load(version)?;
        }
        self.log.push(order);
        self.settle();
        Ok(self.report())
    }

    /// What is held and loading now.
    pub(crate) fn report(&mut self) -> Held {
        self.settle();
        Held {
            fencing: self.fencing,
            revision: self.revision,
            versions: self.held.clone(),
            loading: self.loading.iter().map(|(_, v)| v.clone()).collect(),
            role: self.role,
        }
    }

    pub(crate) fn holds(&mut self, version: &str) -> bool {
        self.settle();
        self.held.iter().any(|v| v == version)
    }

    /// All orders that were followed.
    pub(crate) fn log(&self) -> &[Order] {
        &self.log
    }

    fn load(&mut self, version: &str) -> Result<(), Refused> {
        let known = self.held.iter().chain(self.loading.iter().map(|(_, v)| v));
        if known.into_iter().any(|v| v == version) {
            return Ok(());
        }
        let ready = match &self.store {
            None => Instant::now(),
            Some(store) => store
                .fetch(version)
                .ok_or_else(|| Refused::UnknownVersion(version.to_owned()))?,
        };
        self.loading.push((ready, version.to_owned()));
        Ok(())
    }

    /// Moves what has been loaded by now.
    fn settle(&mut self) {
        let now = Instant::now();
        let ready = self.loading.extract_if(.., |(at, _)| *at <= now);
        self.held.extend(ready.map(|(_, version)| version));
    }
}
