//! Handling of job API requests by the active placer.

use std::sync::Arc;

use super::{ActivePlacer, Waiter};
use crate::clock;
use crate::inventory::WorkerKey;
use crate::jobs::api::{
    self, JobExplanation, JobView, Submission, SubmitAnswer, SubmitOutcome, WorkerView,
};
use crate::jobs::record::JobRecord;
use crate::place::message::{JobId, JobProgress, JobState, Rejection};
use crate::place::Event;
use crate::placer::message::{ApiRequest, Reply, RequestError};

impl ActivePlacer {
    /// Handles one request of the job API.
    pub(crate) fn handle_request(&mut self, request: ApiRequest) {
        match request {
            ApiRequest::Submit { submission, reply } => self.submit(*submission, reply),
            ApiRequest::Get { id, reply } => {
                drop(reply.try_send(self.view(&id).ok_or(RequestError::NoSuchJob)));
            }
            ApiRequest::List { reply } => drop(reply.try_send(Ok(self.views()))),
            ApiRequest::Cancel { id, reply } => self.cancel(&id, reply),
            ApiRequest::Explain { id, reply } => drop(reply.try_send(self.explain(&id))),
            ApiRequest::Workers { reply } => drop(reply.try_send(Ok(self.workers()))),
        }
    }

    fn submit(&mut self, submission: Submission, reply: Reply<SubmitAnswer>) {
        let id = JobId::from(submission.id.as_str());
        let waiter = Waiter { reply, deadline_ms: clock::now_ms() + self.submit_timeout_ms };
        if let Some(existing) = self.journal.get(&id) {
            if existing.precedes_submission() {
                let reason = Some("the job was cancelled before it was submitted".to_owned());
                let answer = self.submit_answer(&id, SubmitOutcome::NotRun, reason);
                drop(waiter.reply.try_send(Ok(answer)));
                return;
            }
            let is_same =
                *existing.spec == submission.spec && *existing.command == submission.command[..];
            if !is_same {
                let reason = format!("a different job with id {id} exists");
                let answer = self.submit_answer(&id, SubmitOutcome::NotRun, Some(reason));
                drop(waiter.reply.try_send(Ok(answer)));
                return;
            }
            self.submit_waiters.entry(JobId::clone(&id)).or_default().push(waiter);
            if self.journal.is_stored(&id) && !self.has_unstored_end(&id) {
                self.respond_to_submit(&id, SubmitOutcome::Accepted, None);
            }
            return;
        }
        if self.is_closing {
            drop(waiter.reply.try_send(Err(RequestError::NotActive)));
            return;
        }
        self.submit_waiters.entry(JobId::clone(&id)).or_default().push(waiter);
        self.journal.put(JobRecord {
            id,
            spec: Arc::new(submission.spec),
            command: submission.command.into(),
            progress: JobProgress::default(),
            accepted_at_ms: clock::unix_ms(),
            ended_at_ms: 0,
        });
    }

    pub(super) fn respond_to_submit(
        &mut self,
        id: &JobId,
        outcome: SubmitOutcome,
        reason: Option<String>,
    ) {
        let waiters = self.submit_waiters.remove(id).unwrap_or_default();
        let answer = self.submit_answer(id, outcome, reason);
        for waiter in waiters {
            self.metrics.submissions.with_label_values(&[answer.outcome.as_str()]).inc();
            drop(waiter.reply.try_send(Ok(answer.clone())));
        }
    }

    /// Response to a submission. A job that the placer rejected gets the outcome `NotRun` with the
    /// reason, although its record is stored.
    fn submit_answer(
        &self,
        id: &JobId,
        outcome: SubmitOutcome,
        reason: Option<String>,
    ) -> SubmitAnswer {
        let zone = self.zone.clone();
        let state = self.state(id).filter(|_| outcome == SubmitOutcome::Accepted);
        let (outcome, reason) = match &state {
            Some(JobState::Rejected(rejection)) => {
                (SubmitOutcome::NotRun, Some(rejection_text(rejection)))
            }
            _ => (outcome, reason),
        };
        SubmitAnswer { id: JobId::clone(id), zone, outcome, state, reason }
    }

    /// Cancels a job. The cancellation of an unknown job is stored as well before the answer says that
    /// there is none: a submission may still be on its way.
    fn cancel(&mut self, id: &str, reply: Reply<JobView>) {
        if self.journal.get(id).is_none() {
            if !api::is_possible_id(id) {
                drop(reply.try_send(Err(RequestError::NoSuchJob)));
                return;
            }
            if self.is_closing {
                drop(reply.try_send(Err(RequestError::NotActive)));
                return;
            }
            self.journal.put(JobRecord::cancelled_before_submission(id, clock::unix_ms()));
        }
        let Some(record) = self.journal.get(id) else { return };
        let is_settled = record.is_ended() || record.progress.is_cancelled;
        if is_settled && self.journal.is_latest_stored(id) {
            drop(reply.try_send(self.view(id).ok_or(RequestError::NoSuchJob)));
            return;
        }
        let id = JobId::clone(&record.id);
        let is_known = !record.precedes_submission();
        let deadline_ms = clock::now_ms() + self.submit_timeout_ms;
        self.cancel_waiters
            .entry(JobId::clone(&id))
            .or_default()
            .push(Waiter { reply, deadline_ms });
        if !is_known {
            return;
        }
        self.step(Event::Cancel { job_id: id });
        self.step(Event::Tick);
    }

    pub(super) fn expire_waiters(&mut self) {
        let now_ms = clock::now_ms();
        let is_expired = |deadline_ms: u64| deadline_ms <= now_ms;
        let expired = self
            .submit_waiters
            .iter()
            .filter(|(_, waiters)| waiters.iter().any(|waiter| is_expired(waiter.deadline_ms)));
        let expired: Vec<JobId> = expired.map(|(id, _)| JobId::clone(id)).collect();
        for id in expired {
            let reason = Some("the job record was not stored before the submit timeout".to_owned());
            let is_withdrawn = self.journal.withdraw(&id);
            let outcome = if is_withdrawn { SubmitOutcome::NotRun } else { SubmitOutcome::Unknown };
            self.respond_to_submit(&id, outcome, reason);
        }
        self.cancel_waiters.retain(|_, waiters| {
            waiters.retain(|waiter| {
                let is_late = is_expired(waiter.deadline_ms);
                if is_late {
                    drop(waiter.reply.try_send(Err(RequestError::NotRecorded)));
                }
                !is_late
            });
            !waiters.is_empty()
        });
    }

    /// Stops being active. Waiting callers get an outcome: `NotRun` for a job whose record was never
    /// sent to the store, otherwise `Unknown`.
    pub(crate) fn deactivate(mut self) {
        let ids: Vec<JobId> = self.submit_waiters.keys().cloned().collect();
        for id in ids {
            let reason = Some("the placer lost the zone lease; retry the submission".to_owned());
            let outcome = match self.journal.withdraw(&id) {
                true => SubmitOutcome::NotRun,
                false => SubmitOutcome::Unknown,
            };
            self.respond_to_submit(&id, outcome, reason);
        }
        for waiter in self.cancel_waiters.into_values().flatten() {
            drop(waiter.reply.try_send(Err(RequestError::NotRecorded)));
        }
    }

    /// Whether the job has ended but its end is not stored yet: a successor would run it again.
    pub(super) fn has_unstored_end(&self, id: &str) -> bool {
        self.journal.get(id).is_some_and(JobRecord::is_ended) && !self.journal.is_latest_stored(id)
    }

    /// State of a job for callers. A final state is reported only once it is stored.
    pub(super) fn state(&self, id: &str) -> Option<JobState> {
        let record = self.journal.get(id).filter(|record| !record.precedes_submission())?;
        if self.has_unstored_end(id) {
            return Some(JobState::Waiting);
        }
        let ended = record.progress.ended.clone();
        let state = ended.or_else(|| self.placer.job_state(id).cloned());
        Some(state.unwrap_or(JobState::Waiting))
    }

    pub(super) fn view(&self, id: &str) -> Option<JobView> {
        let record = self.journal.get(id)?;
        let mut view = JobView::new(record, &self.zone, self.state(id)?);
        if self.has_unstored_end(id) {
            view.ended_at_ms = 0;
        }
        Some(view)
    }

    fn views(&self) -> Vec<JobView> {
        let records = self.journal.records();
        records.iter().filter_map(|record| self.view(&record.id)).collect()
    }

    fn explain(&self, id: &str) -> Result<JobExplanation, RequestError> {
        let state = self.state(id).ok_or(RequestError::NoSuchJob)?;
        let explanation = self.placer.explain(id, clock::now_ms());
        let reason = match &state {
            JobState::Rejected(rejection) => Some(rejection_text(rejection)),
            _ => None,
        };
        Ok(JobExplanation {
            id: JobId::from(id),
            zone: self.zone.clone(),
            state,
            reason,
            explanation,
        })
    }

    fn worker_state(&self, worker: WorkerKey) -> String {
        let view = self.placer.workers.get(worker);
        view.map(|view| view.state.as_str().to_owned()).unwrap_or_default()
    }

    fn workers(&self) -> Vec<WorkerView> {
        let inventory = self.placer.inventory();
        let views = inventory.workers().map(|(key, worker)| WorkerView {
            name: worker.name.clone(),
            zone: self.zone.clone(),
            rack: inventory.rack(worker.rack).map(|rack| rack.name.clone()).unwrap_or_default(),
            address: worker.address.clone(),
            state: self.worker_state(key),
            capacity: worker.capacity,
            reserved: self.placer.reserved(key),
            is_draining: worker.is_draining,
        });
        views.collect()
    }
}

/// Text of a rejection for callers.
fn rejection_text(rejection: &Rejection) -> String {
    match rejection {
        Rejection::InvalidSpec(error) => format!("the job specification is invalid: {error}"),
        Rejection::TooLarge => {
            "no worker of the zone is large enough for one task of the job".to_owned()
        }
        Rejection::NoSuchLabels => {
            "no worker of the zone has the labels that the job requires".to_owned()
        }
        Rejection::GangTooLarge => "the zone cannot hold all tasks of the gang at once".to_owned(),
        Rejection::UnknownTeam => "the team of the job is not declared".to_owned(),
        Rejection::OverQuota => "the quota of the team is below what the job requires".to_owned(),
        Rejection::Poison => {
            "the tasks of the job failed on too many workers or too many times".to_owned()
        }
    }
}
