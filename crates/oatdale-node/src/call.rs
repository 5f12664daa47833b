//! The life of one request, from the offer to the router until its bill is closed.
//!
//! Each request runs as a task of its own that answers through a channel. A caller that goes away
//! closes the channel; the task notices and still ends in order: the endpoint's work is cancelled,
//! the router gets its place back, the bill is closed. A handler that were simply dropped would do
//! none of this.

mod answered;
mod attempt;
mod cost;
mod forward;
mod rated;
mod work;

use crate::bill::{OpeningHeld, Place};
use crate::call::answered::Answered;
use crate::call::cost::Cost;
use crate::cx::{Cx, wall_clock};
use crate::live::Live;
use crate::problem::{Problem, Run};
use crate::reply::Reply;
use crate::route::{RequestId, Routed, Verdict};
use http::StatusCode;
use log::{info, warn};
use oatdale_journal::{Claim, ClaimKey, Closing, Millis, Opening, Outcome as Ending};
use oatdale_policy::{Refusal, RefusalReason, RequestInfo, Ticket};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub(crate) use crate::call::work::{ChatWork, PlainWork, Work};

/// When to come back while bills wait for the journal.
const BACKLOG_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The status in the log for a request whose caller went away; no caller ever sees it.
const CALLER_GONE: u16 = 499;

/// What the API made of a caller's request.
pub(crate) struct Job {
    /// Its id.
    pub(crate) id: RequestId,
    /// The revision that it was read under.
    pub(crate) live: Arc<Live>,
    /// What the router is told of it.
    pub(crate) request_info: RequestInfo,
    /// By when its answer must have ended.
    pub(crate) deadline: Instant,
    /// The key to claim before it is dispatched, if it has one and must not run twice.
    pub(crate) claim: Option<ClaimKey>,
    /// What to send.
    pub(crate) work: Work,
}

/// A request under way.
struct CallState {
    cx: Cx,
    job: Job,
    reply: Option<oneshot::Sender<Reply>>,
    /// Whether anything of the request may have reached an endpoint.
    ///
    /// It starts at `NotRun` and changes to `MayHaveRun` before an attempt is written, not after, so
    /// that no failure in between can leave a request that ran marked as one that did not. It goes
    /// back only if the client proves that the attempt was not begun.
    ran: Run,
    bill: Option<OpenBill>,
    cost: Cost,
    /// The last complete answer that was kept back, in case a further step fails.
    kept: Option<Answered>,
    started: Instant,
    /// What the log line of the request's end says.
    status: StatusCode,
}

struct OpenBill {
    opened_at: Millis,
    place: Place,
    held: OpeningHeld,
}

/// Runs one request to its end.
pub(crate) async fn run(cx: Cx, job: Job, reply: oneshot::Sender<Reply>) {
    cx.metrics.under_way.inc();
    let metrics = cx.metrics.clone();
    let call = CallState {
        cx,
        job,
        reply: Some(reply),
        ran: Run::NotRun,
        bill: None,
        cost: Cost::default(),
        kept: None,
        started: Instant::now(),
        status: StatusCode::OK,
    };
    call.run().await;
    metrics.under_way.dec();
}

impl CallState {
    async fn run(mut self) {
        let Some(mut verdict) = self.offer().await else {
            return;
        };
        loop {
            verdict = match verdict {
                Verdict::Run(routed) => match self.prepare(&routed).await {
                    Ok(()) => self.attempt(&routed).await,
                    Err(problem) => {
                        self.cx.route.cancel(routed.dispatch.ticket);
                        return self.fail(&problem).await;
                    }
                },
                Verdict::Done => return self.deliver().await,
                Verdict::Refuse(refusal) => return self.refuse(refusal).await,
            }
        }
    }

    /// Asks the router; `None` when the caller went away first.
    async fn offer(&mut self) -> Option<Verdict> {
        let offer = self
            .cx
            .route
            .offer(self.job.id, self.job.live.clone(), self.job.request_info);
        let reply = self.reply.as_mut()?;
        tokio::select! {
            verdict = offer => Some(verdict),
            // The router finds the closed channel at the request's turn and passes it over.
            () = reply.closed() => None,
        }
    }

    /// What must be done before the first attempt is written.
    async fn prepare(&mut self, routed: &Routed) -> Result<(), Problem> {
        if self.bill.is_some() {
            return Ok(());
        }
        let place = self.cx.bills.place().ok_or_else(|| {
            Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "bills-waiting",
                "too many bills wait for the key-value service",
            )
            .retry_after(BACKLOG_RETRY_AFTER)
        })?;
        self.claim(routed.dispatch.ticket).await?;
        let opened_at = wall_clock();
        let held = self.cx.bills.open(Opening {
            request: oatdale_journal::RequestId(self.job.id.0),
            customer: self.customer().to_owned(),
            service: self.service().to_owned(),
            opened_at,
        });
        self.bill = Some(OpenBill {
            opened_at,
            place,
            held,
        });
        Ok(())
    }

    /// Makes sure that no other request with the same key is or was dispatched.
    async fn claim(&mut self, ticket: Ticket) -> Result<(), Problem> {
        let Some(key) = self.job.claim else {
            return Ok(());
        };
        let by = oatdale_journal::RequestId(self.job.id.0);
        let claimed = self.cx.journal.claim(key, by).await;
        match claimed {
            Ok(Claim::Won { dispatch_by }) if Instant::now() < dispatch_by => Ok(()),
            Ok(Claim::Won { .. }) => {
                self.give_back(key);
                Err(claim_unknown(None))
            }
            Ok(Claim::Lost { by, finished }) => Err(already_sent(by, finished)),
            Err(err) => {
                warn!(target: "call", "event=claim_failed request={} ticket={ticket:?} error={:?}", self.job.id, err.to_string());
                self.give_back(key);
                Err(claim_unknown(err.retry_after()))
            }
        }
    }

    /// The claim's record may still arrive; without this the caller's next try would find it.
    fn give_back(&self, key: ClaimKey) {
        let by = oatdale_journal::RequestId(self.job.id.0);
        if let Err(err) = self.cx.journal.release(key, by) {
            warn!(target: "call", "event=claim_kept request={} error={:?}", self.job.id, err.to_string());
        }
    }

    /// Gives the caller the answer that was kept back and accepted; streams ended before.
    async fn deliver(mut self) {
        if let Some(kept) = self.kept.take() {
            self.status = kept.status();
            self.close_bill(Ending::Complete).await;
            self.send(kept.into_reply(self.job.id));
        }
        self.log_end();
    }

    async fn refuse(self, mut refusal: Refusal) {
        if self.kept.is_some() {
            // A better version was wanted and failed; the answer that is there beats none.
            return self.deliver().await;
        }
        if refusal.reason == RefusalReason::Failed && Instant::now() >= self.job.deadline {
            // The router speaks of the last attempt; what ended the request was its own time, and
            // a caller that reads "bad gateway" would look for a fault at the endpoint.
            refusal.reason = RefusalReason::Deadline;
        }
        let problem = Problem::refusal(refusal, self.ran);
        self.fail(&problem).await;
    }

    async fn fail(mut self, problem: &Problem) {
        self.close_bill(Ending::Interrupted).await;
        let id = self.job.id.to_string();
        self.send(problem.reply(Some(&id)));
        self.status = problem.status;
        self.log_end();
    }

    /// Closes the bill, or drops it if nothing can have run; does nothing the second time.
    async fn close_bill(&mut self, ending: Ending) {
        let Some(bill) = self.bill.take() else {
            return;
        };
        if let Some(key) = self.job.claim {
            let by = oatdale_journal::RequestId(self.job.id.0);
            match self.ran {
                Run::NotRun => self.give_back(key),
                // Only a hint for callers that ask again; without it they learn no outcome.
                Run::MayHaveRun => drop(self.cx.journal.finish(key, by, ending)),
            }
        }
        if self.ran == Run::NotRun {
            self.cx
                .bills
                .forget(oatdale_journal::RequestId(self.job.id.0));
            return;
        }
        let closing = Closing {
            request: oatdale_journal::RequestId(self.job.id.0),
            customer: self.customer().to_owned(),
            service: self.service().to_owned(),
            version: self.cost.version.clone(),
            input_tokens: self.cost.input_tokens,
            output_tokens: self.cost.output_tokens,
            price: self.cost.price(),
            outcome: ending,
            opened_at: bill.opened_at,
            closed_at: wall_clock(),
        };
        self.cx.bills.close(closing, bill.place).await;
    }

    fn send(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // A caller that went away gets nothing; its bill is closed all the same.
            let _ = tx.send(reply);
        }
    }

    fn customer(&self) -> &str {
        &self.job.live.cfg.customers[self.job.request_info.customer].name
    }

    fn service(&self) -> &str {
        &self.job.live.cfg.services[self.job.request_info.service].name
    }

    fn log_end(&self) {
        let status = self.status.as_u16();
        self.cx.metrics.finished(self.service(), status);
        info!(
            target: "call",
            "event=end request={} customer={:?} service={:?} status={status} run={:?} took_ms={}",
            self.job.id,
            self.customer(),
            self.service(),
            self.ran,
            self.started.elapsed().as_millis()
        );
    }
}

fn claim_unknown(retry_after: Option<Duration>) -> Problem {
    Problem::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "claim-unavailable",
        "it can't be made sure that this request runs only once, so it was not run",
    )
    .retry_after(retry_after.unwrap_or(Duration::from_secs(1)))
}

fn already_sent(by: oatdale_journal::RequestId, finished: Option<Ending>) -> Problem {
    let state = match finished {
        Some(Ending::Complete) => "it was answered",
        Some(Ending::Interrupted) => "it broke off and may have run",
        None => "it is under way, or its node failed and it may have run",
    };
    Problem {
        status: StatusCode::CONFLICT,
        kind: "already-sent",
        detail: format!("request {by} was sent with this Idempotency-Key: {state}"),
        run: Run::MayHaveRun,
        retry_after: None,
    }
}
