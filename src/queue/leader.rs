//! Executes the actions of the scheduler: orders to runners, lease renewals, requests for advice
//! and writes to the store.

use std::sync::{Arc, Mutex};

use async_std::task;

use crate::clock;
use crate::collections::HashMap;
use crate::decision_log;
use crate::platform::orders;
use crate::queue::control::ControlInput;
use crate::queue::election::Term;
use crate::queue::host_state::{lock, HostState};
use crate::queue::model::{JobId, OrderError, RunnerId, TaskId};
use crate::queue::peer;
use crate::queue::record::{self, LeaderRecord, Progress, RosterEntry};
use crate::queue::scheduler::{
    Action, CrashCounts, Event, OrderResult, ProgressWrite, RenewalOrder, RunnerKey, StartOrder,
    WriteKey,
};
use crate::queue::takeover::RecoveredState;
use crate::queue::watch;
use crate::store::{self, Commit, CommitOutcome, Entry, Expect, Priority, Revision};

/// Executes the scheduler's actions during one term.
#[derive(Debug)]
pub struct Executor {
    context: Arc<Context>,
}

/// State that the tasks of all actions of one term share.
#[derive(Debug)]
struct Context {
    shared: Arc<HostState>,
    /// Input of the control loop, which receives the outcomes of the actions.
    inputs: async_channel::Sender<ControlInput>,
    /// Revision at which the store created the leader key of the term.
    term: Revision,
    /// Value of the leader key.
    leader: LeaderRecord,
    /// Highest fencing token that has been sent to each runner.
    sent_tokens: Mutex<HashMap<RunnerId, u64>>,
    /// Last known revision of each progress record. Writes are conditional on it, so that a delayed
    /// write cannot replace a newer one.
    progress_revisions: Mutex<HashMap<JobId, Revision>>,
    /// Last known revision of the roster record, for the same purpose.
    roster_revision: Mutex<Option<Revision>>,
}

impl Executor {
    /// Creates the executor for a term of this host.
    pub fn new(
        shared: Arc<HostState>,
        inputs: async_channel::Sender<ControlInput>,
        term: &Term,
        recovered: RecoveredState,
    ) -> Self {
        let context = Context {
            shared,
            inputs,
            term: term.token,
            leader: term.record.clone(),
            sent_tokens: Mutex::default(),
            progress_revisions: Mutex::new(recovered.progress_revisions),
            roster_revision: Mutex::new(recovered.roster_revision),
        };
        Self { context: Arc::new(context) }
    }

    /// Publishes the numbers of jobs, of tasks assigned to runners and of usable runners as
    /// metrics.
    pub fn publish_gauges(&mut self, [jobs, held_tasks, usable_runners]: [usize; 3]) {
        let gauges = &self.context.shared.metrics.leader_gauges;
        for (what, count) in
            [("jobs", jobs), ("held_tasks", held_tasks), ("usable_runners", usable_runners)]
        {
            gauges.with_label_values(&[what]).set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Publishes the measured speed factors of the kinds of runners, if they have changed.
    pub fn publish_speed_factors(&mut self, factors: Option<Vec<(String, f64)>>) {
        let Some(factors) = factors else { return };
        let gauges = &self.context.shared.metrics.speed_factors;
        gauges.reset();
        for (kind, factor) in factors {
            gauges.with_label_values(&[kind.as_str()]).set(factor);
        }
    }

    /// Adds crash events to the metrics.
    pub fn publish_crash_counts(&mut self, counts: CrashCounts) {
        if counts == CrashCounts::default() {
            return;
        }
        let events = &self.context.shared.metrics.crash_events;
        for (event, count) in [
            ("runner_crashed", counts.runner_crashes),
            ("task_suspected", counts.suspected_tasks),
            ("task_cleared", counts.cleared_tasks),
            ("job_given_up", counts.given_up_jobs),
        ] {
            events.with_label_values(&[event]).inc_by(count);
        }
    }

    /// Starts an action in a task of its own; its outcome is sent to the control loop as an event.
    pub fn execute(&mut self, action: Action) {
        let context = Arc::clone(&self.context);
        match action {
            Action::Start(order) => {
                context.shared.record_order();
                context.record_token(&order.target.0, order.token);
                drop(task::spawn(start(context, order)));
            }
            Action::Stop { runner, target, token, task, run } => {
                context.record_token(&target.0, token);
                drop(task::spawn(stop(context, runner, target, token, (task, run))));
            }
            Action::Pace { runner, target, token, task, run, percent } => {
                context.record_token(&target.0, token);
                drop(task::spawn(pace(context, runner, target, token, (task, run), percent)));
            }
            Action::RenewLease(order) => {
                if order.until_ms.is_some() {
                    context.shared.record_order();
                }
                context.record_token(&order.target.0, order.token);
                drop(task::spawn(renew_runner_lease(context, order)));
            }
            Action::RequestAdvice { step, advice_host, runners, expected_ms } => {
                drop(task::spawn(async move {
                    let sent_ms = clock::now_ms();
                    let (asked, names): (Vec<RunnerKey>, Vec<String>) =
                        runners.into_iter().map(|(key, id)| (key, id.to_string())).unzip();
                    let advice =
                        peer::advise(&context.shared, &advice_host, step, names, expected_ms);
                    let result = match advice.await {
                        Ok(admissions) => Some(admissions),
                        Err(error) => {
                            decision_log::line("advice_failed")
                                .with("step", step)
                                .with("by", &advice_host)
                                .with("error", error)
                                .end();
                            None
                        }
                    };
                    context
                        .send_event(Event::AdviceFinished {
                            step,
                            advice_host,
                            asked,
                            sent_ms,
                            result,
                        })
                        .await;
                }));
            }
            Action::SaveProgress { write, records } => {
                drop(task::spawn(save_progress(context, write, records)));
            }
            Action::ReadJobs(jobs) => drop(task::spawn(read_jobs(context, jobs))),
            Action::RemoveRecords(jobs) => drop(task::spawn(delete_records(context, jobs))),
            Action::SaveRoster(entries) => drop(task::spawn(save_roster(context, entries))),
            Action::SettleTerms => drop(task::spawn(settle_terms(context))),
        }
    }
}

impl Context {
    async fn send_event(&self, event: Event) {
        // A closed channel means that the term has ended.
        let _ = self.inputs.send(ControlInput::Event(event)).await;
    }

    /// Records the fencing token of an order that is about to be sent.
    fn record_token(&self, runner: &RunnerId, token: u64) {
        let mut sent = lock(&self.sent_tokens);
        let highest = sent.entry(RunnerId::clone(runner)).or_default();
        *highest = token.max(*highest);
    }

    /// Distinguishes a runner that has seen a newer order of this term, so that the refused one may
    /// be repeated with the newer token, from one that has seen an order of a later term.
    fn resolve_fence(&self, runner: &RunnerId, token: u64, error: OrderError) -> OrderError {
        let is_own = lock(&self.sent_tokens).get(runner).is_some_and(|highest| token < *highest);
        if error == OrderError::Fenced && is_own {
            return OrderError::NotSent;
        }
        error
    }

    /// Records the metrics of an order, and ends the term if the runner has seen a higher token.
    async fn record_order(&self, kind: &str, sent_ms: u64, error: Option<OrderError>) {
        let result = error.map_or("ok".to_owned(), |error| format!("{error:?}"));
        let metrics = &self.shared.metrics;
        metrics.orders.with_label_values(&[kind, &result]).inc();
        #[allow(clippy::cast_precision_loss, reason = "a latency for a histogram")]
        metrics.order_seconds.observe(clock::now_ms().saturating_sub(sent_ms) as f64 / 1_000.0);
        if error == Some(OrderError::Fenced) {
            let _ = self
                .inputs
                .send(ControlInput::Superseded("a runner has seen a higher fencing token"))
                .await;
        }
    }

    /// Address, name and timeout for a call to a runner that may hold the call open for `wait_ms`.
    fn target<'a>(&self, at: &'a (RunnerId, String), wait_ms: u64) -> orders::Target<'a> {
        orders::Target {
            address: &at.1,
            runner: &at.0,
            timeout_ms: self.shared.config.order_timeout_ms + wait_ms,
        }
    }

    /// Condition of all writes: the leader key is still that of this term.
    fn leader_condition(&self) -> (String, Expect) {
        (record::LEADER.to_owned(), Expect::Modified(self.term))
    }

    /// Whether the entries of a conflict show that the term has ended.
    fn is_superseded(&self, entries: &[Entry]) -> bool {
        let leader = entries.iter().find(|entry| entry.key == record::LEADER);
        leader.is_none_or(|leader| leader.modified != self.term)
    }
}

async fn start(context: Arc<Context>, order: StartOrder) {
    let sent_ms = clock::now_ms();
    let StartOrder { runner, target, token, task, run, spec, until_ms, checkpoint, ticket } = order;
    let order = orders::Start { task, run, spec, until_ms, token, checkpoint, ticket };
    let answer = orders::start(&context.shared.pool, context.target(&target, 0), &order).await;
    let answer = answer.map_err(|error| context.resolve_fence(&target.0, token, error));
    context.record_order("start", sent_ms, answer.err()).await;
    let (clock_ms, result) = (answer.ok().flatten(), answer.map(drop));
    let ordered = OrderResult { runner, task, run, is_stop: false, sent_ms, clock_ms, result };
    context.send_event(Event::OrderFinished(ordered)).await;
}

async fn stop(
    context: Arc<Context>,
    runner: RunnerKey,
    target: (RunnerId, String),
    token: u64,
    (task, run): (TaskId, u64),
) {
    let sent_ms = clock::now_ms();
    let pool = &context.shared.pool;
    let result = orders::stop(pool, context.target(&target, 0), task, run, token).await;
    let result = result.map_err(|error| context.resolve_fence(&target.0, token, error));
    context.record_order("stop", sent_ms, result.err()).await;
    let clock_ms = None;
    let ordered = OrderResult { runner, task, run, is_stop: true, sent_ms, clock_ms, result };
    context.send_event(Event::OrderFinished(ordered)).await;
}

async fn pace(
    context: Arc<Context>,
    runner: RunnerKey,
    target: (RunnerId, String),
    token: u64,
    (task, run): (TaskId, u64),
    percent: u32,
) {
    let sent_ms = clock::now_ms();
    let pool = &context.shared.pool;
    let result = orders::pace(pool, context.target(&target, 0), (task, run), percent, token).await;
    let result = result.map_err(|error| context.resolve_fence(&target.0, token, error));
    context.record_order("pace", sent_ms, result.err()).await;
    if result.is_err() {
        context.send_event(Event::PaceFailed { runner, task }).await;
    }
}

async fn renew_runner_lease(context: Arc<Context>, order: RenewalOrder) {
    let sent_ms = clock::now_ms();
    let renew = orders::Renew {
        until_ms: order.until_ms,
        token: order.token,
        acknowledged: order.acknowledged,
        wait_ms: order.wait_ms,
    };
    let target = context.target(&order.target, order.wait_ms);
    let result = orders::renew(&context.shared.pool, target, renew).await;
    let result = result.map_err(|error| context.resolve_fence(&order.target.0, order.token, error));
    context.record_order("hold", sent_ms, result.as_ref().err().copied()).await;
    context.send_event(Event::RenewalFinished { runner: order.runner, sent_ms, result }).await;
}

async fn save_progress(context: Arc<Context>, write: WriteKey, records: Vec<ProgressWrite>) {
    let is_stored = match progress_commit(&context, &records) {
        Some(commit) => {
            let result = store::commit(&*context.shared.store, commit, Priority::Interactive).await;
            watch::record_store_call(&context.shared, "save", &result);
            match result {
                Ok(CommitOutcome::Written(revision)) => {
                    let mut known = lock(&context.progress_revisions);
                    known.extend(records.iter().map(|write| (write.job, revision)));
                    true
                }
                Ok(CommitOutcome::Conflict(entries)) => {
                    refresh_revisions(&context, &entries).await;
                    false
                }
                Err(_) => false,
            }
        }
        None => false,
    };
    if is_stored {
        for write in records.iter().filter(|write| write.progress.state.is_final()) {
            context.shared.record_final_state(write.job, write.progress.state);
        }
    }
    context.send_event(Event::ProgressSaved { write, is_stored }).await;
}

/// Updates the known revisions from the entries of a conflict: an earlier write may have taken
/// effect although its answer was lost. Ends the term if another host leads.
async fn refresh_revisions(context: &Context, entries: &[Entry]) {
    if context.is_superseded(entries) {
        let _ = context
            .inputs
            .send(ControlInput::Superseded("the store holds another leader key"))
            .await;
        return;
    }
    let mut known = lock(&context.progress_revisions);
    for entry in entries {
        if let Some((job, revision)) = watch::progress_revision(entry) {
            known.insert(job, revision);
        }
    }
}

/// Builds the write of progress records; `None` if one of them cannot be encoded.
fn progress_commit(context: &Context, records: &[ProgressWrite]) -> Option<Commit> {
    let known = lock(&context.progress_revisions);
    let mut commit = Commit { conditions: vec![context.leader_condition()], ..Commit::default() };
    for ProgressWrite { job, progress } in records {
        let key = record::progress_key(*job);
        let expect = known.get(job).map_or(Expect::Absent, |at| Expect::Modified(*at));
        let value = encode(*job, progress)?;
        commit.conditions.push((key.clone(), expect));
        commit.puts.push((key, value, None));
    }
    Some(commit)
}

/// Encodes a progress record; `None` (with a log line) on an error.
fn encode(job: JobId, progress: &Progress) -> Option<bytes::Bytes> {
    match record::encode(progress) {
        Ok(value) => Some(value),
        Err(error) => {
            decision_log::line("progress_unwritable").with("job", job).with("error", error).end();
            None
        }
    }
}

/// Reads the submissions of jobs and passes on those that exist, until a call fails.
async fn read_jobs(context: Arc<Context>, jobs: Vec<JobId>) {
    let mut absent = Vec::new();
    for job in jobs {
        let read =
            store::get(&*context.shared.store, record::job_key(job), Priority::Control).await;
        watch::record_store_call(&context.shared, "get", &read);
        let Ok(entry) = read else { break };
        match entry.and_then(|entry| watch::decode_job(job, &entry)) {
            Some(submission) => context.send_event(Event::JobSubmitted(submission)).await,
            None => absent.push(job),
        }
    }
    context.send_event(Event::JobsRead { absent }).await;
}

/// Deletes all records of ended jobs.
async fn delete_records(context: Arc<Context>, jobs: Vec<JobId>) {
    let keys =
        |job: &JobId| [record::job_key(*job), record::cancel_key(*job), record::progress_key(*job)];
    let commit = Commit {
        conditions: vec![context.leader_condition()],
        puts: Vec::new(),
        deletes: jobs.iter().flat_map(keys).collect(),
    };
    let result = store::commit(&*context.shared.store, commit, Priority::Bulk).await;
    watch::record_store_call(&context.shared, "forget", &result);
    let is_removed = matches!(result, Ok(CommitOutcome::Written(_)));
    if is_removed {
        let mut known = lock(&context.progress_revisions);
        known.retain(|job, _| !jobs.contains(job));
    }
    if let Ok(CommitOutcome::Conflict(entries)) = result {
        refresh_revisions(&context, &entries).await;
    }
    context.send_event(Event::RecordsRemoved { is_removed }).await;
}

async fn save_roster(context: Arc<Context>, entries: Vec<RosterEntry>) {
    let is_stored = match record::encode(&entries) {
        Ok(value) => write_roster(&context, value).await,
        Err(error) => {
            decision_log::line("roster_unwritable").with("error", error).end();
            false
        }
    };
    context.send_event(Event::RosterSaved { is_stored }).await;
}

/// Writes the roster record; returns whether it was stored.
async fn write_roster(context: &Context, value: bytes::Bytes) -> bool {
    let expect = lock(&context.roster_revision).map_or(Expect::Absent, Expect::Modified);
    let key = record::ROSTER.to_owned();
    let commit = Commit {
        conditions: vec![context.leader_condition(), (key.clone(), expect)],
        puts: vec![(key.clone(), value, None)],
        deletes: Vec::new(),
    };
    let result = store::commit(&*context.shared.store, commit, Priority::Control).await;
    watch::record_store_call(&context.shared, "roster", &result);
    match result {
        Ok(CommitOutcome::Written(revision)) => {
            *lock(&context.roster_revision) = Some(revision);
            true
        }
        Ok(CommitOutcome::Conflict(entries)) => {
            if context.is_superseded(&entries) {
                let superseded = ControlInput::Superseded("the store holds another leader key");
                let _ = context.inputs.send(superseded).await;
            }
            let known = entries.iter().find(|entry| entry.key == key);
            *lock(&context.roster_revision) = known.map(|entry| entry.modified);
            false
        }
        Err(_) => false,
    }
}

/// Leaves only this term in the stored ones.
async fn settle_terms(context: Arc<Context>) {
    let is_stored = match record::encode(&[&context.leader]) {
        Ok(value) => write_terms(&context, value).await,
        Err(error) => {
            decision_log::line("terms_unwritable").with("error", error).end();
            false
        }
    };
    context.send_event(Event::TermsSettled { is_stored }).await;
}

/// Writes the record of the terms; returns whether it is stored.
async fn write_terms(context: &Context, value: bytes::Bytes) -> bool {
    // No other term can begin, and so write the record, while the leader key is that of this one.
    let commit = Commit {
        conditions: vec![context.leader_condition()],
        puts: vec![(record::TERMS.to_owned(), value, None)],
        deletes: Vec::new(),
    };
    let result = store::commit(&*context.shared.store, commit, Priority::Control).await;
    watch::record_store_call(&context.shared, "terms", &result);
    if matches!(result, Ok(CommitOutcome::Conflict(_))) {
        let superseded = ControlInput::Superseded("the store holds another leader key");
        let _ = context.inputs.send(superseded).await;
    }
    matches!(result, Ok(CommitOutcome::Written(_)))
}
