//! Requests from a caller through a node to an endpoint and back.

#[path = "support/site.rs"]
mod site;

use http::StatusCode;
use oatdale_fakes::{Plain, text};
use oatdale_platform::{Condition, Kv};
use site::{DESK_KEY, Site, bearer, until};

#[tokio::test]
async fn a_chat_is_answered_by_the_version_that_takes_work_and_billed_once() {
    let mut states = site::usual_states();
    states.insert("large/1", "{ state: draining");
    let site = Site::with(1, &states, 0.5).await;
    let got = site.chat(0, "tag this mail", &[]).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    assert_eq!(got.headers["x-version"], "small/1");
    let content = got.json()["choices"][0]["message"]["content"].to_string();
    let reference = text::reference("small/1", "user: tag this mail");
    assert!(content.contains(&reference), "{content} has no {reference}");
    until("the bill is in the journal", async || {
        site.bills().await.len() == 1
    })
    .await;
    let bill = site.bills().await.remove(0);
    assert_eq!(bill.customer, "alpha");
    assert_eq!(bill.version.as_deref(), Some("small/1"));
    assert_eq!(bill.output_tokens, 8);
    assert_eq!(bill.price.0, bill.input_tokens + 2 * 8);
    assert_eq!(
        got.headers["x-request-id"].to_str().unwrap(),
        bill.request.to_string()
    );
}

#[tokio::test]
async fn a_stream_ends_with_its_terminator() {
    let site = Site::start(1).await;
    let got = site.chat_stream(0, "draft a schedule").await;
    assert_eq!(got.status, StatusCode::OK);
    assert_eq!(got.headers["content-type"], "text/event-stream");
    assert!(
        got.text().trim_end().ends_with("data: [DONE]"),
        "{}",
        got.text()
    );
}

#[tokio::test]
async fn a_plain_service_gets_the_path_below_its_name() {
    let site = Site::start(1).await;
    let got = site.desk(0, "GET", "/slots/7?full=1", &[]).await;
    assert_eq!(got.status, StatusCode::OK, "{}", got.text());
    let calls: Vec<_> = site
        .stand_ins
        .plain()
        .iter()
        .flat_map(Plain::calls)
        .collect();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].path, "/slots/7?full=1");
}

#[tokio::test]
async fn nobody_gets_what_is_not_theirs() {
    let site = Site::start(1).await;
    let addr = site.callers(0);
    let none = site.get(addr, "/v1/models", &[]).await;
    assert_eq!(none.status, StatusCode::UNAUTHORIZED);
    assert_eq!(none.json()["run"], "not-run");
    let wrong = site
        .get(addr, "/v1/models", &[("authorization", "Bearer guess")])
        .await;
    assert_eq!(wrong.status, StatusCode::UNAUTHORIZED);
    let auth = bearer(DESK_KEY);
    let models = site
        .get(addr, "/v1/models", &[("authorization", &auth)])
        .await;
    assert_eq!(models.json()["data"].as_array().map(Vec::len), Some(0));
    let body = r#"{"model":"drafts","messages":[]}"#;
    let chat = site
        .send(
            addr,
            "POST",
            "/v1/chat/completions",
            &[("authorization", &auth)],
            body,
        )
        .await;
    assert_eq!(chat.status, StatusCode::NOT_FOUND);
    assert_eq!(chat.json()["run"], "not-run");
}

#[tokio::test]
async fn a_session_token_opened_at_one_node_keeps_its_version_at_another() {
    let mut site = Site::start(2).await;
    let auth = bearer(site::KEY);
    let opened = site
        .send(
            site.callers(0),
            "POST",
            "/v1/sessions",
            &[("authorization", &auth)],
            r#"{"model":"drafts"}"#,
        )
        .await;
    assert_eq!(opened.status, StatusCode::OK, "{}", opened.text());
    let opened = opened.json();
    let token = opened["token"].as_str().unwrap().to_owned();
    let version = opened["version"].as_str().unwrap().to_owned();
    let headers = [("x-session-token", token.as_str())];
    let mut states = site::usual_states();
    let name = *states.keys().find(|name| **name == version).unwrap();
    states.insert(name, "{ state: draining");
    site.apply(&states, 0.5).await;
    site.in_force().await;
    let kept = site.chat(1, "go on", &headers).await;
    assert_eq!(
        kept.headers["x-version"],
        version.as_str(),
        "{}",
        kept.text()
    );
    states.insert(name, "{ state: withdrawn");
    site.apply(&states, 0.5).await;
    site.in_force().await;
    let refused = site.chat(1, "go on", &headers).await;
    assert_eq!(refused.status, StatusCode::GONE);
    assert_eq!(refused.json()["run"], "not-run");
}

// A version was stopped as bad, mended, and rolled out again by an operator. A status that went on to
// list the stop would make the next operator believe that the version still gets no new work.
#[tokio::test]
async fn the_status_lists_a_stop_until_a_newer_revision_speaks_of_the_version() {
    let mut states = site::usual_states();
    let mut site = Site::with(0, &states, 0.5).await;
    let stop = serde_json::json!({ "version": "small/1", "revision": 1, "reason": "Errors" });
    let kv = site.stand_ins.kv();
    kv.put(
        "stops/small/1",
        stop.to_string().into(),
        Condition::Absent,
        None,
    )
    .await
    .expect("it is up");
    site.add_node(0).await;
    let admin = site.nodes[0].addresses().admin;
    until("the stop is listed", async || {
        let status = site.get(admin, "/v1/status", &[]).await.json();
        status["stops"][0]["version"] == "small/1"
    })
    .await;
    states.insert("small/1", "{ state: canary, share: 50%");
    site.apply(&states, 0.5).await;
    site.in_force().await;
    let status = site.get(admin, "/v1/status", &[]).await.json();
    assert_eq!(status["stops"], serde_json::json!([]));
}
