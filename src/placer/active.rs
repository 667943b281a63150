//! What a placer does while it holds its zone: jobs in, actions out, records kept.

use std::sync::Arc;

use crate::clock;
use crate::collections::HashMap;
use crate::configs::placer::PlacerConfig;
use crate::declarations::{Declarations, TeamDeclaration};
use crate::inventory::WorkerKey;
use crate::jobs::api::{
    JobExplanation, JobView, Submission, SubmitAnswer, SubmitOutcome, WorkerView,
};
use crate::jobs::journal::{Journal, Met, Write};
use crate::jobs::record::JobRecord;
use crate::place::message::{JobId, JobProgress, JobState, Refusal, Rejection};
use crate::place::{Action, Event, Placer};
use crate::placer::links::{Caller, Links};
use crate::placer::message::{Ask, AskError, CallFailure, Called, Reply, WriteResult};
use crate::placer::metrics::Metrics;
use crate::placer::shares::{Needs, ShareKeeper, ShareStep};
use crate::placer::wire::{Start, Stop, WorkerCall};
use crate::quota::Need;
use crate::store::{Entry, PutOutcome, StoreError};

/// A holder of the zone.
#[derive(Debug)]
pub(crate) struct Active {
    zone: String,
    epoch: u64,
    submit_timeout_ms: u64,
    lease_ms: u64,
    placer: Placer,
    journal: Journal,
    links: Links,
    caller: Caller,
    metrics: Metrics,
    teams: Vec<TeamDeclaration>,
    shares: ShareKeeper,
    share_step: Option<ShareStep>,
    submits: HashMap<JobId, Vec<Waiter<SubmitAnswer>>>,
    cancels: HashMap<JobId, Vec<Waiter<JobView>>>,
    is_fenced: bool,
    is_closing: bool,
    is_store_away: bool,
    actions: Vec<Action>,
}

/// A caller that waits for something to be recorded.
#[derive(Debug)]
struct Waiter<T> {
    reply: Reply<T>,
    until_ms: u64,
}

/// Under which epoch the zone is held and until when the store says so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holding {
    pub(crate) epoch: u64,
    pub(crate) confirmed_until_ms: u64,
}

/// What follows from the end of a journal write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// The zone is held.
    Held,
    /// Another holder has taken the journal.
    Superseded,
}

impl Active {
    /// Begins to hold the zone with the jobs of a claimed journal.
    pub(crate) fn new(
        config: &PlacerConfig,
        holding: Holding,
        journal: Journal,
        declarations: Arc<Declarations>,
        caller: Caller,
        metrics: Metrics,
    ) -> Self {
        let Holding { epoch, confirmed_until_ms } = holding;
        let mut active = Self {
            zone: config.zone.clone(),
            epoch,
            submit_timeout_ms: config.submit_timeout_ms,
            lease_ms: config.place.task_lease_ms,
            placer: Placer::new(config.place.clone(), config.zone.as_str(), epoch),
            journal,
            links: Links::default(),
            caller,
            metrics,
            teams: Vec::new(),
            shares: ShareKeeper::new(config.zone.as_str(), config.quota.clone()),
            share_step: None,
            submits: HashMap::default(),
            cancels: HashMap::default(),
            is_fenced: false,
            is_closing: false,
            is_store_away: false,
            actions: Vec::new(),
        };
        active.declare(declarations);
        active.step(Event::Holding { epoch, confirmed_until_ms });
        for record in active.journal.records().into_iter().filter(|record| !record.is_ended()) {
            let JobRecord { id, spec, progress, .. } = record;
            active.step(Event::Restored { job_id: id, spec, progress });
        }
        active.step(Event::RestoredAll);
        active
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a worker or the journal knows a later holder.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes no more jobs; the rest goes on until all is recorded.
    pub(crate) fn close(&mut self) {
        self.is_closing = true;
    }

    /// Whether all is recorded. Calls may be on their way: the next holder reads every worker.
    pub(crate) fn is_settled(&self) -> bool {
        self.journal.is_settled()
    }

    /// Takes in one event.
    pub(crate) fn step(&mut self, event: Event) {
        let timer = self.metrics.decision_seconds.start_timer();
        self.placer.step(event, clock::now_ms(), &mut self.actions);
        timer.observe_duration();
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    /// Declarations were accepted. Teams hold nothing until their shares were read.
    pub(crate) fn declare(&mut self, declarations: Arc<Declarations>) {
        self.teams.clone_from(&declarations.teams);
        if !self.teams.is_empty() {
            self.put_shares_in_force();
        }
        self.step(Event::Declared(declarations));
    }

    fn put_shares_in_force(&mut self) {
        let shares = Arc::new(self.shares.in_force().clone());
        self.step(Event::Quota(shares));
    }

    /// The read of quotas ended.
    pub(crate) fn quota_read(&mut self, result: Result<Option<Entry>, StoreError>) {
        let needs = self.needs();
        self.share_step = self.shares.read(result, &self.teams, &needs);
        self.put_shares_in_force();
    }

    /// The write of quotas ended.
    pub(crate) fn quota_written(&mut self, result: &Result<PutOutcome, StoreError>) {
        self.shares.written(result);
        self.put_shares_in_force();
    }

    /// What is to be done at the store for quotas.
    pub(crate) fn take_share_step(&mut self) -> Option<ShareStep> {
        let now_ms = clock::now_ms();
        if !self.teams.is_empty() && self.share_step.is_none() && self.shares.is_due(now_ms) {
            let needs = self.needs();
            self.share_step = self.shares.look(&needs, now_ms);
        }
        self.share_step.take()
    }

    /// What each team uses and waits for here.
    fn needs(&self) -> Needs {
        let mut needs = Needs::new();
        for team in self.placer.queue.teams() {
            needs.insert(team.name.clone(), Need { used: team.used, ..Need::default() });
        }
        for (key, job) in self.placer.jobs.iter().filter(|(_, job)| job.waiting_count > 0) {
            let size = self.placer.size_of(key).times(job.waiting_count);
            let need = needs.entry(job.spec.team.clone()).or_default();
            need.waiting = need.waiting.plus(size);
        }
        needs
    }

    /// Time passed.
    pub(crate) fn tick(&mut self) {
        self.step(Event::Tick);
        self.time_out_waiters();
        self.metrics.jobs.set(i64::try_from(self.journal.len()).unwrap_or(i64::MAX));
    }

    /// Goes on with placing what the last steps left over; returns whether more is left.
    pub(crate) fn go_on(&mut self) -> bool {
        if self.placer.has_work(clock::now_ms()) {
            self.step(Event::Tick);
        }
        self.placer.has_work(clock::now_ms())
    }

    /// Sends the calls that can go; returns the journal's write that is due.
    pub(crate) fn flush(&mut self) -> Option<Write> {
        for (worker, call) in self.links.take_due() {
            let Some(known) = self.placer.inventory().worker(worker) else { continue };
            let (worker_name, address) = (known.name.clone(), known.address.clone());
            let call = WorkerCall {
                worker: worker_name,
                epoch: self.epoch,
                lease_ms: self.lease_ms,
                ..call
            };
            self.metrics.starts.inc_by(call.starts.len() as u64);
            self.caller.send(address, worker, call);
        }
        let write = self.journal.next_write(clock::now_ms())?;
        self.metrics.record_writes.inc();
        self.metrics.record_bytes.inc_by(write.value.len() as u64);
        Some(write)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { worker, attempt, task, reserved, token_ms, .. } => {
                let record = self.journal.get(&task.job_id);
                let command = record.map(|record| record.command.to_vec()).unwrap_or_default();
                let start = Start { attempt, task, reserved, token_ms, command };
                self.links.outbox(worker).starts.push(start);
            }
            Action::Stop { worker, attempt, mode } => {
                let outbox = self.links.outbox(worker);
                outbox.stops.push(Stop { attempt, mode });
                outbox.wants_report = true;
            }
            Action::Read { worker, barrier } => {
                let outbox = self.links.outbox(worker);
                outbox.barrier = outbox.barrier.max(Some(barrier));
                outbox.wants_report = true;
            }
            Action::Renew { worker, token_ms } => {
                let outbox = self.links.outbox(worker);
                outbox.renew_token_ms = outbox.renew_token_ms.max(Some(token_ms));
                outbox.wants_report = true;
            }
            Action::Forget { worker, attempts } => {
                self.links.outbox(worker).forget.extend(attempts);
            }
            Action::JobState { .. } => {}
            Action::Record { job_id, progress } => self.record(&job_id, progress),
        }
    }

    fn record(&mut self, job_id: &JobId, progress: JobProgress) {
        let Some(record) = self.journal.get(job_id) else { return };
        let mut record = record.clone();
        if progress.ended.is_some() && record.ended_at_ms == 0 {
            record.ended_at_ms = clock::unix_ms();
        }
        record.progress = progress;
        self.journal.put(record);
    }

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

    /// Does what a caller asks.
    pub(crate) fn ask(&mut self, ask: Ask) {
        match ask {
            Ask::Submit { submission, reply } => self.submit(*submission, reply),
            Ask::Get { id, reply } => {
                drop(reply.try_send(self.view(&id).ok_or(AskError::NoSuchJob)));
            }
            Ask::List { reply } => drop(reply.try_send(Ok(self.views()))),
            Ask::Cancel { id, reply } => self.cancel(&id, reply),
            Ask::Explain { id, reply } => drop(reply.try_send(self.explain(&id))),
            Ask::Workers { reply } => drop(reply.try_send(Ok(self.workers()))),
        }
    }

    fn submit(&mut self, submission: Submission, reply: Reply<SubmitAnswer>) {
        let id = JobId::from(submission.id.as_str());
        let waiter = Waiter { reply, until_ms: clock::now_ms() + self.submit_timeout_ms };
        if let Some(known) = self.journal.get(&id) {
            let is_same =
                *known.spec == submission.spec && *known.command == submission.command[..];
            if !is_same {
                let reason = "another job has this id".to_owned();
                let answer = self.submit_answer(&id, SubmitOutcome::NotRun, Some(reason));
                drop(waiter.reply.try_send(Ok(answer)));
                return;
            }
            self.submits.entry(JobId::clone(&id)).or_default().push(waiter);
            if self.journal.is_stored(&id) {
                self.answer_submit(&id, SubmitOutcome::Accepted, None);
            }
            return;
        }
        if self.is_closing {
            drop(waiter.reply.try_send(Err(AskError::NotActive)));
            return;
        }
        self.submits.entry(JobId::clone(&id)).or_default().push(waiter);
        self.journal.put(JobRecord {
            id,
            spec: Arc::new(submission.spec),
            command: submission.command.into(),
            progress: JobProgress::default(),
            accepted_at_ms: clock::unix_ms(),
            ended_at_ms: 0,
        });
    }

    fn answer_submit(&mut self, id: &JobId, outcome: SubmitOutcome, reason: Option<String>) {
        let waiters = self.submits.remove(id).unwrap_or_default();
        let answer = self.submit_answer(id, outcome, reason);
        for waiter in waiters {
            self.metrics.submissions.with_label_values(&[answer.outcome.as_str()]).inc();
            drop(waiter.reply.try_send(Ok(answer.clone())));
        }
    }

    /// The answer; a job that can never run is told so with the reason.
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

    fn cancel(&mut self, id: &str, reply: Reply<JobView>) {
        let Some(record) = self.journal.get(id) else {
            drop(reply.try_send(Err(AskError::NoSuchJob)));
            return;
        };
        let is_recorded =
            record.is_ended() || (record.progress.is_cancelled && self.journal.is_settled());
        if is_recorded {
            drop(reply.try_send(self.view(id).ok_or(AskError::NoSuchJob)));
            return;
        }
        let id = JobId::clone(&record.id);
        let until_ms = clock::now_ms() + self.submit_timeout_ms;
        self.cancels.entry(JobId::clone(&id)).or_default().push(Waiter { reply, until_ms });
        self.step(Event::Cancel { job_id: id });
        self.step(Event::Tick);
    }

    fn time_out_waiters(&mut self) {
        let now_ms = clock::now_ms();
        let is_over = |until_ms: u64| until_ms <= now_ms;
        let late = self
            .submits
            .iter()
            .filter(|(_, waiters)| waiters.iter().any(|waiter| is_over(waiter.until_ms)));
        let late: Vec<JobId> = late.map(|(id, _)| JobId::clone(id)).collect();
        for id in late {
            let reason = Some("the job could not be recorded in time".to_owned());
            let is_withdrawn = self.journal.withdraw(&id);
            let outcome = if is_withdrawn { SubmitOutcome::NotRun } else { SubmitOutcome::Unknown };
            self.answer_submit(&id, outcome, reason);
        }
        self.cancels.retain(|_, waiters| {
            waiters.retain(|waiter| {
                let is_late = is_over(waiter.until_ms);
                if is_late {
                    drop(waiter.reply.try_send(Err(AskError::NotRecorded)));
                }
                !is_late
            });
            !waiters.is_empty()
        });
    }

    /// Ends the holding: callers that wait are told what is certain.
    pub(crate) fn end(mut self) {
        let ids: Vec<JobId> = self.submits.keys().cloned().collect();
        for id in ids {
            let reason = Some("the placer lost the zone; ask again".to_owned());
            let outcome = match self.journal.withdraw(&id) {
                true => SubmitOutcome::NotRun,
                false => SubmitOutcome::Unknown,
            };
            self.answer_submit(&id, outcome, reason);
        }
        for waiter in self.cancels.into_values().flatten() {
            drop(waiter.reply.try_send(Err(AskError::NotRecorded)));
        }
    }

    fn state(&self, id: &str) -> Option<JobState> {
        let record = self.journal.get(id)?;
        let ended = record.progress.ended.clone();
        let state = ended.or_else(|| self.placer.job_state(id).cloned());
        Some(state.unwrap_or(JobState::Waiting))
    }

    fn view(&self, id: &str) -> Option<JobView> {
        let record = self.journal.get(id)?;
        Some(JobView::new(record, &self.zone, self.state(id)?))
    }

    fn views(&self) -> Vec<JobView> {
        let records = self.journal.records();
        records.iter().filter_map(|record| self.view(&record.id)).collect()
    }

    fn explain(&self, id: &str) -> Result<JobExplanation, AskError> {
        let state = self.state(id).ok_or(AskError::NoSuchJob)?;
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

/// The reason for a rejection as callers read it.
fn rejection_text(rejection: &Rejection) -> String {
    match rejection {
        Rejection::Unsound(fault) => format!("the job is not sound: {fault}"),
        Rejection::TooLarge => "no worker is large enough for one task".to_owned(),
        Rejection::NoSuchLabels => "no worker has the labels that it asks for".to_owned(),
        Rejection::GangTooLarge => "the zone cannot hold all its tasks at once".to_owned(),
        Rejection::UnknownTeam => "the team is not declared".to_owned(),
        Rejection::OverQuota => "the quota of the team is below its needs".to_owned(),
        Rejection::Poison => "its tasks failed on too many workers".to_owned(),
    }
}
