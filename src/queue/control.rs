//! The leader's control loop: one task that feeds events to the scheduler and executes its actions
//! for as long as the term lasts.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use futures_lite::future;

use crate::clock;
use crate::decision_log;
use crate::queue::election::{self, Term};
use crate::queue::former_terms;
use crate::queue::host_state::HostState;
use crate::queue::leader::Executor;
use crate::queue::model::{JobId, JobState, QueueDirectory};
use crate::queue::record::LeaderRecord;
use crate::queue::scheduler::{Action, Event, Scheduler};
use crate::queue::takeover::{self, RecordReader, RecoveredState};
use crate::queue::watch;
use crate::store::{Answer, LeaseId, Operation, Priority, StoreError};

/// Longest time between two scheduler passes while there are jobs or tasks, in milliseconds.
const BUSY_TICK_MS: u64 = 25;

/// Longest time between two scheduler passes while there is nothing to do, in milliseconds.
const IDLE_TICK_MS: u64 = 200;

/// Pause after a scheduler pass, as a multiple of the time that the pass took: inputs that arrive
/// meanwhile share the next pass, so that passes leave most of the processor to the orders.
const PASS_PAUSE_FACTOR: u64 = 4;

/// Longest pause after a scheduler pass, in microseconds.
const MAX_PASS_PAUSE_US: u64 = 20_000;

/// Shortest pause that is worth a timer, in microseconds.
const MIN_PASS_PAUSE_US: u64 = 1_000;

/// Most inputs that are applied before the scheduler acts on them.
const MAX_INPUT_BATCH: usize = 256;

/// Pause before a failed takeover or lease renewal is retried, in milliseconds.
const RETRY_MS: u64 = 150;

/// Time without an answer after which another renewal of the leader's lease is sent beside the open
/// ones, in milliseconds: at the end of an outage of the store, calls from before may stay unanswered.
const RENEWAL_HEDGE_MS: u64 = 250;

/// Maximum number of open renewals of the leader's lease.
const MAX_OPEN_RENEWALS: usize = 4;

/// Shortest time that a leader serves before it yields to a larger host, in milliseconds: a few
/// times as long as a takeover.
const MIN_TERM_BEFORE_YIELD_MS: u64 = 3_000;

/// Logged reason of a term that ends because its host shuts down.
const RESIGNED: &str = "resigned";

/// Logged reason of a term that ends in favour of a larger host.
const YIELDED: &str = "yielded to a host with more CPU";

/// A message to the control loop of the leader.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the scheduler.
    Event(Event),
    /// A newer version of the operator's declarations.
    Declared(Arc<QueueDirectory>),
    /// The leader key in the store has changed or was deleted.
    LeaderChanged,
    /// The term is over; the text says how that was noticed, for the log.
    Superseded(&'static str),
    /// The host shuts down; another host should lead.
    Resign,
    /// Asks for the state of a job; the answer is `None` for an unknown job.
    StateQuery(JobId, async_channel::Sender<Option<JobState>>),
    /// Asks for the number of jobs in the queue of this name that have not started.
    PendingQuery(String, async_channel::Sender<u64>),
}

/// Leads the cell until the term ends, and revokes the lease if the host gives up the term itself.
pub async fn lead(shared: &Arc<HostState>, term: Term) {
    let (sender, inputs) = async_channel::unbounded();
    shared.set_control_loop(Some(sender.clone()));
    let lease_renewal = task::spawn(renew_lease(Arc::clone(shared), term.clone(), sender.clone()));
    let reason = match recover(shared, &term, &inputs).await {
        Ok((scheduler, recovered)) => {
            let watchers = spawn_watchers(shared, &sender, &recovered);
            let former_terms = task::spawn(former_terms::await_ends(
                Arc::clone(shared),
                sender.clone(),
                term.former_leaders.clone().unwrap_or_default(),
            ));
            let executor = Executor::new(Arc::clone(shared), sender, &term, recovered);
            let (executor, jobs, runners) = (executor, watchers.0, watchers.1);
            let reason = run_loop(shared, scheduler, executor, &inputs, &term).await;
            shared.end_term();
            former_terms.cancel().await;
            jobs.cancel().await;
            runners.cancel().await;
            reason
        }
        Err(reason) => reason,
    };
    shared.set_control_loop(None);
    inputs.close();
    lease_renewal.cancel().await;
    decision_log::line("term_ended").with("token", term.token.0).with("reason", reason).end();
    if reason == RESIGNED || reason == YIELDED {
        election::revoke_lease_with_retries(shared, term.lease).await;
    }
}

/// Spawns the watches on job records and on runner records.
fn spawn_watchers(
    shared: &Arc<HostState>,
    sender: &async_channel::Sender<ControlInput>,
    recovered: &RecoveredState,
) -> (JoinHandle<()>, JoinHandle<()>) {
    let jobs =
        watch::watch_records(Arc::clone(shared), sender.clone(), recovered.job_watcher.clone());
    let runners = watch::watch_runners(
        Arc::clone(shared),
        sender.clone(),
        recovered.runner_watcher.clone(),
        recovered.runner_keys.clone(),
    );
    (task::spawn(jobs), task::spawn(runners))
}

/// Loads the state of former leaders; retries until that succeeds or the term ends. The error is
/// the reason why the term has ended.
async fn recover(
    shared: &Arc<HostState>,
    term: &Term,
    inputs: &async_channel::Receiver<ControlInput>,
) -> Result<(Scheduler, RecoveredState), &'static str> {
    let mut records = RecordReader::default();
    loop {
        let begun_ms = clock::now_ms();
        let reading = async { Some(records.read(shared).await) };
        let yielding = async {
            wait_for_larger_host(shared, begun_ms).await;
            None
        };
        match future::or(reading, yielding).await {
            None => return Err(YIELDED),
            Some(Ok(())) => return Ok(load_records(shared, term, records)),
            Some(Err(error)) => {
                decision_log::line("takeover_delayed").with("error", error).end();
                task::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
        while let Ok(input) = inputs.try_recv() {
            if let Some(reason) = termination_reason(shared, term, &input) {
                return Err(reason);
            }
        }
    }
}

/// Creates the scheduler of a term from the records of former leaders.
fn load_records(
    shared: &HostState,
    term: &Term,
    records: RecordReader,
) -> (Scheduler, RecoveredState) {
    let now_ms = clock::now_ms();
    let config = &shared.config;
    let mut scheduler = Scheduler::new(config.clone(), term.token.0);
    let confirmed = Event::LeaderLeaseConfirmed { until_ms: term.confirmed_until_ms };
    scheduler.handle_event(confirmed, now_ms);
    let recovered = takeover::load(shared, records, &mut scheduler, now_ms);
    if recovered.has_predecessor {
        let nonces =
            |leaders: &Vec<LeaderRecord>| leaders.iter().map(|leader| leader.nonce).collect();
        scheduler.await_former_terms(term.former_leaders.as_ref().map(nonces), term.begun_ms);
    }
    (scheduler, recovered)
}

/// Waits until a host with far more CPU reports that it can lead. Yielding the term during recovery
/// costs nothing, because no runner has received an order yet.
async fn wait_for_larger_host(shared: &HostState, since_ms: u64) {
    while !shared.leader_preference().has_seen_larger_since(since_ms) {
        task::sleep(Duration::from_millis(BUSY_TICK_MS)).await;
    }
}

/// Reason why this input ends the term; `None` if the term goes on.
fn termination_reason(
    shared: &HostState,
    term: &Term,
    input: &ControlInput,
) -> Option<&'static str> {
    match input {
        ControlInput::Superseded(reason) => Some(reason),
        ControlInput::Resign => Some(RESIGNED),
        ControlInput::LeaderChanged => {
            let is_leader = shared.leader().is_some_and(|leader| leader.token == term.token);
            (!is_leader).then_some("the store holds another leader key or none")
        }
        _ => None,
    }
}

/// Runs the control loop and returns the reason why the term has ended.
async fn run_loop(
    shared: &Arc<HostState>,
    mut scheduler: Scheduler,
    mut executor: Executor,
    inputs: &async_channel::Receiver<ControlInput>,
    term: &Term,
) -> &'static str {
    let mut actions: Vec<Action> = Vec::new();
    let own_address: Arc<str> = Arc::from(shared.host_info.peer_address.as_str());
    let yields_from_ms = clock::now_ms() + MIN_TERM_BEFORE_YIELD_MS;
    loop {
        let [jobs, held_tasks, usable_runners] = scheduler.counts(clock::now_ms());
        executor.publish_gauges([jobs, held_tasks, usable_runners]);
        executor.publish_crash_counts(scheduler.take_crash_counts());
        executor.publish_speed_factors(scheduler.take_speed_factors());
        let tick_ms = if jobs + held_tasks > 0 { BUSY_TICK_MS } else { IDLE_TICK_MS };
        let limit = Duration::from_millis(tick_ms);
        let mut next =
            async_std::future::timeout(limit, inputs.recv()).await.ok().and_then(Result::ok);
        let now_ms = clock::now_ms();
        if shared.leader_preference().has_seen_larger_since(yields_from_ms) {
            return YIELDED;
        }
        let mut applied = 0;
        while let Some(input) = next {
            if let Some(reason) = termination_reason(shared, term, &input) {
                return reason;
            }
            apply_input(&mut scheduler, input, now_ms);
            applied += 1;
            next = if applied < MAX_INPUT_BATCH { inputs.try_recv().ok() } else { None };
        }
        let begun_us = clock::now_us();
        let seen = Event::AdviceHostSeen { address: Arc::clone(&own_address) };
        scheduler.handle_event(seen, now_ms);
        scheduler.take_actions(now_ms, &mut actions);
        for action in actions.drain(..) {
            executor.execute(action);
        }
        pause_after_pass(clock::now_us().saturating_sub(begun_us)).await;
    }
}

/// Pauses after a pass that took `pass_us`; not at all after a short one.
async fn pause_after_pass(pass_us: u64) {
    let pause_us = (pass_us * PASS_PAUSE_FACTOR).min(MAX_PASS_PAUSE_US);
    if pause_us >= MIN_PASS_PAUSE_US {
        task::sleep(Duration::from_micros(pause_us)).await;
    }
}

fn apply_input(scheduler: &mut Scheduler, input: ControlInput, now_ms: u64) {
    match input {
        ControlInput::Event(event) => scheduler.handle_event(event, now_ms),
        ControlInput::Declared(directory) => {
            scheduler.handle_event(Event::DirectoryUpdated(directory), now_ms);
        }
        ControlInput::StateQuery(job, answer) => {
            // Fails only if the caller no longer waits.
            let _ = answer.try_send(scheduler.state_of(job));
        }
        ControlInput::PendingQuery(queue, answer) => {
            let _ = answer.try_send(scheduler.pending(&queue));
        }
        ControlInput::LeaderChanged | ControlInput::Superseded(_) | ControlInput::Resign => {}
    }
}

/// Sends one renewal of a lease; the answer goes to `answers` with the time of sending.
async fn send_renewal(
    shared: Arc<HostState>,
    lease: LeaseId,
    answers: async_channel::Sender<(u64, Result<Answer, StoreError>)>,
) {
    let sent_ms = clock::now_ms();
    let result = shared.store.call(Operation::Renew { lease }, Priority::Control).await;
    watch::record_store_call(&shared, "renew", &result);
    // Fails only if the term has ended.
    let _ = answers.send((sent_ms, result)).await;
}

/// Renews the leader's lease and ends the term once the store reports that the lease is gone.
async fn renew_lease(
    shared: Arc<HostState>,
    term: Term,
    inputs: async_channel::Sender<ControlInput>,
) {
    let config = &shared.config;
    let usable_ms = config.leader_ttl_ms.saturating_sub(config.leader_margin_ms);
    let (answer, answers) = async_channel::bounded(MAX_OPEN_RENEWALS);
    let (mut open, mut confirmed_until_ms) = (0, term.confirmed_until_ms);
    loop {
        if open < MAX_OPEN_RENEWALS {
            task::spawn(send_renewal(Arc::clone(&shared), term.lease, answer.clone()));
            open += 1;
        }
        let limit = Duration::from_millis(RENEWAL_HEDGE_MS);
        let answered = async_std::future::timeout(limit, answers.recv()).await;
        let Some((sent_ms, result)) = answered.ok().and_then(Result::ok) else { continue };
        open -= 1;
        let pause_ms = match result {
            Ok(_) => {
                // An answer to an earlier renewal may arrive after that to a later one.
                confirmed_until_ms = confirmed_until_ms.max(sent_ms + usable_ms);
                let event = Event::LeaderLeaseConfirmed { until_ms: confirmed_until_ms };
                if inputs.send(ControlInput::Event(event)).await.is_err() {
                    return;
                }
                config.leader_renew_ms
            }
            Err(StoreError::LeaseGone) => {
                let _ = inputs
                    .send(ControlInput::Superseded("the lease of the leader has ended"))
                    .await;
                return;
            }
            Err(_) => RETRY_MS,
        };
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}
