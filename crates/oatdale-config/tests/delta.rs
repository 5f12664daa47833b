//! Deltas lead from one text to the other, and from no text to a wrong one.

use oatdale_config::{
    ChangeId, Delta, DeltaError, Digest, Document, DocumentError, Edit, Revision, VersionState,
    apply_delta, delta, set_state,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: u64 = 300;

fn random_text(rng: &mut Pcg64) -> String {
    let lines = rng.random_range(0..40);
    let mut text: String = (0..lines)
        .map(|_| format!("line {}\n", rng.random_range(0..12)))
        .collect();
    if rng.random_bool(0.3) {
        text.push_str("no end");
    }
    text
}

fn document(revision: u64, text: &str) -> Document {
    Document::new(
        Revision(revision),
        ChangeId(revision),
        "mai",
        1_764_633_600,
        text,
    )
}

#[test]
fn every_delta_leads_to_its_text() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let (old, new) = (random_text(&mut rng), random_text(&mut rng));
        assert_eq!(apply_delta(&old, &delta(&old, &new)).expect("it fits"), new);
    }
}

#[test]
fn equal_texts_need_no_edit() {
    assert!(delta("a\nb\n", "a\nb\n").edits.is_empty());
}

#[test]
fn texts_with_little_in_common_are_replaced_in_one_piece() {
    let text = |word| {
        (0..10_000)
            .map(|n| format!("{word} {n}\n"))
            .collect::<String>()
    };
    let (old, new) = (text("old"), text("new"));
    let delta = delta(&old, &new);
    assert_eq!(delta.edits.len(), 1);
    assert_eq!(apply_delta(&old, &delta).expect("it fits"), new);
}

// A node that missed one change gets the delta of the next. Applied anyway, the lines of the delta
// would land in the wrong places, and the node would route by a text that nobody wrote.
#[test]
fn a_delta_for_another_text_is_refused() {
    let delta = delta("a\nb\n", "a\nc\n");
    let error = apply_delta("b\na\n", &delta).unwrap_err();
    assert!(matches!(error, DeltaError::OtherText { .. }), "{error}");
}

#[test]
fn ranges_outside_the_text_are_refused() {
    let old = "a\nb\n";
    let edit = |line, removed| Edit {
        line,
        removed,
        text: "x\n".to_owned(),
    };
    let cases = [
        vec![edit(3, 0)],
        vec![edit(0, 3)],
        vec![edit(1, u32::MAX)],
        vec![edit(1, 1), edit(0, 1)],
        vec![edit(0, 2), edit(1, 1)],
    ];
    for edits in cases {
        let delta = Delta {
            old: Digest::of(old),
            new: Digest::of("x\n"),
            edits,
        };
        let error = apply_delta(old, &delta).unwrap_err();
        assert!(matches!(error, DeltaError::Range { .. }), "{error}");
    }
}

#[test]
fn a_delta_with_a_wrong_result_is_refused() {
    let mut delta = delta("a\nb\n", "a\nc\n");
    delta.edits[0].text = "d\n".to_owned();
    let error = apply_delta("a\nb\n", &delta).unwrap_err();
    assert!(matches!(error, DeltaError::WrongResult { .. }), "{error}");
}

#[test]
fn a_delta_that_makes_too_long_a_text_is_refused() {
    let mut delta = delta("a\n", "b\n");
    delta.edits[0].text = "b".repeat(oatdale_config::MAX_TEXT + 1);
    assert_eq!(apply_delta("a\n", &delta), Err(DeltaError::TooLong));
}

// A version was stopped as bad at revision 8. A node that starts later must know whether the
// operators spoke of the version since: otherwise it would send sessions to a bad version again, or
// keep a mended one from them.
#[test]
fn a_document_says_which_revision_last_spoke_of_each_version() {
    let skyward = include_str!("../../../examples/skyward.yaml");
    let first = document(7, skyward).after(None);
    assert!(first.head.spoken.values().all(|r| *r == Revision(7)));
    let name = first.head.spoken.keys().next().expect("a version").clone();
    let text = set_state(skyward, &name, VersionState::Draining).expect("sound");
    let second = document(8, &text).after(Some(&first));
    let changed = second
        .head
        .spoken
        .iter()
        .filter(|(_, r)| **r == Revision(8));
    assert_eq!(changed.map(|(n, _)| n).collect::<Vec<_>>(), [&name]);
    let third = document(9, &format!("# a remark\n{text}")).after(Some(&second));
    assert_eq!(third.head.spoken, second.head.spoken);
    let read = Document::decode(&third.encode()).expect("sound");
    assert_eq!(read.head.spoken, second.head.spoken);
}

#[test]
fn a_small_change_makes_a_small_delta_of_the_stored_bytes() {
    let skyward = include_str!("../../../examples/skyward.yaml");
    let bytes = |d: &Document| String::from_utf8(d.encode()).expect("text");
    let first = document(7, skyward).after(None);
    let name = first.head.spoken.keys().next().expect("a version").clone();
    let text = set_state(skyward, &name, VersionState::Draining).expect("sound");
    let second = document(8, &text).after(Some(&first));
    let delta = delta(&bytes(&first), &bytes(&second));
    let size: usize = delta.edits.iter().map(|e| e.text.len()).sum();
    assert!(size < 1000, "{size} bytes for one word");
    let made = apply_delta(&bytes(&first), &delta).expect("it fits");
    assert_eq!(Document::decode(made.as_bytes()).expect("sound"), second);
}

#[test]
fn documents_survive_encoding() {
    let document = document(7, "a\nb\n");
    assert_eq!(
        Document::decode(&document.encode()).expect("sound"),
        document
    );
}

#[test]
fn damaged_documents_are_refused_and_never_panic() {
    let bytes = document(7, "failure-domains: {}\n").encode();
    for at in 0..bytes.len() {
        for flip in [0x01, 0x20, 0xff] {
            let mut damaged = bytes.clone();
            damaged[at] ^= flip;
            // The operator, the time and such have no digest; the text has one.
            if let Ok(read) = Document::decode(&damaged) {
                assert_eq!(read.text, "failure-domains: {}\n");
            }
        }
        assert!(Document::decode(&bytes[..at]).is_err());
    }
}

#[test]
fn documents_go_forward_only() {
    let (old, new) = (document(7, "a\n"), document(9, "b\n"));
    assert_eq!(old.apply(&old.delta_to(&new)).expect("forward"), new);
    let back = new.apply(&new.delta_to(&old)).unwrap_err();
    assert!(
        matches!(back, DocumentError::WrongRevision { .. }),
        "{back}"
    );
    let elsewhere = document(8, "a\n").apply(&old.delta_to(&new)).unwrap_err();
    assert!(
        matches!(elsewhere, DocumentError::WrongRevision { .. }),
        "{elsewhere}"
    );
}
