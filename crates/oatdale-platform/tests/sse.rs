//! Streams of server-sent events, cut at every place.

use oatdale_platform::chat::Usage;
use oatdale_platform::sse::{Events, MAX_EVENT, Scanner, SseError, Summary};

const ANSWER: &str = concat!(
    "\u{feff}: a comment\r\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"says \\\"usage\\\": {\"}}]}\n\n",
    "event: message\ndata:{\"choices\":[{\"delta\":{\"content\":\"b\u{fc}\"}}]}\n\n",
    "data: {\"choices\":[],\r\ndata: \"usage\":{\"prompt_tokens\":7,\r\n",
    "data: \"completion_tokens\":2,\"total_tokens\":9}}\r\n\r\n",
    "data: [DONE]\n\n",
);

fn whole() -> Summary {
    Summary {
        events: 3,
        usage: Some(Usage::new(7, 2)),
    }
}

fn scan<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Summary, SseError> {
    let mut scanner = Scanner::default();
    for piece in pieces {
        scanner.push(piece)?;
    }
    scanner.finish()
}

#[test]
fn an_answer_reads_the_same_cut_anywhere_into_three() {
    let bytes = ANSWER.as_bytes();
    for first in 0..=bytes.len() {
        for second in first..=bytes.len() {
            let pieces = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(scan(pieces), Ok(whole()), "cut at {first} and {second}");
        }
    }
}

#[test]
fn an_answer_reads_the_same_byte_by_byte() {
    assert_eq!(scan(ANSWER.as_bytes().chunks(1)), Ok(whole()));
}

#[test]
fn line_ends_of_all_three_kinds_separate_events() {
    for end in ["\n", "\r", "\r\n"] {
        let text = format!("data: a{end}{end}data: b{end}data: c{end}{end}");
        for size in 1..=text.len() {
            let mut seen = Vec::new();
            let mut events = Events::default();
            for piece in text.as_bytes().chunks(size) {
                let add = |data: &[u8]| {
                    seen.push(String::from_utf8(data.to_vec()).unwrap());
                    Ok(())
                };
                events.push(piece, add).unwrap();
            }
            assert_eq!(seen, ["a", "b\nc"], "{end:?} in pieces of {size}");
        }
    }
}

/// An engine dies in the middle of an answer and its connection ends in an orderly way. The caller
/// would take what came for the whole answer.
#[test]
fn an_answer_that_stops_anywhere_is_not_whole() {
    let bytes = ANSWER.as_bytes();
    // The last byte is the second end of line, without which the terminator is still whole.
    let terminated = bytes.len() - 1;
    for end in 0..terminated {
        let cut = scan([&bytes[..end]]);
        assert_eq!(cut, Err(SseError::NoTerminator), "stopped at {end}");
    }
    assert_eq!(scan([&bytes[..terminated]]), Ok(whole()));
}

/// The text of an answer contains the terminator. A scanner that looked for those bytes alone
/// would end the answer there.
#[test]
fn the_terminator_within_a_text_ends_nothing() {
    let text = "data: {\"choices\":[{\"delta\":{\"content\":\"data: [DONE]\"}}]}\n\n";
    assert_eq!(scan([text.as_bytes()]), Err(SseError::NoTerminator));
}

/// An engine fails after it began to answer and reports that as an event, followed by a proper
/// end. The caller must not take it for an answer.
#[test]
fn an_error_event_is_an_error() {
    let text = "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n";
    match scan([text.as_bytes()]) {
        Err(SseError::Engine { message }) => assert!(message.contains("out of memory")),
        other => panic!("{other:?}"),
    }
}

/// Two answers were mixed up on one connection. Whatever follows the terminator belongs to someone
/// else.
#[test]
fn nothing_follows_the_terminator() {
    let text = format!("{ANSWER}data: {{}}\n\n");
    assert_eq!(scan([text.as_bytes()]), Err(SseError::AfterTerminator));
}

/// An engine sends one line without end. Without a bound a node would hold all of it in memory.
#[test]
fn an_endless_line_is_refused() {
    let mut scanner = Scanner::default();
    let piece = vec![b'x'; 64 << 10];
    let refused = (0..=MAX_EVENT / piece.len())
        .map(|_| scanner.push(&piece))
        .find(Result::is_err);
    assert_eq!(refused, Some(Err(SseError::TooLong)));
}
