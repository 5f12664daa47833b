//! Whatever a text has become, reading it gives a checked form or an error, never a panic.

use oatdale_config::{Error, VersionState, changes, from_str, set_state};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const TEXTS: usize = 600;
/// What tends to upset readers of YAML and checkers of names.
const NASTY: [&str; 24] = [
    "{", "}", "[", "]", ":", "-", "\"", "'", "&a", "*a", "<<: *a", "!!int", "|", ">", "\t", "\0",
    "\u{feff}", "é", "~", "1e999", "-0", ".inf", "/*", "%",
];

fn example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the example is there")
}

/// Changes one place of `text`.
fn mutate(text: &str, rng: &mut impl Rng) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    if lines.is_empty() {
        return NASTY[rng.random_range(0..NASTY.len())].to_owned();
    }
    let pick = rng.random_range(0..lines.len());
    let other = rng.random_range(0..lines.len());
    match rng.random_range(0..7) {
        0 => {
            lines.remove(pick);
        }
        1 => lines.insert(pick, lines[other].clone()),
        2 => lines.swap(pick, other),
        3 => lines.truncate(pick),
        4 => {
            let word = NASTY[rng.random_range(0..NASTY.len())];
            let at = boundary(&lines[pick], rng);
            lines[pick].insert_str(at, word);
        }
        5 => {
            let at = boundary(&lines[pick], rng);
            lines[pick].truncate(at);
        }
        _ => lines[pick] = format!("  {}", lines[pick]),
    }
    lines.join("\n")
}

fn boundary(line: &str, rng: &mut impl Rng) -> usize {
    let places: Vec<usize> = line.char_indices().map(|(at, _)| at).collect();
    match places.len() {
        0 => 0,
        n => places[rng.random_range(0..n)],
    }
}

fn check_places(text: &str, error: &Error) {
    let lines = text.lines().count() + 1;
    for problem in error.problems() {
        assert!(problem.line as usize <= lines, "{error}\n{text}");
        assert!(!problem.message.is_empty());
    }
}

#[test]
fn mutated_texts_never_panic() {
    let mut refused = 0;
    for name in ["skyward.yaml", "tallyrow.yaml"] {
        let sound = example(name);
        for seed in 0..TEXTS as u64 {
            let mut rng = Pcg64::seed_from_u64(seed);
            let mut text = sound.clone();
            for _ in 0..=seed % 4 {
                text = mutate(&text, &mut rng);
            }
            if let Err(e) = oatdale_config::from_str(&text) {
                check_places(&text, &e);
                refused += 1;
            }
        }
    }
    assert!(refused > TEXTS, "only {refused} texts were refused");
}

#[test]
fn mutated_node_settings_never_panic() {
    let sound = example("node.yaml");
    for seed in 0..TEXTS as u64 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let text = mutate(&mutate(&sound, &mut rng), &mut rng);
        if let Err(e) = oatdale_config::node_settings_from_str(&text) {
            check_places(&text, &e);
        }
    }
}

#[test]
fn deep_and_repeating_texts_are_refused_quickly() {
    let deep = format!("customers: {}", "[".repeat(100_000));
    let laughs = "a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b]\ncustomers: [*c,*c,*c,*c,*c,*c]\n";
    for text in [deep.as_str(), laughs, &"#".repeat(2_000_000)] {
        oatdale_config::from_str(text).expect_err("refused");
    }
}

// A roll-out of a text that some editor has mangled, though it is still sound, must change the one
// version or refuse; anything else would be found out by callers.
#[test]
fn roll_outs_of_mutated_texts_change_one_version_or_nothing() {
    let sound = example("skyward.yaml");
    let (mut changed, mut refused) = (0, 0);
    for seed in 0..TEXTS as u64 / 2 {
        let text = mutate(&sound, &mut Pcg64::seed_from_u64(seed));
        let text = match seed % 3 {
            0 => text,
            1 => format!("\u{feff}{text}"),
            _ => format!("# Trạm mặt đất \u{1f6f0}\r\n{text}"),
        };
        let Ok(before) = from_str(&text) else {
            continue;
        };
        for version in before.versions.keys() {
            let name = before.version_name(version);
            let state = VersionState::Canary { share: 0.5 };
            let Ok(edited) = set_state(&text, &name, state) else {
                refused += 1;
                continue;
            };
            let after = from_str(&edited).expect("sound");
            let found = changes(&before, &after);
            assert_eq!(found.len(), 1, "{found:?}");
            assert_eq!(found[0].subject, format!("version {name}"));
            changed += 1;
        }
    }
    assert!(changed > 100, "{changed} changed, {refused} refused");
}
