//! Filters the headers of forwarded requests and responses.

use http::{HeaderMap, HeaderName, header, response};

/// Returns the `Host` header; `None` if it is missing, not text or repeated.
pub(crate) fn host_header(headers: &HeaderMap) -> Option<&str> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    match hosts.next() {
        None => Some(host),
        Some(_) => None,
    }
}

/// Whether the body is an event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// Whether the end of a response's body can be told from that of its connection.
pub(crate) fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the head of a response without what concerns only the endpoint's connection.
pub(crate) fn forwarded_head(mut head: response::Parts) -> response::Parts {
    strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    head.extensions.clear();
    head
}

/// Removes the hop-by-hop headers, and the content length, which the sender on the next connection
/// sets anew from what it actually sends.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    let hop_by_hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
        header::EXPECT,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in listed.into_iter().chain(hop_by_hop) {
        headers.remove(name);
    }
}
