//! `/services/NAME/...`: calls of plain services.

use super::{Once, Who, body, new_id, run, time_limit};
use crate::call::{Job, PlainWork, Work};
use crate::cx::Cx;
use crate::problem::Problem;
use crate::reply::Reply;
use http::header::AUTHORIZATION;
use http::{Request, StatusCode, Uri};
use hyper::body::Incoming;
use oatdale_policy::{RequestInfo, Session};
use tokio::time::Instant;

/// What precedes a plain service's name in a path.
pub(super) const PREFIX: &str = "/services/";

pub(super) async fn handle(cx: Cx, who: Who, req: Request<Incoming>) -> Result<Reply, Problem> {
    let (name, target) = split(req.uri())?;
    let service = who.plain_service(&name)?;
    let (mut head, incoming) = req.into_parts();
    let bytes = body::read(&head.headers, incoming, &cx.settings.limits).await?;
    let id = new_id();
    let limit = time_limit(&head.headers, who.live.cfg.services[service].deadline)?;
    let once = Once::of(&who, service, &head, target.path())?;
    let request_info = RequestInfo {
        customer: who.customer,
        service,
        idempotent: once == Once::No,
        session: Session::None,
        deadline: cx.route.now() + limit,
        input_tokens: 0,
        output_tokens: 0,
        prefix: 0,
        rollout_hash: id.0 as u64,
        stream: false,
        class: 0,
    };
    head.uri = target;
    // The caller's key is between it and us; an endpoint has no use for it and might log it.
    head.headers.remove(AUTHORIZATION);
    let job = Job {
        id,
        live: who.live,
        request_info,
        deadline: Instant::now() + limit,
        claim: once.claim(),
        work: Work::Plain(Box::new(PlainWork {
            request: Request::from_parts(head, bytes),
        })),
    };
    run(cx, job).await
}

/// The service's name and the target below it.
fn split(uri: &Uri) -> Result<(String, Uri), Problem> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let rest = target.strip_prefix(PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, below) = rest.split_at(end);
    let below = match below.starts_with('/') {
        true => below.to_owned(),
        false => format!("/{below}"),
    };
    match below.parse() {
        Ok(uri) => Ok((name.to_owned(), uri)),
        Err(_) => Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "path",
            "the path below the service can't be read",
        )),
    }
}
