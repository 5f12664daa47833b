//! `oatdale key`.

use crate::cx::{Cx, read_text};
use crate::error::{Result, usage};
use oatdale_config::Digest;
use rand::Rng;
use serde::Serialize;
use std::path::Path;

#[derive(Serialize)]
struct KeyReport<'a> {
    key: &'a str,
    digest: Digest,
}

#[derive(Serialize)]
struct DigestReport {
    digest: Digest,
}

/// 256 random bits, as 64 hex digits; nodes' mesh keys have the same form.
pub(crate) fn new(cx: &Cx) -> Result<()> {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    let key = hex::encode(bytes);
    let digest = Digest::of(&key);
    let text = format!("key     {key}\ndigest  {digest}\n");
    cx.print(&text, &KeyReport { key: &key, digest })
}

/// Reads the key from standard input, where it shows in no list of processes.
pub(crate) fn digest(cx: &Cx) -> Result<()> {
    let input = read_text(Path::new("-"))?;
    let key = input.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return usage("give the key on standard input, such as `oatdale key digest < key.txt`");
    }
    let digest = Digest::of(key);
    cx.print(&format!("{digest}\n"), &DigestReport { digest })
}
