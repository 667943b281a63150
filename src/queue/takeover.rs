//! What a new leader reads before it orders anybody.

use crate::collections::{HashMap, HashSet};
use crate::decision_log;
use crate::http::rpc;
use crate::platform::runners;
use crate::queue::model::{JobId, RunnerId};
use crate::queue::record::{self, Progress, RosterEntry};
use crate::queue::scheduler::{Event, Scheduler};
use crate::queue::shared::Shared;
use crate::queue::watch::{self, Follower, Look};
use crate::store::{self, Entry, Priority, Revision, StoreError};

/// What a takeover has read.
#[derive(Debug)]
pub struct Taken {
    /// Follows submissions and cancellations from here on.
    pub records: Follower,
    /// Follows runners from here on.
    pub runners: Follower,
    /// Keys of the runners that were listed.
    pub listed: HashSet<String>,
    /// Revision of each progress record, which the next write of it depends on.
    pub revisions: HashMap<JobId, Revision>,
    /// Whether there was a leader before.
    pub is_succession: bool,
    /// Revision of the roster, if there was one.
    pub roster: Option<Revision>,
}

/// Reads everything that former leaders have stored into `scheduler`.
///
/// # Errors
/// As the calls to the store; the takeover can be tried again on a new scheduler.
pub async fn take_over(
    shared: &Shared,
    scheduler: &mut Scheduler,
    now_ms: u64,
) -> Result<Taken, StoreError> {
    scheduler.handle_event(Event::DirectoryUpdated(shared.directory()), now_ms);
    let mut runners = Follower::new(runners::PREFIX);
    let listed = all(&mut runners, shared).await?;
    let listed = list_runners(scheduler, &listed, now_ms);
    let roster = store::get(&*shared.store, record::ROSTER, Priority::Control).await;
    watch::note(shared, "get", &roster);
    let roster = roster?;
    expect_roster(scheduler, roster.as_ref(), now_ms);
    let mut records = Follower::new(record::JOBS);
    let jobs = all(&mut records, shared).await?;
    load_jobs(scheduler, &jobs, now_ms);
    let progress = store::list(&*shared.store, record::PROGRESS, Priority::Control).await;
    watch::note(shared, "list", &progress);
    let (_, progress) = progress?;
    let revisions = load_progress(scheduler, &progress, now_ms);
    cancel_jobs(scheduler, &jobs, now_ms);
    decision_log::line("taken_over")
        .with("runners", listed.len())
        .with("records", jobs.len())
        .with("progress", progress.len())
        .end();
    Ok(Taken {
        records,
        runners,
        listed,
        revisions,
        is_succession: roster.is_some(),
        roster: roster.map(|entry| entry.modified),
    })
}

async fn all(follower: &mut Follower, shared: &Shared) -> Result<Vec<Entry>, StoreError> {
    match follower.look(shared, 0).await? {
        Look::All(entries) => Ok(entries),
        Look::Changes(_) => Ok(Vec::new()),
    }
}

fn list_runners(scheduler: &mut Scheduler, entries: &[Entry], now_ms: u64) -> HashSet<String> {
    let mut listed = HashSet::default();
    for entry in entries {
        if let Some(event) = watch::runner_event(entry) {
            listed.insert(entry.key.clone());
            scheduler.handle_event(event, now_ms);
        }
    }
    listed
}

fn expect_roster(scheduler: &mut Scheduler, roster: Option<&Entry>, now_ms: u64) {
    let Some(entry) = roster else { return };
    match rpc::decode::<Vec<RosterEntry>>(&entry.value) {
        Ok(roster) => {
            for RosterEntry { id, address } in roster {
                scheduler
                    .handle_event(Event::RosterEntryLoaded(RunnerId::from(id), address), now_ms);
            }
        }
        Err(error) => decision_log::line("roster_unreadable").with("error", error).end(),
    }
}

fn load_jobs(scheduler: &mut Scheduler, entries: &[Entry], now_ms: u64) {
    for entry in entries {
        let Some((id, false)) = record::parse_job_key(&entry.key) else { continue };
        if let Some(event) = watch::submission_event(id, entry) {
            scheduler.handle_event(event, now_ms);
        }
    }
}

fn load_progress(
    scheduler: &mut Scheduler,
    entries: &[Entry],
    now_ms: u64,
) -> HashMap<JobId, Revision> {
    let mut revisions = HashMap::default();
    for entry in entries {
        let Some((id, revision)) = watch::progress_of(entry) else { continue };
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

fn cancel_jobs(scheduler: &mut Scheduler, entries: &[Entry], now_ms: u64) {
    for entry in entries {
        if let Some((id, true)) = record::parse_job_key(&entry.key) {
            scheduler.handle_event(Event::JobCanceled(id), now_ms);
        }
    }
}
