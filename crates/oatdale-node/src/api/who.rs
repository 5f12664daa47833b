//! Who asks, and what it may ask for.

use crate::live::Live;
use crate::problem::Problem;
use http::StatusCode;
use oatdale_config::{CustomerKey, ServiceKey, ServiceKind};
use std::sync::Arc;

/// The customer whose caller asks, under one revision.
pub(super) struct Who {
    pub(super) live: Arc<Live>,
    pub(super) customer: CustomerKey,
}

impl Who {
    /// The customer's name.
    pub(super) fn name(&self) -> &str {
        &self.live.cfg.customers[self.customer].name
    }

    /// The model service of a name, if the customer may call it.
    pub(super) fn model_service(&self, name: &str) -> Result<ServiceKey, Problem> {
        self.service(name, |kind| matches!(kind, ServiceKind::Model { .. }))
    }

    /// The plain service of a name, if the customer may call it.
    pub(super) fn plain_service(&self, name: &str) -> Result<ServiceKey, Problem> {
        self.service(name, |kind| matches!(kind, ServiceKind::Plain))
    }

    /// A service that does not exist and one that the customer may not call get the same answer,
    /// so that nobody learns what others use.
    fn service(
        &self,
        name: &str,
        fits: impl Fn(&ServiceKind) -> bool,
    ) -> Result<ServiceKey, Problem> {
        let cfg = &self.live.cfg;
        self.live
            .service(name)
            .filter(|key| cfg.may_call(self.customer, *key))
            .filter(|key| fits(&cfg.services[*key].kind))
            .ok_or_else(|| {
                Problem::not_run(
                    StatusCode::NOT_FOUND,
                    "unknown-service",
                    format!("there is no service {name:?} for this customer here"),
                )
            })
    }
}
