//! The commands, one module for each group.

pub(crate) mod apply;
pub(crate) mod bills;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod key;
pub(crate) mod seen;
pub(crate) mod show;
pub(crate) mod state;
pub(crate) mod status;
