//! Versions that were stopped as bad, over restarts and revisions.

#[path = "support/site.rs"]
mod site;

use oatdale_platform::{Condition, Kv};
use site::{KEY, Site, bearer, until};

/// With nothing learned yet, sessions get the dearer version unless it is stopped.
const QUALITY: f64 = 0.5;

/// Records a stop of the dearer version as a node does.
async fn record_stop(site: &Site, revision: u64) {
    let stop = format!(r#"{{"version":"large/1","revision":{revision},"reason":"Errors"}}"#);
    let put = site
        .stand_ins
        .kv()
        .put("stops/large/1", stop.into(), Condition::Absent, None);
    put.await.expect("it is up");
}

/// Versions of `count` new sessions at a node.
async fn sessions(site: &Site, node: usize, count: usize) -> Vec<String> {
    let auth = bearer(KEY);
    let headers = [("authorization", auth.as_str())];
    let mut versions = Vec::new();
    for _ in 0..count {
        let body = r#"{"model":"drafts"}"#;
        let addr = site.callers(node);
        let opened = site
            .send(addr, "POST", "/v1/sessions", &headers, body)
            .await;
        versions.push(
            opened.json()["version"]
                .as_str()
                .unwrap_or("none")
                .to_owned(),
        );
    }
    versions
}

// A version was stopped as bad yesterday. Its node is replaced, and the new one has seen none of the
// evidence. Without the recorded stop it would open sessions on the bad version until it had
// gathered evidence of its own, at its callers' cost.
#[tokio::test]
async fn a_node_that_has_just_started_keeps_to_a_recorded_stop() {
    let mut site = Site::with(0, &site::usual_states(), QUALITY).await;
    record_stop(&site, site.revision).await;
    site.add_node(0).await;
    let versions = sessions(&site, 0, 20).await;
    assert!(versions.iter().all(|v| v == "small/1"), "{versions:?}");
}

// Operators mend the version and say so in the text. Nodes must let it work again, the ones that
// start later too, or the mended version would stay idle for ever; a change that does not speak of
// the version must not free it.
#[tokio::test]
async fn only_a_text_that_speaks_of_the_version_ends_its_stop() {
    let mut site = Site::with(0, &site::usual_states(), QUALITY).await;
    record_stop(&site, site.revision).await;
    site.add_node(0).await;
    site.apply(&site::usual_states(), QUALITY + 0.01).await;
    site.in_force().await;
    let versions = sessions(&site, 0, 20).await;
    assert!(versions.iter().all(|v| v == "small/1"), "{versions:?}");
    let mut states = site::usual_states();
    states.insert("large/1", "{ state: draining");
    site.apply(&states, QUALITY).await;
    site.apply(&site::usual_states(), QUALITY + 0.01).await;
    site.in_force().await;
    site.add_node(1).await;
    for node in 0..2 {
        until("the mended version gets sessions", async || {
            sessions(&site, node, 5)
                .await
                .iter()
                .any(|v| v == "large/1")
        })
        .await;
    }
}
