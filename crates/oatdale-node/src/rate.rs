//! The rating duty: has answers rated, at once for a cascade, later for the record.

use crate::metrics::Metrics;
use crate::route::RouteHandle;
use log::debug;
use oatdale_platform::RatingClient;
use oatdale_platform::wire::Rating;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;

/// Answers that may wait for a late rating; more are not rated.
const WAITING: usize = 256;

/// Ratings that are asked for at the same time.
const AT_ONCE: usize = 16;

/// How long a late rating may take.
const LATE_LIMIT: Duration = Duration::from_secs(30);

/// How long a cascade waits for a verdict. A rating service that is down must not eat up the
/// caller's time: without a verdict the router decides by what it has learned.
const VERDICT_LIMIT: Duration = Duration::from_secs(2);

/// An answer to be rated.
pub(crate) struct Rated {
    /// The service's name.
    pub(crate) service: String,
    /// The version's name.
    pub(crate) version: String,
    /// The request's class.
    pub(crate) class: u8,
    /// The conversation.
    pub(crate) prompt: String,
    /// The answer.
    pub(crate) answer: String,
    /// Whether a cheaper version had failed the request before: such requests are harder, and the
    /// router must not take their ratings for those of usual ones.
    pub(crate) escalated: bool,
}

enum Job {
    Verdict(Rated, oneshot::Sender<Option<f64>>),
    Late(Rated),
}

/// A handle to the rating duty.
#[derive(Clone)]
pub(crate) struct RateHandle {
    jobs: Option<mpsc::Sender<Job>>,
}

impl RateHandle {
    /// Whether there is a rating service at all.
    pub(crate) fn is_there(&self) -> bool {
        self.jobs.is_some()
    }

    /// The verdict on an answer that is kept back, if it comes before `deadline`.
    pub(crate) async fn verdict(&self, rated: Rated, deadline: Instant) -> Option<f64> {
        let (reply, verdict) = oneshot::channel();
        self.jobs
            .as_ref()?
            .try_send(Job::Verdict(rated, reply))
            .ok()?;
        let limit = VERDICT_LIMIT.min(deadline.saturating_duration_since(Instant::now()));
        timeout(limit, verdict).await.ok()?.ok()?
    }

    /// Has an answer rated after it went to its caller; when too many wait it is left out.
    pub(crate) fn late(&self, rated: Rated) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.try_send(Job::Late(rated));
        }
    }
}

/// What the rating duty reads and writes.
pub(crate) struct Duty {
    jobs: mpsc::Receiver<Job>,
    client: RatingClient,
    route: RouteHandle,
    metrics: Metrics,
}

/// Makes the duty, if there is a rating service, and a handle to it.
pub(crate) fn channel(
    client: Option<RatingClient>,
    route: RouteHandle,
    metrics: Metrics,
) -> (RateHandle, Option<Duty>) {
    let Some(client) = client else {
        return (RateHandle { jobs: None }, None);
    };
    let (tx, jobs) = mpsc::channel(WAITING);
    let duty = Duty {
        jobs,
        client,
        route,
        metrics,
    };
    (RateHandle { jobs: Some(tx) }, Some(duty))
}

/// Runs the duty until every handle is gone.
pub(crate) async fn run(mut duty: Duty) {
    let tasks = TaskTracker::new();
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(AT_ONCE));
    while let Some(job) = duty.jobs.recv().await {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let (client, route, metrics) = (
            duty.client.clone(),
            duty.route.clone(),
            duty.metrics.clone(),
        );
        tasks.spawn(async move {
            serve(job, &client, &route, &metrics).await;
            drop(place);
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn serve(job: Job, client: &RatingClient, route: &RouteHandle, metrics: &Metrics) {
    match job {
        Job::Verdict(rated, reply) => {
            let score = ask(client, &rated, VERDICT_LIMIT, metrics).await;
            // The request may have passed its deadline meanwhile.
            let _ = reply.send(score);
        }
        Job::Late(rated) => {
            if let Some(score) = ask(client, &rated, LATE_LIMIT, metrics).await {
                route.rating(rated, score).await;
            }
        }
    }
}

async fn ask(
    client: &RatingClient,
    rated: &Rated,
    limit: Duration,
    metrics: &Metrics,
) -> Option<f64> {
    let rating = Rating {
        service: rated.service.clone(),
        prompt: rated.prompt.clone(),
        answer: rated.answer.clone(),
    };
    match client.rate(&rating, Instant::now() + limit).await {
        Ok(score) => Some(score),
        Err(err) => {
            metrics.rating_errors.inc();
            debug!(target: "rate", "event=rating_failed error={:?}", err.to_string());
            None
        }
    }
}
