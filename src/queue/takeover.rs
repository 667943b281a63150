//! Recovery of a new leader: loads the state that former leaders have stored, before any runner
//! gets an order.

use crate::collections::{HashMap, HashSet};
use crate::decision_log;
use crate::http::rpc;
use crate::platform::runners;
use crate::queue::host_state::HostState;
use crate::queue::model::JobId;
use crate::queue::record::{self, Progress, RosterEntry};
use crate::queue::scheduler::{Event, Scheduler};
use crate::queue::watch::{self, PrefixWatcher, Update};
use crate::store::pages::PageReader;
use crate::store::{self, Entry, Priority, Revision, StoreError};

/// State outside of the scheduler that a new leader takes from the records in the store.
#[derive(Debug)]
pub struct RecoveredState {
    /// Watches submissions and cancellations that come after those read.
    pub job_watcher: PrefixWatcher,
    /// Watches changes of runner records that come after those read.
    pub runner_watcher: PrefixWatcher,
    /// Keys of the runner records that could be decoded.
    pub runner_keys: HashSet<String>,
    /// Revision of each progress record: its next write is conditional on it.
    pub progress_revisions: HashMap<JobId, Revision>,
    /// Whether an earlier leader has stored a roster, so that its tasks may still run.
    pub has_predecessor: bool,
    /// Revision of the roster record; `None` if there is none yet.
    pub roster_revision: Option<Revision>,
}

/// Reads the records that former leaders have stored.
///
/// What was read is kept when a call fails, so that a slow link or an outage of the store delays a
/// takeover, but does not make it start again.
#[derive(Debug)]
pub struct RecordReader {
    runner_watcher: PrefixWatcher,
    runners: Option<Vec<Entry>>,
    roster: Option<Option<Entry>>,
    job_watcher: PrefixWatcher,
    jobs: Option<Vec<Entry>>,
    progress: PageReader,
}

impl Default for RecordReader {
    fn default() -> Self {
        Self {
            runner_watcher: PrefixWatcher::new(runners::PREFIX),
            runners: None,
            roster: None,
            job_watcher: PrefixWatcher::new(record::JOBS),
            jobs: None,
            progress: PageReader::new(record::PROGRESS),
        }
    }
}

impl RecordReader {
    /// Reads all records that have not been read yet.
    ///
    /// # Errors
    /// Fails when a call to the store fails; the next call continues there.
    pub async fn read(&mut self, shared: &HostState) -> Result<(), StoreError> {
        if self.runners.is_none() {
            self.runners = Some(read_all(&mut self.runner_watcher, shared).await?);
        }
        if self.roster.is_none() {
            let roster = store::get(&*shared.store, record::ROSTER, Priority::Control).await;
            watch::record_store_call(shared, "get", &roster);
            self.roster = Some(roster?);
        }
        if self.jobs.is_none() {
            self.jobs = Some(read_all(&mut self.job_watcher, shared).await?);
        }
        let progress = self.progress.read(&*shared.store).await;
        watch::record_store_call(shared, "list", &progress);
        progress.map(drop)
    }
}

/// Loads everything that `records` has read into `scheduler`.
pub fn load(
    shared: &HostState,
    records: RecordReader,
    scheduler: &mut Scheduler,
    now_ms: u64,
) -> RecoveredState {
    scheduler.handle_event(Event::DirectoryUpdated(shared.directory()), now_ms);
    let RecordReader { runner_watcher, runners, roster, job_watcher, jobs, progress } = records;
    let (runners, roster) = (runners.unwrap_or_default(), roster.flatten());
    let (jobs, progress) = (jobs.unwrap_or_default(), progress.into_entries());
    let runner_keys = load_runners(shared, scheduler, &runners, now_ms);
    load_roster(scheduler, roster.as_ref(), now_ms);
    load_jobs(scheduler, &jobs, now_ms);
    let progress_revisions = load_progress(scheduler, &progress, now_ms);
    load_cancellations(scheduler, &jobs, now_ms);
    decision_log::line("taken_over")
        .with("runners", runner_keys.len())
        .with("records", jobs.len())
        .with("progress", progress.len())
        .end();
    RecoveredState {
        job_watcher,
        runner_watcher,
        runner_keys,
        progress_revisions,
        has_predecessor: roster.is_some(),
        roster_revision: roster.map(|entry| entry.modified),
    }
}

/// Reads all entries of a prefix through a new watcher.
async fn read_all(
    watcher: &mut PrefixWatcher,
    shared: &HostState,
) -> Result<Vec<Entry>, StoreError> {
    match watcher.next_update(shared, 0).await? {
        Update::Snapshot(entries) => Ok(entries),
        Update::Changes(_) => Ok(Vec::new()),
    }
}

/// Loads the runner records and returns the keys of those that could be decoded.
fn load_runners(
    shared: &HostState,
    scheduler: &mut Scheduler,
    entries: &[Entry],
    now_ms: u64,
) -> HashSet<String> {
    let mut runner_keys = HashSet::default();
    for entry in entries {
        if let Some(event) = watch::runner_event(shared, entry) {
            runner_keys.insert(entry.key.clone());
            scheduler.handle_event(event, now_ms);
        }
    }
    runner_keys
}

fn load_roster(scheduler: &mut Scheduler, roster: Option<&Entry>, now_ms: u64) {
    let Some(entry) = roster else { return };
    match rpc::decode::<Vec<RosterEntry>>(&entry.value) {
        Ok(roster) => {
            for entry in roster {
                scheduler.handle_event(Event::RosterEntryLoaded(entry), now_ms);
            }
        }
        Err(error) => decision_log::line("roster_unreadable").with("error", error).end(),
    }
}

fn load_jobs(scheduler: &mut Scheduler, entries: &[Entry], now_ms: u64) {
    for entry in entries {
        let Some((id, false)) = record::parse_job_key(&entry.key) else { continue };
        if let Some(submission) = watch::decode_job(id, entry) {
            scheduler.handle_event(Event::JobLoaded(submission), now_ms);
        }
    }
}

/// Loads the progress records and returns the revision of each.
fn load_progress(
    scheduler: &mut Scheduler,
    entries: &[Entry],
    now_ms: u64,
) -> HashMap<JobId, Revision> {
    let mut revisions = HashMap::default();
    for entry in entries {
        let Some((id, revision)) = watch::progress_revision(entry) else { continue };
        revisions.insert(id, revision);
        match rpc::decode::<Progress>(&entry.value) {
            Ok(progress) => scheduler.handle_event(Event::ProgressLoaded(id, progress), now_ms),
            Err(error) => {
                decision_log::line("progress_unreadable")
                    .with("job", id)
                    .with("error", error)
                    .end();
            }
        }
    }
    revisions
}

fn load_cancellations(scheduler: &mut Scheduler, entries: &[Entry], now_ms: u64) {
    for entry in entries {
        if let Some((id, true)) = record::parse_job_key(&entry.key) {
            scheduler.handle_event(Event::JobCanceled(id), now_ms);
        }
    }
}
