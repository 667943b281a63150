//! The control loop of a term: one task that steps the scheduler and hands out what it asks for.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use futures_lite::future;

use crate::clock;
use crate::decision_log;
use crate::queue::election::{self, Term};
use crate::queue::leader::Executor;
use crate::queue::model::{JobId, JobState, QueueDirectory};
use crate::queue::scheduler::{Action, Event, Scheduler};
use crate::queue::shared::Shared;
use crate::queue::takeover::{self, Taken};
use crate::queue::watch;
use crate::store::{Operation, Priority, StoreError};

/// Longest time between two looks at what is due while work is under way, in milliseconds.
const BUSY_TICK_MS: u64 = 25;

/// Longest time between two looks at what is due while nothing runs, in milliseconds.
const IDLE_TICK_MS: u64 = 200;

/// Inputs that are taken in before the scheduler acts on them.
const INPUT_BATCH: usize = 256;

/// Pause after a failed takeover or renewal, in milliseconds.
const RETRY_MS: u64 = 150;

/// Part of a run lease by which a runner's clock may be slow, and the time of late answers, in
/// milliseconds.
const INHERITED_SLACK_MS: u64 = 500;

/// Time for which a term lasts at least before it is left to a larger host, in milliseconds: a few
/// times as long as a takeover.
const YIELD_AFTER_MS: u64 = 3_000;

/// Why a term ends whose host comes to an end.
const RESIGNED: &str = "resigned";

/// Why a term ends in favour of a larger host.
const YIELDED: &str = "a larger host can lead";

/// Something that reaches the control of a term.
#[derive(Debug)]
pub enum Input {
    /// Something that the scheduler learns.
    Event(Event),
    /// Newer declarations.
    Declared(Arc<QueueDirectory>),
    /// The store names another leader, or none.
    LeaderChanged,
    /// A runner or the store knows of a later term.
    Superseded(&'static str),
    /// The host comes to an end; another one should lead.
    Resign,
    /// A question for the state of a job.
    State(JobId, async_channel::Sender<Option<JobState>>),
    /// A question for the number of jobs that have not started.
    Pending(String, async_channel::Sender<u64>),
}

/// Leads the cell until the term ends.
pub async fn lead(shared: &Arc<Shared>, term: Term) {
    let (sender, inputs) = async_channel::unbounded();
    shared.set_control(Some(sender.clone()));
    let keeper = task::spawn(keep(Arc::clone(shared), term.clone(), sender.clone()));
    let reason = match prepare(shared, &term, &inputs).await {
        Ok((scheduler, taken)) => {
            let followers = follow(shared, &sender, &taken);
            let executor = Executor::new(Arc::clone(shared), sender, term.token, taken);
            let (executor, records, runners) = (executor, followers.0, followers.1);
            let reason = run(shared, scheduler, executor, &inputs, &term).await;
            records.cancel().await;
            runners.cancel().await;
            reason
        }
        Err(reason) => reason,
    };
    shared.set_control(None);
    inputs.close();
    keeper.cancel().await;
    decision_log::line("term_ended").with("token", term.token.0).with("reason", reason).end();
    if reason == RESIGNED || reason == YIELDED {
        election::release_patiently(shared, term.lease).await;
    }
}

fn follow(
    shared: &Arc<Shared>,
    sender: &async_channel::Sender<Input>,
    taken: &Taken,
) -> (JoinHandle<()>, JoinHandle<()>) {
    let records = watch::follow_records(Arc::clone(shared), sender.clone(), taken.records.clone());
    let runners = watch::follow_runners(
        Arc::clone(shared),
        sender.clone(),
        taken.runners.clone(),
        taken.listed.clone(),
    );
    (task::spawn(records), task::spawn(runners))
}

/// Reads what former leaders have left, again until it is read or the term ends.
async fn prepare(
    shared: &Arc<Shared>,
    term: &Term,
    inputs: &async_channel::Receiver<Input>,
) -> Result<(Scheduler, Taken), &'static str> {
    loop {
        let now_ms = clock::now_ms();
        let mut scheduler = Scheduler::new(shared.config.clone(), term.token.0);
        scheduler.handle_event(
            Event::LeaderLeaseConfirmed { until_ms: term.confirmed_until_ms },
            now_ms,
        );
        let taking = async { Some(takeover::take_over(shared, &mut scheduler, now_ms).await) };
        let yielding = async {
            hear_larger(shared, now_ms).await;
            None
        };
        let Some(taken) = future::or(taking, yielding).await else { return Err(YIELDED) };
        match taken {
            Ok(taken) => {
                if taken.is_succession {
                    let config = &shared.config;
                    let wait_ms = config.leader_ttl_ms
                        + config.bridge_ms
                        + config.run_lease_ms
                        + INHERITED_SLACK_MS;
                    scheduler.await_inherited_runs(clock::now_ms() + wait_ms);
                }
                return Ok((scheduler, taken));
            }
            Err(error) => {
                decision_log::line("takeover_failed").with("error", error).end();
                task::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
        while let Ok(input) = inputs.try_recv() {
            if let Some(reason) = ends_term(shared, term, &input) {
                return Err(reason);
            }
        }
    }
}

/// Waits until a far larger host says that it could lead: nobody has been ordered yet, so that it
/// costs nothing to leave the term to it.
async fn hear_larger(shared: &Shared, since_ms: u64) {
    while !shared.standing().has_seen_larger_since(since_ms) {
        task::sleep(Duration::from_millis(BUSY_TICK_MS)).await;
    }
}

/// Why an input ends the term, if it does.
fn ends_term(shared: &Shared, term: &Term, input: &Input) -> Option<&'static str> {
    match input {
        Input::Superseded(reason) => Some(reason),
        Input::Resign => Some(RESIGNED),
        Input::LeaderChanged => {
            let leads = shared.leader().is_some_and(|leader| leader.token == term.token);
            (!leads).then_some("the store names another leader or none")
        }
        _ => None,
    }
}

async fn run(
    shared: &Arc<Shared>,
    mut scheduler: Scheduler,
    mut executor: Executor,
    inputs: &async_channel::Receiver<Input>,
    term: &Term,
) -> &'static str {
    let mut actions: Vec<Action> = Vec::new();
    let own: Arc<str> = Arc::from(shared.site.peer_address.as_str());
    let yields_from_ms = clock::now_ms() + YIELD_AFTER_MS;
    loop {
        let [jobs, held, usable] = scheduler.counts(clock::now_ms());
        executor.note_figures([jobs, held, usable]);
        let tick_ms = if jobs + held > 0 { BUSY_TICK_MS } else { IDLE_TICK_MS };
        let limit = Duration::from_millis(tick_ms);
        let mut next =
            async_std::future::timeout(limit, inputs.recv()).await.ok().and_then(Result::ok);
        let now_ms = clock::now_ms();
        if shared.standing().has_seen_larger_since(yields_from_ms) {
            return YIELDED;
        }
        let mut taken = 0;
        while let Some(input) = next {
            if let Some(reason) = ends_term(shared, term, &input) {
                return reason;
            }
            take(&mut scheduler, input, now_ms);
            taken += 1;
            next = if taken < INPUT_BATCH { inputs.try_recv().ok() } else { None };
        }
        let seen = Event::AdviceHostSeen { address: Arc::clone(&own) };
        scheduler.handle_event(seen, now_ms);
        scheduler.take_actions(now_ms, &mut actions);
        for action in actions.drain(..) {
            executor.carry_out(action);
        }
    }
}

fn take(scheduler: &mut Scheduler, input: Input, now_ms: u64) {
    match input {
        Input::Event(event) => scheduler.handle_event(event, now_ms),
        Input::Declared(directory) => {
            scheduler.handle_event(Event::DirectoryUpdated(directory), now_ms);
        }
        Input::State(job, answer) => {
            // The asker may have gone.
            let _ = answer.try_send(scheduler.state_of(job));
        }
        Input::Pending(queue, answer) => {
            let _ = answer.try_send(scheduler.pending(&queue));
        }
        Input::LeaderChanged | Input::Superseded(_) | Input::Resign => {}
    }
}

/// Renews the leader's lease; a lease that has ended ends the term.
async fn keep(shared: Arc<Shared>, term: Term, inputs: async_channel::Sender<Input>) {
    let config = &shared.config;
    let usable_ms = config.leader_ttl_ms.saturating_sub(config.leader_margin_ms);
    loop {
        let sent_ms = clock::now_ms();
        let renew = Operation::Renew { lease: term.lease };
        let result = shared.store.call(renew, Priority::Control).await;
        watch::note(&shared, "renew", &result);
        let pause_ms = match result {
            Ok(_) => {
                let event = Event::LeaderLeaseConfirmed { until_ms: sent_ms + usable_ms };
                if inputs.send(Input::Event(event)).await.is_err() {
                    return;
                }
                config.leader_renew_ms
            }
            Err(StoreError::LeaseGone) => {
                let _ = inputs.send(Input::Superseded("the lease has ended")).await;
                return;
            }
            Err(_) => RETRY_MS,
        };
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}
