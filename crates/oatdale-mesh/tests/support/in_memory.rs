//! A fleet of members in one process.

#[path = "app.rs"]
pub(crate) mod app;
#[path = "fleet.rs"]
pub(crate) mod fleet;
