//! Decision whether a long prompt is announced to the other nodes.
//!
//! Load pattern: an engine reads a long prompt for up to a second, and requests that reach it
//! meanwhile wait. On a small site every node sends to every engine all the time, and an
//! announcement keeps some of these requests away. On a large site a node rarely sends to any given
//! engine, while each prompt would be announced to more nodes.

use std::time::Duration;

/// Minimum number of requests that the receiver of an announcement is expected to send to the
/// engine while it reads the prompt. Below it, thousands of datagrams spare one request a wait.
const MIN_EXPECTED_REQUESTS: f64 = 0.000_5;

/// Whether a prompt that an engine reads for `read_time` is announced. Nodes get similar numbers of
/// requests; this one gets `requests_per_second` for a service with `endpoints` endpoints.
pub fn is_prompt_announced(
    requests_per_second: f64,
    read_time: Duration,
    endpoints: usize,
) -> bool {
    let expected = requests_per_second * read_time.as_secs_f64() / endpoints.max(1) as f64;
    expected >= MIN_EXPECTED_REQUESTS
}
