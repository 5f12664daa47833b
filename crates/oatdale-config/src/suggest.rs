//! "Did you mean": the nearest known word.

/// Edits beyond which two words are taken to be unrelated.
const MAX_DISTANCE: usize = 3;

/// The known word nearest to `word`, unless none is near.
pub(crate) fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let limit = MAX_DISTANCE.min(word.chars().count().div_ceil(2));
    known
        .into_iter()
        .map(|k| (distance(&fold(word), &fold(k)), k))
        .filter(|(d, _)| *d <= limit)
        .min_by_key(|(d, _)| *d)
        .map(|(_, k)| k)
}

/// Case and the choice between `_` and `-` are the commonest slips.
fn fold(word: &str) -> Vec<char> {
    word.chars()
        .map(|c| match c {
            '_' | ' ' => '-',
            c => c.to_ascii_lowercase(),
        })
        .collect()
}

/// The Levenshtein distance.
fn distance(a: &[char], b: &[char]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, ca) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, cb) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(ca != cb);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
