//! `oatdale roll-out`, `drain` and `withdraw`: one version's state in the text in force.

use crate::command::apply::{Wish, apply};
use crate::command::show::document;
use crate::cx::Cx;
use crate::error::Result;
use crate::flags::{Drain, RollOut, Withdraw};
use oatdale_config::{VersionState, set_state};

pub(crate) async fn roll_out(cx: &Cx, flags: &RollOut) -> Result<()> {
    let state = match flags.share {
        Some(share) => VersionState::Canary { share: share.0 },
        None => VersionState::Serving,
    };
    set(cx, &flags.version, state, flags.wait).await
}

pub(crate) async fn drain(cx: &Cx, flags: &Drain) -> Result<()> {
    set(cx, &flags.version, VersionState::Draining, flags.wait).await
}

pub(crate) async fn withdraw(cx: &Cx, flags: &Withdraw) -> Result<()> {
    set(cx, &flags.version, VersionState::Withdrawn, flags.wait).await
}

/// A conflict is reported and not tried again: the other change may have been about this version.
async fn set(cx: &Cx, version: &str, state: VersionState, wait: bool) -> Result<()> {
    let store = cx.store()?;
    let current = document(cx, &store, None).await?;
    let wish = Wish {
        seen: current.head.revision,
        text: set_state(&current.text, version, state)?,
        change: None,
        wait,
    };
    apply(cx, &store, wish).await
}
