//! The program `oatdale` as operators and their scripts meet it.

mod bills;
mod site;

use oatdale_fakes::{KvFault, KvFaults};
use oatdale_platform::{CURRENT_KEY, Kv};
use serde_json::Value;
use site::{Site, example};

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

#[tokio::test]
async fn texts_are_checked_with_their_places() {
    let site = Site::start("check").await;
    let files = [example("skyward.yaml"), example("tallyrow.yaml")];
    let run = site.run(&["check", &files[0], &files[1]]).await;
    assert_eq!(
        (run.code, run.out.matches("sound").count()),
        (0, 2),
        "{run:?}"
    );
    let run = site
        .run(&["check", "--settings", &example("node.yaml")])
        .await;
    assert_eq!(run.code, 0, "{run:?}");
    let text = std::fs::read_to_string(&files[0]).expect("the example is there");
    let bad = site.write("bad.yaml", &text.replace("state: serving", "state: servin"));
    let run = site.run(&["--json", "check", &bad]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("bad.yaml:17:16: name:"), "{run:?}");
    let report = json(&run.out);
    assert_eq!(report[0]["problems"][0]["help"], "did you mean `serving`?");
}

#[tokio::test]
async fn a_text_goes_round() {
    let site = Site::start("round").await;
    let run = site.run(&["show"]).await;
    assert_eq!(
        (run.code, run.err.contains("oatdale apply")),
        (1, true),
        "{run:?}"
    );
    site.apply_skyward().await;
    let shown = site.run(&["show"]).await.out;
    assert!(shown.starts_with("# oatdale-revision: 1\n"));
    let edited = shown.replace("deadline: 10s", "deadline: 12s");
    let file = site.write("edited.yaml", &edited);
    let diff = site.run(&["diff", &file]).await;
    assert!(
        diff.out.contains("service tag-mail: deadline: 10s -> 12s"),
        "{diff:?}"
    );
    assert!(diff.out.contains("\n+    deadline: 12s\n"), "{diff:?}");
    let run = site.run(&["--json", "apply", &file]).await;
    assert_eq!(
        (run.code, &json(&run.out)["revision"]),
        (0, &Value::from(2)),
        "{run:?}"
    );
    let again = site.run(&["apply", &file]).await;
    assert_eq!(again.code, 0, "{again:?}");
    assert!(
        again.out.contains("nothing to change: revision 2"),
        "{again:?}"
    );
    let history = json(&site.run(&["--json", "history"]).await.out);
    let revisions: Vec<_> = history.as_array().expect("a list").iter().collect();
    assert_eq!(
        (revisions.len(), &revisions[0]["operator"]),
        (2, &Value::from("mai"))
    );
    let old = site.run(&["show", "--revision", "1", "--plain"]).await.out;
    assert_eq!(
        old,
        std::fs::read_to_string(example("skyward.yaml")).expect("there")
    );
    let between = site.run(&["diff", "--from", "1"]).await;
    assert!(between.out.contains("10s -> 12s"), "{between:?}");
}

// Two operators take the text, and both apply. The second must not take back what the first one
// changed, and must learn what that was.
#[tokio::test]
async fn a_racing_apply_is_refused_with_the_difference() {
    let site = Site::start("race").await;
    site.apply_skyward().await;
    let shown = site.run(&["show"]).await.out;
    let first = site.write("first.yaml", &shown.replace("share: 5%", "share: 20%"));
    let second = site.write(
        "second.yaml",
        &shown.replace("deadline: 10s", "deadline: 12s"),
    );
    let run = site.run(&["--operator", "linh", "apply", &first]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let run = site.run(&["apply", &second]).await;
    assert_eq!(run.code, 4, "{run:?}");
    insta::assert_snapshot!("conflict", run.err);
    let run = site.run(&["--json", "apply", &second]).await;
    let report = json(&run.out);
    assert_eq!((run.code, &report["result"]), (4, &Value::from("conflict")));
    assert_eq!(report["changes"][0]["new"], "canary 20%");
    assert!(site.run(&["show"]).await.out.contains("deadline: 10s"));
}

#[tokio::test]
async fn a_text_of_unknown_origin_is_refused() {
    let site = Site::start("origin").await;
    site.apply_skyward().await;
    let run = site.run(&["apply", &example("tallyrow.yaml")]).await;
    assert_eq!(
        (run.code, run.err.contains("--seen 1")),
        (2, true),
        "{run:?}"
    );
    let run = site
        .run(&["apply", &example("tallyrow.yaml"), "--seen", "1"])
        .await;
    assert_eq!(run.code, 0, "{run:?}");
}

#[tokio::test]
async fn a_bad_text_never_reaches_the_service() {
    let site = Site::start("bad").await;
    let file = site.write("bad.yaml", "customers: {}\n");
    let run = site.run(&["apply", &file]).await;
    assert_eq!(
        (run.code, run.err.contains("bad.yaml:1:1: rule:")),
        (3, true),
        "{run:?}"
    );
    assert_eq!(site.kv.counters().writes, 0);
    assert_eq!(site.kv.get(CURRENT_KEY).await.expect("an answer"), None);
}

// The service stores the text and closes the connection in place of an answer. The operator must
// hear that the change holds, and not be told to try again.
#[tokio::test]
async fn a_lost_answer_is_resolved() {
    let site = Site::start("lost").await;
    site.kv.script("client", [KvFault::LostAnswer]);
    let run = site.run(&["apply", &example("skyward.yaml")]).await;
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "revision 1 is accepted\n"),
        "{run:?}"
    );
    assert_eq!(site.kv.counters().lost_answers, 1);
}

// Every write is lost until the time is up. Nobody can tell whether one is still on its way, so the
// program says so, and the same change can be tried again without ever being made twice.
#[tokio::test]
async fn a_change_in_doubt_can_be_tried_again() {
    let site = Site::start("doubt").await;
    site.kv.set_faults(KvFaults {
        lost_requests: 1.0,
        ..KvFaults::default()
    });
    let file = example("skyward.yaml");
    let run = site.run(&["--timeout", "1s", "apply", &file]).await;
    assert_eq!(run.code, 5, "{run:?}");
    let change = run.err.split("The change ").nth(1).expect("it is named");
    let change = change.split(' ').next().expect("a word").to_owned();
    site.kv.set_faults(KvFaults::default());
    for _ in 0..2 {
        let run = site.run(&["apply", &file, "--change", &change]).await;
        assert_eq!(
            (run.code, run.out.as_str()),
            (0, "revision 1 is accepted\n"),
            "{run:?}"
        );
    }
}

#[tokio::test]
async fn an_outage_changes_nothing() {
    let site = Site::start("outage").await;
    site.apply_skyward().await;
    site.kv.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let run = site
        .run(&["--timeout", "500ms", "withdraw", "orbit-pro/2026-06"])
        .await;
    assert_eq!(
        (run.code, run.err.contains("nothing was changed")),
        (1, true),
        "{run:?}"
    );
}

#[tokio::test]
async fn versions_roll_out_and_in() {
    let site = Site::start("states").await;
    site.apply_skyward().await;
    let steps: [(&[&str], &str); 4] = [
        (
            &["roll-out", "orbit-mini/2026-11", "--share", "20%"],
            "share: 20%",
        ),
        (
            &["roll-out", "orbit-mini/2026-11"],
            "      2026-11:\n        state: serving",
        ),
        (
            &["drain", "orbit-mini/2026-09"],
            "      2026-09:\n        state: draining",
        ),
        (
            &["withdraw", "orbit-pro/2026-06"],
            "      2026-06:\n        state: withdrawn",
        ),
    ];
    // A customer's board has passed the old version only; it must be let go first.
    let shown = site.run(&["show"]).await.out;
    let wider = shown.replace(
        "[orbit-mini/2026-09, orbit-pro/2026-10]\n    limits",
        "[orbit-mini/*, orbit-pro/*]\n    limits",
    );
    let file = site.write("wider.yaml", &wider);
    assert_eq!(site.run(&["apply", &file]).await.code, 0);
    for (args, found) in steps {
        let run = site.run(args).await;
        assert_eq!(run.code, 0, "{args:?}: {run:?}");
        let text = site.run(&["show"]).await.out;
        assert!(text.contains(found), "{args:?}");
        assert!(
            text.contains("# A canary takes this share"),
            "comments stay"
        );
    }
    let run = site.run(&["drain", "orbit-mini/2026-19"]).await;
    assert_eq!(
        (run.code, run.err.contains("did you mean `orbit-mini/2026-")),
        (3, true),
        "{run:?}"
    );
    // Harm must be stopped even if it leaves customers without an answer; who that is, is said.
    let run = site.run(&["withdraw", "orbit-mini/2026-11"]).await;
    assert_eq!(
        (
            run.code,
            run.err.contains("`mail-desk` to `tag-mail` are refused")
        ),
        (0, true),
        "{run:?}"
    );
}

#[tokio::test]
async fn waiting_shows_progress_until_every_node_has_it() {
    let mut site = Site::start("wait").await;
    let _first = site.add_node("entry-a1", 1, 0).await;
    let _second = site.add_node("entry-b1", 1, 2).await;
    let run = site
        .run(&["apply", &example("skyward.yaml"), "--wait"])
        .await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.err
            .contains("revision 1: on 1 of 2 nodes, not yet on entry-b1 (0)"),
        "{run:?}"
    );
    assert!(
        run.err.contains("revision 1: on 2 of 2 nodes, after"),
        "{run:?}"
    );
}

// One node is down. An operator who withdraws a bad version has to know that this node may come
// back with the old text for a moment.
#[tokio::test]
async fn waiting_names_the_node_that_does_not_answer() {
    let mut site = Site::start("silent").await;
    let _first = site.add_node("entry-a1", 1, 0).await;
    let second = site.add_node("entry-b1", 1, 0).await;
    second.refuse(true);
    let file = example("skyward.yaml");
    let run = site
        .run(&["--timeout", "1s", "apply", &file, "--wait"])
        .await;
    let silent = format!("{} (no answer)", second.addr());
    assert_eq!((run.code, run.err.contains(&silent)), (6, true), "{run:?}");
    let run = site.run(&["status"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("entry-a1") && run.out.contains("no answer"),
        "{run:?}"
    );
    let report = json(&site.run(&["--json", "status"]).await.out);
    assert_eq!(report.as_array().map(Vec::len), Some(2));
}

// The operator names one node. A second one, of which that node only heard, still has the old text;
// a third one has said goodbye and will never have the new one.
#[tokio::test]
async fn waiting_counts_nodes_that_others_tell_of() {
    let mut site = Site::start("heard").await;
    let peers = r#"{"host":"entry-b1","revision":0,"state":"alive"},
        {"host":"entry-c1","revision":0,"state":"left"}"#;
    let _first = site.add_node_with_peers("entry-a1", 1, 0, peers).await;
    let file = example("skyward.yaml");
    let run = site
        .run(&["--timeout", "1s", "apply", &file, "--wait"])
        .await;
    assert_eq!(run.code, 6, "{run:?}");
    assert!(
        run.err
            .contains("on 1 of 2 nodes, not yet on entry-b1 (0)\n"),
        "{run:?}"
    );
    let run = site.run(&["status"]).await;
    assert!(
        run.out.contains("as entry-a1 heard") && !run.out.contains("entry-c1"),
        "{run:?}"
    );
}

#[tokio::test]
async fn throttling_is_waited_out() {
    let site = Site::start("throttle").await;
    site.kv.set_limits(oatdale_fakes::KvLimits {
        writes: 5.0,
        reads: 5.0,
    });
    for _ in 0..3 {
        site.run(&["history"]).await;
    }
    let run = site.run(&["apply", &example("skyward.yaml")]).await;
    assert_eq!(run.code, 0, "{run:?}");
}

#[tokio::test]
async fn wrong_command_lines_and_keys() {
    let site = Site::start("usage").await;
    for args in [
        &["aply"][..],
        &["check"],
        &["bills", "export", "--truncate"],
        &["diff"],
    ] {
        let run = site.run(args).await;
        assert_eq!(
            (run.code, run.err.is_empty()),
            (2, false),
            "{args:?}: {run:?}"
        );
    }
    let run = site.run(&["--help"]).await;
    assert_eq!((run.code, run.out.contains("Exit codes:")), (0, true));
    let made = json(&site.run(&["--json", "key", "new"]).await.out);
    let key = made["key"].as_str().expect("a key");
    let digest = site.run_with(&["key", "digest"], &format!("{key}\n")).await;
    assert_eq!(
        digest.out.trim(),
        made["digest"].as_str().expect("a digest")
    );
}
