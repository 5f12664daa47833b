//! The modules of the simulated fleet.

#[path = "app.rs"]
pub(crate) mod app;
#[path = "faults.rs"]
pub(crate) mod faults;
#[path = "fleet.rs"]
pub(crate) mod fleet;
#[path = "network.rs"]
pub(crate) mod network;
