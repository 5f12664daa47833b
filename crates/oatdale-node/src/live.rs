//! The configuration in force, as one immutable value that requests hold on to.

use bytes::Bytes;
use oatdale_config::{
    Config, CustomerKey, Digest, Document, EndpointKey, Key, Revision, ServiceKey, VersionKey,
};
use oatdale_policy::{RequestInfo, Session};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// One revision of the configuration with the look-ups that requests need.
pub(crate) struct Live {
    /// The revision.
    pub(crate) revision: Revision,
    /// The checked text.
    pub(crate) cfg: Arc<Config>,
    /// The stored document, for other nodes.
    pub(crate) document: Bytes,
    customers: HashMap<Digest, CustomerKey>,
    services: HashMap<String, ServiceKey>,
    versions: HashMap<String, VersionKey>,
    spoken: BTreeMap<String, Revision>,
}

impl Live {
    /// What is in force before any text was heard of: nobody may do anything.
    pub(crate) fn none() -> Arc<Live> {
        Live::new(Revision(0), Arc::default(), Bytes::new(), BTreeMap::new())
    }

    /// Checks and prepares a stored document.
    ///
    /// # Errors
    ///
    /// The text is not sound; only a newer release can have stored it.
    pub(crate) fn of(document: &Document) -> oatdale_config::Result<Arc<Live>> {
        let cfg = oatdale_config::from_str(&document.text)?;
        Ok(Live::new(
            document.head.revision,
            Arc::new(cfg),
            Bytes::from(document.encode()),
            document.head.spoken.clone(),
        ))
    }

    fn new(
        revision: Revision,
        cfg: Arc<Config>,
        document: Bytes,
        spoken: BTreeMap<String, Revision>,
    ) -> Arc<Live> {
        let customers = cfg
            .customers
            .iter()
            .flat_map(|(key, customer)| customer.keys.iter().map(move |digest| (*digest, key)))
            .collect();
        let services = cfg
            .services
            .iter()
            .map(|(key, service)| (service.name.clone(), key))
            .collect();
        let versions = cfg
            .versions
            .keys()
            .map(|key| (cfg.version_name(key), key))
            .collect();
        Arc::new(Live {
            revision,
            cfg,
            document,
            customers,
            services,
            versions,
            spoken,
        })
    }

    /// The customer that a caller's key belongs to.
    pub(crate) fn customer(&self, digest: Digest) -> Option<CustomerKey> {
        self.customers.get(&digest).copied()
    }

    /// The service of a name.
    pub(crate) fn service(&self, name: &str) -> Option<ServiceKey> {
        self.services.get(name).copied()
    }

    /// The version of a name such as `planner/2026-11`.
    pub(crate) fn version(&self, name: &str) -> Option<VersionKey> {
        self.versions.get(name).copied()
    }

    /// Finds the items of `request_info`, whose keys belong to `from`, in this revision.
    ///
    /// A request may be read under one revision and routed under the next. Keys are places in a
    /// text, so an old key used with a new text would name another customer or version without
    /// any sign of it; going by name makes that impossible.
    pub(crate) fn translate(&self, from: &Live, request_info: &RequestInfo) -> Option<RequestInfo> {
        if from.revision == self.revision {
            return Some(*request_info);
        }
        let customer = &from.cfg.customers[request_info.customer].name;
        let session = match request_info.session {
            Session::Pinned { version, step } => Session::Pinned {
                version: self.version(&from.cfg.version_name(version))?,
                step,
            },
            other => other,
        };
        Some(RequestInfo {
            customer: self.cfg.customers.find(|c| c.name == *customer)?,
            service: self.service(&from.cfg.services[request_info.service].name)?,
            session,
            ..*request_info
        })
    }

    /// The newest revision known that changed what the text says of a version.
    pub(crate) fn spoken_at(&self, version: &str) -> Revision {
        self.spoken.get(version).copied().unwrap_or_default()
    }

    /// The endpoint of a name.
    pub(crate) fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.cfg.endpoints.find(|endpoint| endpoint.name == name)
    }

    /// Whether a key belongs to this revision's arenas; used to drop reports about old texts.
    pub(crate) fn knows(&self, key: EndpointKey) -> bool {
        key.index() < self.cfg.endpoints.len()
    }
}
