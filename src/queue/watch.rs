//! Follows parts of the store: declarations and the leader on every host, records while leading.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::collections::HashSet;
use crate::decision_log;
use crate::platform::{declarations, runners};
use crate::queue::control::Input;
use crate::queue::model::{JobId, RunnerId};
use crate::queue::record::{self, LeaderRecord};
use crate::queue::scheduler::Event;
use crate::queue::shared::{Leader, Shared};
use crate::store::api::Change;
use crate::store::{self, Entry, Priority, Revision, StoreError};

/// Pause after a failed call to the store, in milliseconds.
const RETRY_MS: u64 = 200;

/// Changes in one look after which more may wait already: the store answers with some hundreds at
/// once, and thousands of runners write every second or two.
const BUSY_CHANGES: usize = 200;

/// One look at a prefix: everything, or what has changed since.
#[derive(Debug)]
pub enum Look {
    /// All entries.
    All(Vec<Entry>),
    /// Changes since the look before.
    Changes(Vec<Change>),
}

impl Look {
    /// The entries that are there, or that were written since; nothing for those removed.
    fn entries(&self) -> Vec<&Entry> {
        match self {
            Self::All(entries) => entries.iter().collect(),
            Self::Changes(changes) => {
                changes.iter().filter_map(|change| change.entry.as_ref()).collect()
            }
        }
    }

    /// Pause before the next look, in milliseconds: `gap_ms`, or none while changes pile up.
    ///
    /// ```
    /// use hemlockrock::queue::watch::Look;
    ///
    /// assert_eq!(Look::Changes(Vec::new()).pause_ms(600), 600);
    /// ```
    pub fn pause_ms(&self, gap_ms: u64) -> u64 {
        match self {
            Self::Changes(changes) if changes.len() >= BUSY_CHANGES => 0,
            _ => gap_ms,
        }
    }
}

/// Follows one prefix of the store.
#[derive(Clone, Debug)]
pub struct Follower {
    prefix: String,
    after: Option<Revision>,
}

impl Follower {
    /// A follower that first reads everything.
    pub fn new(prefix: impl Into<String>) -> Self {
        Self { prefix: prefix.into(), after: None }
    }

    /// Waits up to `wait_ms` for changes.
    ///
    /// # Errors
    /// As the calls to the store; the next look goes on where this one was to begin.
    pub async fn look(&mut self, shared: &Shared, wait_ms: u64) -> Result<Look, StoreError> {
        if let Some(after) = self.after {
            let watched = store::watch(&*shared.store, self.prefix.as_str(), after, wait_ms).await;
            note(shared, "watch", &watched);
            if let Some((revision, changes)) = watched? {
                self.after = Some(revision.max(after));
                return Ok(Look::Changes(changes));
            }
            decision_log::line("history_gone").with("prefix", &self.prefix).end();
            self.after = None;
        }
        let listed = store::list(&*shared.store, self.prefix.as_str(), Priority::Control).await;
        note(shared, "list", &listed);
        let (revision, entries) = listed?;
        self.after = Some(revision);
        Ok(Look::All(entries))
    }
}

/// Counts a call to the store and notes whether it was answered.
pub fn note<T>(shared: &Shared, kind: &str, result: &Result<T, StoreError>) {
    let outcome = match result {
        Ok(_) => "ok",
        Err(StoreError::Away(_)) => "away",
        Err(StoreError::Lost(_)) => "lost",
        Err(StoreError::Overloaded { .. }) => "overloaded",
        Err(_) => "refused",
    };
    shared.metrics.store_calls.with_label_values(&[kind, outcome]).inc();
    shared.note_store(result);
}

async fn pause(ms: u64) {
    task::sleep(Duration::from_millis(ms)).await;
}

/// Follows the operator's declarations for as long as the host lives.
pub async fn follow_declarations(shared: Arc<Shared>) {
    let mut follower = Follower::new(declarations::PREFIX);
    loop {
        match follower.look(&shared, shared.config.declaration_wait_ms).await {
            Ok(look) => {
                look.entries().into_iter().for_each(|entry| take_declaration(&shared, entry));
            }
            Err(_) => pause(RETRY_MS).await,
        }
    }
}

fn take_declaration(shared: &Shared, entry: &Entry) {
    if entry.key != declarations::KEY {
        return;
    }
    match declarations::decode(&entry.value) {
        Ok(directory) => {
            shared.declare(directory);
        }
        Err(error) => {
            decision_log::line("declaration_unreadable").with("error", error).end();
        }
    }
}

/// Follows the leader's key for as long as the host lives.
pub async fn follow_leader(shared: Arc<Shared>) {
    let mut follower = Follower::new(record::LEADER);
    loop {
        match follower.look(&shared, shared.config.leader_wait_ms).await {
            Ok(Look::All(entries)) => {
                shared.set_leader(entries.first().and_then(leader_of));
            }
            Ok(Look::Changes(changes)) => {
                if let Some(last) = changes.last() {
                    shared.set_leader(last.entry.as_ref().and_then(leader_of));
                }
            }
            Err(_) => pause(RETRY_MS).await,
        }
    }
}

/// The leader that an entry of its key names.
pub fn leader_of(entry: &Entry) -> Option<Leader> {
    match crate::http::rpc::decode::<LeaderRecord>(&entry.value) {
        Ok(record) => Some(Leader { record, token: entry.created }),
        Err(error) => {
            decision_log::line("leader_unreadable").with("error", error).end();
            None
        }
    }
}

/// Follows submissions and cancellations while this host leads; hosts also announce them.
pub async fn follow_records(
    shared: Arc<Shared>,
    inputs: async_channel::Sender<Input>,
    mut follower: Follower,
) {
    while !inputs.is_closed() {
        let look = follower.look(&shared, shared.config.hold_wait_ms).await;
        let gap_ms = shared.config.record_gap_ms;
        let pause_ms = look.as_ref().map_or(RETRY_MS + gap_ms, |look| look.pause_ms(gap_ms));
        // A failure is counted and logged with the call.
        for entry in look.iter().flat_map(Look::entries) {
            take_record(&inputs, entry).await;
        }
        pause(pause_ms).await;
    }
}

/// Tells the control of a submission or a cancellation.
pub async fn take_record(inputs: &async_channel::Sender<Input>, entry: &Entry) {
    let Some((id, is_cancel)) = record::parse_job_key(&entry.key) else { return };
    let event = if is_cancel { Some(Event::JobCanceled(id)) } else { submission_event(id, entry) };
    if let Some(event) = event {
        // A closed channel means that the term has ended.
        let _ = inputs.send(Input::Event(event)).await;
    }
}

/// The submission in a record, unless it cannot be read.
pub fn submission_event(id: JobId, entry: &Entry) -> Option<Event> {
    match record::decode_submission(&entry.value) {
        Ok(submission) => Some(Event::JobSubmitted(submission)),
        Err(error) => {
            decision_log::line("job_unreadable").with("job", id).with("error", error).end();
            None
        }
    }
}

/// The report in a runner's own record, unless the record names no runner to use.
pub fn runner_event(entry: &Entry) -> Option<Event> {
    match runners::decode(&entry.key, &entry.value) {
        Ok(report) => Some(Event::RunnerListed(report)),
        Err(error) => {
            decision_log::line("runner_unreadable")
                .with("key", &entry.key)
                .with("revision", entry.modified.0)
                .with("error", error)
                .end();
            None
        }
    }
}

/// Follows the runners' own records while this host leads.
pub async fn follow_runners(
    shared: Arc<Shared>,
    inputs: async_channel::Sender<Input>,
    mut follower: Follower,
    mut known: HashSet<String>,
) {
    while !inputs.is_closed() {
        let look = follower.look(&shared, shared.config.hold_wait_ms).await;
        let gap_ms = shared.config.runner_gap_ms;
        let pause_ms = look.as_ref().map_or(RETRY_MS + gap_ms, |look| look.pause_ms(gap_ms));
        match look {
            Ok(Look::All(entries)) => {
                take_runners(&inputs, &entries, &mut known).await;
            }
            Ok(Look::Changes(changes)) => {
                for change in changes {
                    match &change.entry {
                        Some(entry) => take_runner(&inputs, entry, &mut known).await,
                        None => drop_runner(&inputs, &change.key, &mut known).await,
                    }
                }
            }
            // Counted and logged with the call.
            Err(_) => {}
        }
        pause(pause_ms).await;
    }
}

/// Tells the control of all runners that are listed, and of those that no longer are.
pub async fn take_runners(
    inputs: &async_channel::Sender<Input>,
    entries: &[Entry],
    known: &mut HashSet<String>,
) {
    let listed: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    let gone: Vec<String> =
        known.iter().filter(|key| !listed.contains(key.as_str())).cloned().collect();
    for key in gone {
        drop_runner(inputs, &key, known).await;
    }
    for entry in entries {
        take_runner(inputs, entry, known).await;
    }
}

async fn take_runner(
    inputs: &async_channel::Sender<Input>,
    entry: &Entry,
    known: &mut HashSet<String>,
) {
    if let Some(event) = runner_event(entry) {
        known.insert(entry.key.clone());
        let _ = inputs.send(Input::Event(event)).await;
    }
}

async fn drop_runner(
    inputs: &async_channel::Sender<Input>,
    key: &str,
    known: &mut HashSet<String>,
) {
    known.remove(key);
    if let Some(id) = key.strip_prefix(runners::PREFIX) {
        let event = Event::RunnerUnlisted(RunnerId::from(id));
        let _ = inputs.send(Input::Event(event)).await;
    }
}

/// The job that a progress entry belongs to, with the entry's revision.
pub fn progress_of(entry: &Entry) -> Option<(JobId, Revision)> {
    Some((record::parse_progress_key(&entry.key)?, entry.modified))
}
