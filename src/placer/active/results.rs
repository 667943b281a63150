//! Handling of completed calls to workers and of completed journal writes.

use std::sync::Arc;

use super::{ActivePlacer, LeaseStatus};
use crate::clock;
use crate::inventory::WorkerKey;
use crate::jobs::api::SubmitOutcome;
use crate::jobs::journal::WriteConflict;
use crate::jobs::record::JobRecord;
use crate::place::message::{AttemptReport, AttemptState, JobId, Refusal};
use crate::place::Event;
use crate::placer::message::{CallFailure, CompletedCall, RequestError, WriteResult};
use crate::placer::wire::WorkerCall;

impl ActivePlacer {
    /// Processes the result of a call to a worker.
    pub(crate) fn worker_call_ended(&mut self, completed: CompletedCall) {
        self.worker_calls.call_ended(completed.worker);
        let label = match &completed.result {
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        self.metrics.worker_calls.with_label_values(&[label]).inc();
        let worker = completed.worker;
        let answer = match completed.result {
            Ok(answer) => answer,
            Err(failure) => return self.call_failed(worker, &completed.call, &failure),
        };
        if answer.is_fenced || answer.epoch > self.epoch {
            if self.is_fenced {
                return;
            }
            spdlog::warn!("worker {} has seen the higher epoch {}; this placer is fenced", completed.call.worker, answer.epoch, kv: { zone = self.zone.as_str(), epoch = self.epoch });
            self.is_fenced = true;
            return;
        }
        let has_ended = |item: &AttemptReport| matches!(item.state, AttemptState::Ended(_));
        let has_progress =
            answer.report.as_ref().is_some_and(|update| update.changed.iter().any(has_ended));
        if has_progress || !answer.begun.is_empty() {
            self.worker_calls.note_activity(worker, clock::now_ms());
        }
        for attempt in answer.begun {
            self.step(Event::Confirmed { attempt });
        }
        for refused in answer.refused {
            self.step(Event::Refused { attempt: refused.attempt, refusal: refused.refusal });
        }
        let report =
            answer.report.and_then(|update| self.worker_calls.apply_update(worker, update));
        if let Some(report) = report {
            self.step(Event::Report { worker, report });
        }
    }

    fn call_failed(&mut self, worker: WorkerKey, call: &WorkerCall, failure: &CallFailure) {
        spdlog::debug!("call to worker failed: {}", failure, kv: { worker = call.worker.as_str() });
        let is_certain = matches!(failure, CallFailure::NoEffect(_));
        for start in &call.starts {
            let attempt = start.attempt;
            match is_certain {
                true => self.step(Event::Refused { attempt, refusal: Refusal::Stale }),
                false => self.step(Event::LostReply { attempt }),
            }
        }
        self.worker_calls.retry(worker, call, clock::now_ms());
        self.step(Event::Silent { worker });
    }

    /// Processes the result of a journal write.
    pub(crate) fn journal_write_ended(&mut self, result: WriteResult) -> LeaseStatus {
        let revision = match result {
            WriteResult::Written(revision) => revision,
            WriteResult::Conflict(current) => {
                match self.journal.classify_conflict(current.as_ref()) {
                    WriteConflict::Own(revision) => revision,
                    WriteConflict::Superseded(_) | WriteConflict::Stale => {
                        self.is_fenced = true;
                        return LeaseStatus::Superseded;
                    }
                }
            }
            WriteResult::NoEffect(error) => {
                self.log_store_unavailable(&error.to_string());
                self.refuse_unrecorded(&error.to_string());
                return LeaseStatus::Held;
            }
        };
        self.is_store_unavailable = false;
        for stored in self.journal.write_succeeded(revision) {
            self.record_stored(&stored.id, stored.version);
        }
        LeaseStatus::Held
    }

    /// Logs the first failed write of a store outage.
    fn log_store_unavailable(&mut self, problem: &str) {
        if !self.is_store_unavailable {
            spdlog::warn!("cannot store job records: {}", problem, kv: { zone = self.zone.as_str() });
        }
        self.is_store_unavailable = true;
    }

    /// After a write that took no effect, withdraws the new jobs in it and responds `NotRun`.
    /// Changed progress stays queued for the next write.
    fn refuse_unrecorded(&mut self, reason: &str) {
        for id in self.journal.write_failed(clock::now_ms()) {
            if self.submit_waiters.contains_key(&id) && self.journal.withdraw(&id) {
                self.respond_to_submit(&id, SubmitOutcome::NotRun, Some(reason.to_owned()));
            }
        }
    }

    fn record_stored(&mut self, id: &JobId, version: u64) {
        if self.placer.job_state(id).is_none() {
            let Some(record) = self.journal.get(id) else { return };
            if !record.is_ended() {
                let spec = Arc::clone(&record.spec);
                self.step(Event::Submit { job_id: JobId::clone(id), spec });
            }
        }
        self.step(Event::Recorded { job_id: JobId::clone(id), version });
        if self.submit_waiters.contains_key(id) && !self.has_unstored_end(id) {
            self.respond_to_submit(id, SubmitOutcome::Accepted, None);
        }
        let is_settled = |record: &JobRecord| record.is_ended() || record.progress.is_cancelled;
        let has_settled = self.journal.get(id).is_some_and(is_settled);
        if has_settled && self.journal.is_latest_stored(id) {
            let view = self.view(id);
            for waiter in self.cancel_waiters.remove(id).unwrap_or_default() {
                let answer = view.clone().ok_or(RequestError::NoSuchJob);
                drop(waiter.reply.try_send(answer));
            }
        }
    }
}
