//! Tests of events that are longer than what is kept of one.

use oatdale_relay::EventReassembler;

// Guards against an event without an end that fills the memory, and against a long event of which a
// byte is lost, or whose parts look like several events, whatever the chunks.
#[test]
fn long_events_are_returned_in_parts() {
    for (line_end, chunk_len) in [
        ("\n", 1_000),
        ("\r\n", 997),
        ("\r\n", 70_001),
        ("\n", 65_537),
    ] {
        let line = format!("data: {}{line_end}", "x".repeat(40_000));
        let long = format!("id: 7{line_end}{}{line_end}", line.repeat(5));
        let sent = format!("id: 6{line_end}data: a{line_end}{line_end}{long}{long}");
        let mut events = EventReassembler::after(Some(5));
        let mut returned = Vec::new();
        for chunk in sent.as_bytes().chunks(chunk_len) {
            returned.extend_from_slice(&events.push(chunk));
            if events.last() == Some(6) && returned.len() > 1_000 {
                assert!(!events.can_resume());
            }
        }
        // The second event 7 is a duplicate.
        let expected = &sent.as_bytes()[..sent.len() - long.len()];
        assert!(returned == expected, "{} bytes", returned.len());
        assert_eq!((events.last(), events.has_partial()), (Some(7), false));
        assert!(events.can_resume());
    }
    let mut endless = EventReassembler::after(None);
    let returned: usize = (0..100).map(|_| endless.push(&[b'x'; 10_000]).len()).sum();
    assert!(returned > 1_000_000 - 80_000, "{returned} bytes");
}
