//! What follows from calls to workers and writes of job records that ended.

use std::sync::Arc;

use super::{Active, Standing};
use crate::clock;
use crate::inventory::WorkerKey;
use crate::jobs::api::SubmitOutcome;
use crate::jobs::journal::Met;
use crate::place::message::{JobId, Refusal};
use crate::place::Event;
use crate::placer::message::{AskError, CallFailure, Called, WriteResult};
use crate::placer::wire::WorkerCall;

impl Active {
    /// A call to a worker ended.
    pub(crate) fn called(&mut self, called: Called) {
        self.links.ended(called.worker);
        let label = match &called.result {
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        self.metrics.worker_calls.with_label_values(&[label]).inc();
        let worker = called.worker;
        let answer = match called.result {
            Ok(answer) => answer,
            Err(failure) => return self.call_failed(worker, &called.call, &failure),
        };
        if answer.is_fenced || answer.epoch > self.epoch {
            if self.is_fenced {
                return;
            }
            spdlog::warn!("worker knows epoch {}", answer.epoch, kv: { zone = self.zone.as_str(), epoch = self.epoch });
            self.is_fenced = true;
            return;
        }
        for attempt in answer.begun {
            self.step(Event::Confirmed { attempt });
        }
        for refused in answer.refused {
            self.step(Event::Refused { attempt: refused.attempt, refusal: refused.refusal });
        }
        let report = answer.report.and_then(|update| self.links.updated(worker, update));
        if let Some(report) = report {
            self.step(Event::Report { worker, report });
        }
    }

    fn call_failed(&mut self, worker: WorkerKey, call: &WorkerCall, failure: &CallFailure) {
        spdlog::debug!("call failed: {}", failure, kv: { worker = call.worker.as_str() });
        let is_certain = matches!(failure, CallFailure::NoEffect(_));
        for start in &call.starts {
            let attempt = start.attempt;
            match is_certain {
                true => self.step(Event::Refused { attempt, refusal: Refusal::Stale }),
                false => self.step(Event::LostReply { attempt }),
            }
        }
        self.links.retry(worker, call, clock::now_ms());
        self.step(Event::Silent { worker });
    }

    /// A write of the journal ended.
    pub(crate) fn written(&mut self, result: WriteResult) -> Standing {
        let revision = match result {
            WriteResult::Written(revision) => revision,
            WriteResult::Conflict(current) => match self.journal.met(current.as_ref()) {
                Met::Own(revision) => revision,
                Met::Superseded(_) | Met::Stale => {
                    self.is_fenced = true;
                    return Standing::Superseded;
                }
            },
            WriteResult::NoEffect(error) => {
                self.note_store_away(&error.to_string());
                self.refuse_unrecorded(&error.to_string());
                return Standing::Held;
            }
        };
        self.is_store_away = false;
        for stored in self.journal.written(revision) {
            self.stored(&stored.id, stored.version);
        }
        Standing::Held
    }

    /// Logs the first write of an outage that took no effect.
    fn note_store_away(&mut self, problem: &str) {
        if !self.is_store_away {
            spdlog::warn!("jobs not recorded: {}", problem, kv: { zone = self.zone.as_str() });
        }
        self.is_store_away = true;
    }

    /// New jobs of a write without effect are withdrawn and refused; progress waits for the next.
    fn refuse_unrecorded(&mut self, reason: &str) {
        for id in self.journal.failed(clock::now_ms()) {
            if self.submits.contains_key(&id) && self.journal.withdraw(&id) {
                self.answer_submit(&id, SubmitOutcome::NotRun, Some(reason.to_owned()));
            }
        }
    }

    fn stored(&mut self, id: &JobId, version: u64) {
        if self.placer.job_state(id).is_none() {
            let Some(record) = self.journal.get(id) else { return };
            if !record.is_ended() {
                let spec = Arc::clone(&record.spec);
                self.step(Event::Submit { job_id: JobId::clone(id), spec });
            }
        }
        self.step(Event::Recorded { job_id: JobId::clone(id), version });
        if self.submits.contains_key(id) {
            self.answer_submit(id, SubmitOutcome::Accepted, None);
        }
        let is_cancelled = self.journal.get(id).is_some_and(|record| record.progress.is_cancelled);
        if is_cancelled {
            let view = self.view(id);
            for waiter in self.cancels.remove(id).unwrap_or_default() {
                let answer = view.clone().ok_or(AskError::NoSuchJob);
                drop(waiter.reply.try_send(answer));
            }
        }
    }
}
