//! A complete answer, and the headers that every answer gets.

use crate::reply::{Reply, full};
use crate::route::RequestId;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{StatusCode, response};
use oatdale_platform::wire::LOAD;

/// The header that names the request in every answer.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The header that names the version that answered.
pub(crate) const VERSION_HEADER: HeaderName = HeaderName::from_static("x-version");
/// A complete answer that was read before any of it went to the caller.
pub(crate) struct Answered {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
    pub(super) version: Option<String>,
}
impl Answered {
    pub(crate) fn status(&self) -> StatusCode {
        self.head.status
    }

    pub(crate) fn into_reply(self, id: RequestId) -> Reply {
        let mut reply = Reply::from_parts(self.head, full(self.body));
        // The length is set anew from the body that is sent.
        reply.headers_mut().remove(CONTENT_LENGTH);
        name_answer(&mut reply, id, self.version.as_deref());
        reply
    }
}

/// Adds the headers that name a request and the version that answered it, and takes out those that
/// endpoints mean for us.
pub(crate) fn name_answer(reply: &mut Reply, id: RequestId, version: Option<&str>) {
    let headers = reply.headers_mut();
    headers.remove(LOAD);
    if let Ok(value) = HeaderValue::try_from(id.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
    if let Some(Ok(value)) = version.map(HeaderValue::try_from) {
        headers.insert(VERSION_HEADER, value);
    }
}
