//! What nodes tell each other of a forwarded request and of the response to it, beside what the
//! caller and the endpoint sent.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Header of requests and responses between nodes.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("oatdale-forwarded");

/// A forwarded request, as the node that has it from the caller describes it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// Number of endpoints that it may be sent to.
    pub(crate) attempts: u32,
    /// Whether it is already counted among the requests that allow retries.
    pub(crate) is_counted: bool,
    /// Ids of the endpoints that have received it.
    pub(crate) excluded: Vec<String>,
}

/// The response to a forwarded request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedResponse {
    /// Id of the request; nodes of earlier versions do not state it.
    #[serde(default)]
    pub(crate) request: Option<String>,
    /// Number of attempts in which at least one byte was sent to an endpoint.
    pub(crate) sends: u32,
    /// Id of the endpoint whose response it is.
    pub(crate) endpoint: Option<String>,
    /// Why there is no endpoint's response.
    pub(crate) refusal: Option<NodeRefusal>,
    /// With [`NodeRefusal::OtherNode`], the host of a node that has served such requests.
    pub(crate) serving_host: Option<String>,
}

/// Why a node did not get an endpoint's response for another node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) enum NodeRefusal {
    /// It has not run, and another node may serve it: this one reaches no endpoint, stops, or has
    /// another configuration.
    OtherNode,
    /// It has not run, and other nodes would refuse it too.
    NotRun,
    /// An endpoint may have run it.
    MayHaveRun,
}

/// A header between nodes that cannot be read or written.
#[derive(Debug, Snafu)]
pub(crate) enum HeaderError {
    #[snafu(display("header missing or repeated"))]
    Missing,
    #[snafu(display("header is not text: {source}"))]
    NotText { source: header::ToStrError },
    #[snafu(display("cannot decode the header: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("cannot encode the header: {source}"))]
    Encode { source: serde_json::Error },
    #[snafu(display("not a header value: {source}"))]
    Value { source: header::InvalidHeaderValue },
}

impl TryFrom<&HeaderMap> for ForwardedRequest {
    type Error = HeaderError;

    fn try_from(headers: &HeaderMap) -> Result<Self, HeaderError> {
        decode(headers)
    }
}

impl TryFrom<&HeaderMap> for ForwardedResponse {
    type Error = HeaderError;

    fn try_from(headers: &HeaderMap) -> Result<Self, HeaderError> {
        decode(headers)
    }
}

impl TryFrom<&ForwardedRequest> for HeaderValue {
    type Error = HeaderError;

    fn try_from(req: &ForwardedRequest) -> Result<Self, HeaderError> {
        encode(req)
    }
}

impl TryFrom<&ForwardedResponse> for HeaderValue {
    type Error = HeaderError;

    fn try_from(res: &ForwardedResponse) -> Result<Self, HeaderError> {
        encode(res)
    }
}

fn decode<T: serde::de::DeserializeOwned>(headers: &HeaderMap) -> Result<T, HeaderError> {
    let mut values = headers.get_all(FORWARDED).iter();
    let value = match (values.next(), values.next()) {
        (Some(value), None) => value,
        _ => return Err(HeaderError::Missing),
    };
    let text = value.to_str().context(NotTextSnafu)?;
    serde_json::from_str(text).context(DecodeSnafu)
}

fn encode(value: &impl Serialize) -> Result<HeaderValue, HeaderError> {
    let text = serde_json::to_string(value).context(EncodeSnafu)?;
    HeaderValue::try_from(text).context(ValueSnafu)
}
