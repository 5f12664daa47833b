//! `oatdale demo`.

use crate::cx::Cx;
use crate::error::{CliError, Result};
use crate::flags::Demo;

/// Runs the tour.
pub(crate) async fn run(_cx: &Cx, _flags: &Demo) -> Result<()> {
    Err(CliError::Other {
        message: "this build has no demo yet".to_owned(),
    })
}
