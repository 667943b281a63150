//! Carries out what the scheduler asks for: orders, renewals, calls for advice and writes.

use std::sync::{Arc, Mutex};

use async_std::task;

use crate::clock;
use crate::collections::HashMap;
use crate::decision_log;
use crate::platform::orders;
use crate::queue::control::Input;
use crate::queue::model::{JobId, OrderError, RunnerId, TaskId};
use crate::queue::peer;
use crate::queue::record::{self, Progress, RosterEntry};
use crate::queue::scheduler::{
    Action, Event, OrderResult, ProgressWrite, RenewalOrder, RunnerKey, StartOrder,
};
use crate::queue::shared::{lock, Shared};
use crate::queue::takeover::Taken;
use crate::queue::watch;
use crate::store::{self, Commit, CommitOutcome, Entry, Expect, Priority, Revision};

/// Carries out the actions of one term.
#[derive(Debug)]
pub struct Executor {
    context: Arc<Context>,
}

#[derive(Debug)]
struct Context {
    shared: Arc<Shared>,
    inputs: async_channel::Sender<Input>,
    token: Revision,
    /// Revisions of the progress records and of the roster, on which their next writes depend:
    /// a write that is carried out late must not replace a newer one.
    revisions: Mutex<HashMap<JobId, Revision>>,
    roster: Mutex<Option<Revision>>,
}

impl Executor {
    /// An executor for the term with this token.
    pub fn new(
        shared: Arc<Shared>,
        inputs: async_channel::Sender<Input>,
        token: Revision,
        taken: Taken,
    ) -> Self {
        let context = Context {
            shared,
            inputs,
            token,
            revisions: Mutex::new(taken.revisions),
            roster: Mutex::new(taken.roster),
        };
        Self { context: Arc::new(context) }
    }

    /// Publishes how much the leader knows.
    pub fn note_figures(&mut self, [jobs, held, usable]: [usize; 3]) {
        let known = &self.context.shared.metrics.known;
        for (what, figure) in [("jobs", jobs), ("held_tasks", held), ("usable_runners", usable)] {
            known.with_label_values(&[what]).set(i64::try_from(figure).unwrap_or(i64::MAX));
        }
    }

    /// Begins to carry out an action; how it ends comes back as an input.
    pub fn carry_out(&mut self, action: Action) {
        let context = Arc::clone(&self.context);
        match action {
            Action::Start(order) => drop(task::spawn(start(context, order))),
            Action::Stop { runner, target, task, run } => {
                drop(task::spawn(stop(context, runner, target, (task, run))));
            }
            Action::Pace { runner, target, task, run, percent } => {
                drop(task::spawn(pace(context, runner, target, (task, run), percent)));
            }
            Action::RenewLease(order) => drop(task::spawn(hold(context, order))),
            Action::RequestAdvice { step, advice_host, runners, expected_ms } => {
                drop(task::spawn(async move {
                    let sent_ms = clock::now_ms();
                    let (asked, names): (Vec<RunnerKey>, Vec<String>) =
                        runners.into_iter().map(|(key, id)| (key, id.to_string())).unzip();
                    let asking =
                        peer::advise(&context.shared, &advice_host, step, names, expected_ms);
                    let result = match asking.await {
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
                        .tell(Event::AdviceFinished { step, advice_host, asked, sent_ms, result })
                        .await;
                }));
            }
            Action::SaveProgress(records) => drop(task::spawn(save(context, records))),
            Action::RemoveRecords(jobs) => drop(task::spawn(forget(context, jobs))),
            Action::SaveRoster(entries) => drop(task::spawn(save_roster(context, entries))),
        }
    }
}

impl Context {
    async fn tell(&self, event: Event) {
        // A closed channel means that the term has ended.
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Counts an order and reports a later term.
    async fn note(&self, kind: &str, sent_ms: u64, error: Option<OrderError>) {
        let result = error.map_or("ok".to_owned(), |error| format!("{error:?}"));
        let metrics = &self.shared.metrics;
        metrics.orders.with_label_values(&[kind, &result]).inc();
        #[allow(clippy::cast_precision_loss, reason = "a latency for a histogram")]
        metrics.order_seconds.observe(clock::now_ms().saturating_sub(sent_ms) as f64 / 1_000.0);
        if error == Some(OrderError::Fenced) {
            let _ = self.inputs.send(Input::Superseded("a runner knows a higher token")).await;
        }
    }

    fn target<'a>(&self, at: &'a (RunnerId, String), wait_ms: u64) -> orders::Target<'a> {
        orders::Target {
            address: &at.1,
            runner: &at.0,
            timeout_ms: self.shared.config.order_timeout_ms + wait_ms,
        }
    }

    fn leads(&self) -> (String, Expect) {
        (record::LEADER.to_owned(), Expect::Modified(self.token))
    }

    /// Whether a conflict means that the term has ended.
    fn is_superseded(&self, entries: &[Entry]) -> bool {
        let leader = entries.iter().find(|entry| entry.key == record::LEADER);
        leader.is_none_or(|leader| leader.modified != self.token)
    }
}

async fn start(context: Arc<Context>, order: StartOrder) {
    let sent_ms = clock::now_ms();
    let StartOrder { runner, target, task, run, spec, until_ms, checkpoint, ticket } = order;
    let token = context.token.0;
    let order = orders::Start { task, run, spec, until_ms, token, checkpoint, ticket };
    let result = orders::start(&context.shared.pool, context.target(&target, 0), &order).await;
    context.note("start", sent_ms, result.err()).await;
    let ordered = OrderResult { runner, task, run, is_stop: false, sent_ms, result };
    context.tell(Event::OrderFinished(ordered)).await;
}

async fn stop(
    context: Arc<Context>,
    runner: RunnerKey,
    target: (RunnerId, String),
    (task, run): (TaskId, u64),
) {
    let sent_ms = clock::now_ms();
    let (pool, token) = (&context.shared.pool, context.token.0);
    let result = orders::stop(pool, context.target(&target, 0), task, run, token).await;
    context.note("stop", sent_ms, result.err()).await;
    let ordered = OrderResult { runner, task, run, is_stop: true, sent_ms, result };
    context.tell(Event::OrderFinished(ordered)).await;
}

async fn pace(
    context: Arc<Context>,
    runner: RunnerKey,
    target: (RunnerId, String),
    (task, run): (TaskId, u64),
    percent: u32,
) {
    let sent_ms = clock::now_ms();
    let (pool, token) = (&context.shared.pool, context.token.0);
    let result = orders::pace(pool, context.target(&target, 0), (task, run), percent, token).await;
    context.note("pace", sent_ms, result.err()).await;
    if result.is_err() {
        context.tell(Event::PaceFailed { runner, task }).await;
    }
}

async fn hold(context: Arc<Context>, order: RenewalOrder) {
    let sent_ms = clock::now_ms();
    let renew = orders::Renew {
        until_ms: order.until_ms,
        token: context.token.0,
        acknowledged: order.acknowledged,
        wait_ms: order.wait_ms,
    };
    let target = context.target(&order.target, order.wait_ms);
    let result = orders::renew(&context.shared.pool, target, renew).await;
    context.note("hold", sent_ms, result.as_ref().err().copied()).await;
    context.tell(Event::RenewalFinished { runner: order.runner, sent_ms, result }).await;
}

async fn save(context: Arc<Context>, records: Vec<ProgressWrite>) {
    let is_stored = match progress_commit(&context, &records) {
        Some(commit) => {
            let result = store::commit(&*context.shared.store, commit, Priority::Record).await;
            watch::note(&context.shared, "save", &result);
            match result {
                Ok(CommitOutcome::Written(revision)) => {
                    let mut known = lock(&context.revisions);
                    known.extend(records.iter().map(|save| (save.job, revision)));
                    true
                }
                Ok(CommitOutcome::Conflict(entries)) => {
                    settle(&context, &entries).await;
                    false
                }
                Err(_) => false,
            }
        }
        None => true,
    };
    if is_stored {
        for save in records.iter().filter(|save| save.progress.state.is_final()) {
            context.shared.note_final(save.job, save.progress.state);
        }
    }
    context.tell(Event::ProgressSaved { is_stored }).await;
}

/// Learns from a conflict which of the own writes took effect although no answer came.
async fn settle(context: &Context, entries: &[Entry]) {
    if context.is_superseded(entries) {
        let _ = context.inputs.send(Input::Superseded("the store has another leader")).await;
        return;
    }
    let mut known = lock(&context.revisions);
    for entry in entries {
        if let Some((job, revision)) = watch::progress_of(entry) {
            known.insert(job, revision);
        }
    }
}

fn progress_commit(context: &Context, records: &[ProgressWrite]) -> Option<Commit> {
    let known = lock(&context.revisions);
    let mut commit = Commit { conditions: vec![context.leads()], ..Commit::default() };
    for ProgressWrite { job, progress } in records {
        let key = record::progress_key(*job);
        let expect = known.get(job).map_or(Expect::Absent, |at| Expect::Modified(*at));
        let Some(value) = encode(*job, progress) else { continue };
        commit.conditions.push((key.clone(), expect));
        commit.puts.push((key, value, None));
    }
    (!commit.puts.is_empty()).then_some(commit)
}

fn encode(job: JobId, progress: &Progress) -> Option<bytes::Bytes> {
    match record::encode(progress) {
        Ok(value) => Some(value),
        Err(error) => {
            decision_log::line("progress_unwritable").with("job", job).with("error", error).end();
            None
        }
    }
}

async fn forget(context: Arc<Context>, jobs: Vec<JobId>) {
    let keys =
        |job: &JobId| [record::job_key(*job), record::cancel_key(*job), record::progress_key(*job)];
    let commit = Commit {
        conditions: vec![context.leads()],
        puts: Vec::new(),
        deletes: jobs.iter().flat_map(keys).collect(),
    };
    let result = store::commit(&*context.shared.store, commit, Priority::Bulk).await;
    watch::note(&context.shared, "forget", &result);
    let is_removed = matches!(result, Ok(CommitOutcome::Written(_)));
    if is_removed {
        let mut known = lock(&context.revisions);
        known.retain(|job, _| !jobs.contains(job));
    }
    if let Ok(CommitOutcome::Conflict(entries)) = result {
        settle(&context, &entries).await;
    }
    context.tell(Event::RecordsRemoved { is_removed }).await;
}

async fn save_roster(context: Arc<Context>, entries: Vec<RosterEntry>) {
    let is_stored = match record::encode(&entries) {
        Ok(value) => write_roster(&context, value).await,
        Err(error) => {
            decision_log::line("roster_unwritable").with("error", error).end();
            false
        }
    };
    context.tell(Event::RosterSaved { is_stored }).await;
}

async fn write_roster(context: &Context, value: bytes::Bytes) -> bool {
    let expect = lock(&context.roster).map_or(Expect::Absent, Expect::Modified);
    let key = record::ROSTER.to_owned();
    let commit = Commit {
        conditions: vec![context.leads(), (key.clone(), expect)],
        puts: vec![(key.clone(), value, None)],
        deletes: Vec::new(),
    };
    let result = store::commit(&*context.shared.store, commit, Priority::Control).await;
    watch::note(&context.shared, "roster", &result);
    match result {
        Ok(CommitOutcome::Written(revision)) => {
            *lock(&context.roster) = Some(revision);
            true
        }
        Ok(CommitOutcome::Conflict(entries)) => {
            if context.is_superseded(&entries) {
                let superseded = Input::Superseded("the store has another leader");
                let _ = context.inputs.send(superseded).await;
            }
            let known = entries.iter().find(|entry| entry.key == key);
            *lock(&context.roster) = known.map(|entry| entry.modified);
            false
        }
        Err(_) => false,
    }
}
