//! `GET /v1/models` and `GET /v1/addresses`.

use super::Who;
use crate::cx::Cx;
use crate::problem::Problem;
use crate::reply::{Reply, json_of};
use http::header::{CACHE_CONTROL, HeaderValue};
use http::{StatusCode, Uri};
use oatdale_config::{Customer, ServiceKey, ServiceKind};
use percent_encoding::percent_decode_str;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses in one answer; a caller that finds all of them gone asks again.
const MAX_ADDRESSES: usize = 8;

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
    versions: Vec<String>,
}

/// The model services that the customer may call, each with the versions it may be served by.
pub(super) fn models(who: &Who) -> Reply {
    let customer = &who.live.cfg.customers[who.customer];
    let data = customer
        .services
        .iter()
        .filter_map(|key| model(who, customer, *key))
        .collect();
    json_of(&Models {
        object: "list",
        data,
    })
}

fn model(who: &Who, customer: &Customer, key: ServiceKey) -> Option<Model> {
    let cfg = &who.live.cfg;
    let service = &cfg.services[key];
    let ServiceKind::Model { models, .. } = &service.kind else {
        return None;
    };
    let versions = customer
        .versions
        .iter()
        .filter(|version| models.contains(&cfg.versions[**version].model))
        .map(|version| cfg.version_name(*version))
        .collect();
    Some(Model {
        id: service.name.clone(),
        object: "model",
        owned_by: "oatdale",
        versions,
    })
}

#[derive(Serialize)]
struct Addresses {
    object: &'static str,
    /// Seconds for which the answer may be kept.
    keep_seconds: u64,
    addresses: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    address: SocketAddr,
    weight: u32,
}

/// Addresses in the order in which the caller should try them; `?domain=` names the caller's
/// failure domain, and without it the answering node's is taken.
pub(super) fn addresses(cx: &Cx, uri: &Uri) -> Result<Reply, Problem> {
    let domain = query(uri, "domain").unwrap_or_else(|| cx.settings.domain.clone());
    let mut views = cx.peers.borrow().to_vec();
    views.push(cx.own_view());
    let chosen = oatdale_mesh::addresses(&views, &domain, MAX_ADDRESSES, rand::random());
    if chosen.is_empty() {
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-address",
            "no node takes callers at the moment",
        )
        .retry_after(Duration::from_secs(1)));
    }
    let keep_seconds = cx.settings.address_lifetime.as_secs();
    let mut reply = json_of(&Addresses {
        object: "addresses",
        keep_seconds,
        addresses: chosen
            .into_iter()
            .map(|a| Address {
                address: a.address,
                weight: a.weight,
            })
            .collect(),
    });
    if let Ok(value) = HeaderValue::try_from(format!("private, max-age={keep_seconds}")) {
        reply.headers_mut().insert(CACHE_CONTROL, value);
    }
    Ok(reply)
}

fn query(uri: &Uri, name: &str) -> Option<String> {
    uri.query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        let text = percent_decode_str(value).decode_utf8_lossy();
        (key == name).then(|| text.into_owned())
    })
}
