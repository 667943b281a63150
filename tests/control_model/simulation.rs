//! Simulation of operators, watchers and lease holders over one store, and the invariants that it
//! checks.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use hemlockrock::audit::{self, trail, AuditEntry, Filter};
use hemlockrock::collections::HashMap;
use hemlockrock::declarations::feed::{CurrentDocument, Document, Head};
use hemlockrock::declarations::publish::{self, Change, PublishError, Receipt, Root, ROOT};
use hemlockrock::declarations::read;
use hemlockrock::standin::store::faults::Faults;
use hemlockrock::store::mirror::Snapshot;
use hemlockrock::store::{self, Answer, LeaseId, Operation, Priority, Revision};

use super::control_support::{declarations_variant, InMemoryStore};
use super::holder;

pub(super) const OPERATORS: usize = 3;
pub(super) const WATCHERS: usize = 2;
pub(super) const HOLDERS: usize = 3;
pub(super) const LEASE_MS: u64 = 100;

type Task<T> = Pin<Box<dyn Future<Output = T>>>;

/// Polls a task once; returns its value if it has completed.
fn poll_once<T>(task: &mut Task<T>) -> Option<T> {
    let mut context = Context::from_waker(Waker::noop());
    match task.as_mut().poll(&mut context) {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

/// Polls a task until it completes.
fn run_to_completion<T>(mut task: Task<T>) -> T {
    const MAX_POLLS: usize = 100_000;
    for _ in 0..MAX_POLLS {
        if let Some(value) = poll_once(&mut task) {
            return value;
        }
    }
    panic!("the task did not complete within {MAX_POLLS} polls");
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Polls an operator's change, and starts one if none is under way.
    RunOperator {
        operator: usize,
        variant: u64,
        expects_revision: bool,
        retries: bool,
        polls: usize,
    },
    /// A watcher lists all keys.
    List { watcher: usize },
    /// A watcher applies the changes since its last list or watch.
    Watch { watcher: usize },
    /// A watcher reads the document of its latest root record and applies it.
    ReadDocument { watcher: usize },
    /// A watcher restarts without its mirror and applies the newer of its own and the other
    /// watcher's document, as if fetched from a peer.
    Restart { watcher: usize },
    /// Polls a holder's attempt to acquire the key, and starts one if none is under way.
    RunHolder { holder: usize, polls: usize },
    /// Replaces the faults of the store.
    Faults { seed: u64, lose: f64, overload: f64, stale: f64, down: bool, delay_every: u64 },
    /// Removes all faults.
    ClearFaults,
    /// Applies the oldest delayed write.
    ApplyDelayedWrite,
    /// Compacts the store's history.
    Compact,
    /// Advances the store's clock, so that leases may expire.
    Advance { elapsed_ms: u64 },
}

#[derive(Default)]
struct Operator {
    task: Option<Task<Result<Receipt, PublishError>>>,
    change: String,
    variant: u64,
}

#[derive(Default)]
struct Watcher {
    mirror: Snapshot,
    in_force: CurrentDocument,
}

#[derive(Default)]
struct Holder {
    task: Option<Task<Option<(LeaseId, Revision)>>>,
    epochs: Vec<Revision>,
}

/// State of one run, and the sequence of accepted changes that the store held.
pub(super) struct Simulation {
    pub(super) store: Arc<InMemoryStore>,
    operators: Vec<Operator>,
    watchers: Vec<Watcher>,
    holders: Vec<Holder>,
    next_change: u64,
    /// Audit entry of each accepted change, in order of revision.
    pub(super) accepted_entries: Vec<AuditEntry>,
    /// Declarations variant of each change, by change id.
    variants: HashMap<String, u64>,
    /// Revision that operators were told for accepted changes, by change id.
    accepted_revisions: HashMap<String, u64>,
    /// Ids of the changes that operators were told were not accepted.
    rejected_changes: Vec<String>,
    /// Holder that acquired the key at each revision.
    epoch_owner: HashMap<Revision, usize>,
}

impl Simulation {
    pub(super) fn new(earlier_changes: u64) -> Self {
        let mut simulation = Self {
            store: InMemoryStore::new(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            watchers: (0..WATCHERS).map(|_| Watcher::default()).collect(),
            holders: (0..HOLDERS).map(|_| Holder::default()).collect(),
            next_change: 0,
            accepted_entries: Vec::new(),
            variants: HashMap::default(),
            accepted_revisions: HashMap::default(),
            rejected_changes: Vec::new(),
            epoch_owner: HashMap::default(),
        };
        for variant in 0..earlier_changes {
            simulation.start_change(0, variant, false, true);
            while simulation.operators[0].task.is_some() {
                simulation.poll_operator(0);
            }
        }
        simulation
    }

    fn root(&self) -> Root {
        match self.store.apply_without_faults(Operation::Get { key: ROOT.to_owned() }) {
            Answer::Entry { entry: Some(entry) } => publish::decode_root(&entry.value).unwrap(),
            _ => Root::default(),
        }
    }

    fn start_change(
        &mut self,
        operator: usize,
        variant: u64,
        expects_revision: bool,
        retries: bool,
    ) {
        self.next_change += 1;
        let mut change = Change::new(format!("operator-{operator}"), "model");
        change.id = format!("change-{}", self.next_change);
        change.max_backoff_ms = 0;
        change.timeout_ms = if retries { 60_000 } else { 0 };
        change.expected_revision = expects_revision.then(|| self.root().revision);
        self.variants.insert(change.id.clone(), variant);
        let state = &mut self.operators[operator];
        state.change = change.id.clone();
        state.variant = variant;
        let store = Arc::clone(&self.store);
        state.task = Some(Box::pin(async move {
            publish::publish_change(store.as_ref(), &declarations_variant(variant), &change).await
        }));
    }

    fn poll_operator(&mut self, operator: usize) {
        let state = &mut self.operators[operator];
        let Some(task) = &mut state.task else { return };
        let ended = poll_once(task);
        self.check_root();
        let Some(result) = ended else { return };
        let state = &mut self.operators[operator];
        state.task = None;
        match result {
            Ok(receipt) => {
                assert_eq!(receipt.change, state.change);
                self.accepted_revisions.insert(state.change.clone(), receipt.revision);
            }
            Err(PublishError::InDoubt { .. }) => {}
            Err(PublishError::Conflict(winner)) => {
                assert_ne!(
                    winner.change, state.change,
                    "an operator lost a race against its own change"
                );
                self.rejected_changes.push(state.change.clone());
            }
            Err(
                PublishError::NotAccepted(_)
                | PublishError::TrailUnreadable(_)
                | PublishError::RevisionMismatch { .. },
            ) => {
                self.rejected_changes.push(state.change.clone());
            }
            Err(error @ PublishError::Unreadable(_)) => panic!("{error}"),
        }
    }

    /// Reads the root record and checks that it is the last one or its direct successor.
    pub(super) fn check_root(&mut self) {
        let root = self.root();
        let known = self.accepted_entries.len() as u64;
        assert!(root.revision >= known, "the accepted revision decreased");
        assert!(root.revision <= known + 1, "a revision was skipped");
        if root.revision == known {
            return;
        }
        let entry = root.recent.last().unwrap().clone();
        assert_eq!(entry.revision, root.revision);
        assert_eq!(entry.after, root.digest);
        let before =
            self.accepted_entries.last().map(|entry| entry.after.clone()).unwrap_or_default();
        assert_eq!(entry.before, before);
        assert!(
            self.accepted_entries.iter().all(|earlier| earlier.change != entry.change),
            "a change was accepted twice"
        );
        assert!(root.recent.len() <= audit::RECENT_LIMIT);
        self.accepted_entries.push(entry);
    }

    fn watch(&mut self, index: usize) {
        let after = self.watchers[index].mirror.revision;
        let watch = Operation::Watch { prefix: "cell/".to_owned(), after, wait_ms: 0 };
        let store = Arc::clone(&self.store);
        let answer = run_to_completion(Box::pin(async move {
            store::Store::call(store.as_ref(), watch, Priority::Control).await
        }));
        match answer {
            Ok(Answer::Changes { revision, changes }) => {
                self.watchers[index].mirror.apply(revision, changes);
            }
            Ok(Answer::Compacted { .. }) => self.list(index),
            _ => {}
        }
    }

    fn list(&mut self, index: usize) {
        let store = Arc::clone(&self.store);
        let listed = run_to_completion(Box::pin(async move {
            store::list(store.as_ref(), "cell/", Priority::Control).await
        }));
        if let Ok((revision, entries)) = listed {
            self.watchers[index].mirror.replace(revision, entries);
        }
    }

    fn read_document(&mut self, index: usize) {
        let watcher = &self.watchers[index];
        let Some(entry) = watcher.mirror.entries.get(ROOT) else { return };
        let head = Head::from(&publish::decode_root(&entry.value).unwrap());
        let (store, old) = (Arc::clone(&self.store), watcher.in_force.document());
        let read = run_to_completion(Box::pin(async move {
            read::document(store.as_ref(), &head, &old).await
        }));
        if let Ok(document) = read {
            self.put_in_force(index, document);
        }
    }

    fn put_in_force(&mut self, index: usize, document: Document) {
        let in_force = &mut self.watchers[index].in_force;
        let before = in_force.accepted().revision;
        in_force.replace_if_newer(document).expect("a complete document");
        let accepted = in_force.accepted();
        assert!(accepted.revision >= before, "the revision of a watcher decreased");
        let entry = &self.accepted_entries[usize::try_from(accepted.revision).unwrap() - 1];
        assert_eq!(accepted.digest, entry.after);
        let expected = declarations_variant(self.variants[&entry.change]);
        assert_eq!(
            accepted.declarations, expected,
            "the watcher applied declarations other than the accepted ones"
        );
    }

    fn restart(&mut self, index: usize) {
        let peer = self.watchers[(index + 1) % WATCHERS].in_force.document();
        let own = self.watchers[index].in_force.document();
        let newest = if peer.head.revision > own.head.revision { peer } else { own };
        self.watchers[index] = Watcher::default();
        if newest.head.revision > 0 {
            self.put_in_force(index, newest.as_ref().clone());
        }
    }

    fn acquire(&mut self, holder: usize) {
        let state = &mut self.holders[holder];
        let store = Arc::clone(&self.store);
        let task = state.task.get_or_insert_with(|| Box::pin(holder::acquire(store, holder)));
        let Some(acquired) = poll_once(task) else { return };
        state.task = None;
        let Some((_, epoch)) = acquired else { return };
        let owner = *self.epoch_owner.entry(epoch).or_insert(holder);
        assert_eq!(owner, holder, "two holders acquired the key in one epoch");
        if state.epochs.last() != Some(&epoch) {
            assert!(
                state.epochs.last().is_none_or(|last| *last < epoch),
                "the epoch of a holder decreased"
            );
            state.epochs.push(epoch);
        }
    }

    pub(super) fn run(&mut self, step: Step) {
        match step {
            Step::RunOperator { operator, variant, expects_revision, retries, polls } => {
                if self.operators[operator].task.is_none() {
                    self.start_change(operator, variant, expects_revision, retries);
                }
                (0..polls).for_each(|_| self.poll_operator(operator));
            }
            Step::List { watcher } => self.list(watcher),
            Step::Watch { watcher } => self.watch(watcher),
            Step::ReadDocument { watcher } => self.read_document(watcher),
            Step::Restart { watcher } => self.restart(watcher),
            Step::RunHolder { holder, polls } => (0..polls).for_each(|_| self.acquire(holder)),
            Step::Faults { seed, lose, overload, stale, down, delay_every } => {
                let faults = Faults {
                    seed,
                    down,
                    lose_answers: lose,
                    overload,
                    stale_reads: stale,
                    ..Faults::default()
                };
                self.store.set_faults(faults, delay_every);
            }
            Step::ClearFaults => self.store.set_faults(Faults::default(), 0),
            Step::ApplyDelayedWrite => self.store.apply_delayed_write(),
            Step::Compact => self.store.compact(),
            Step::Advance { elapsed_ms } => self.store.advance(elapsed_ms),
        }
        self.check_root();
    }

    /// Completes all changes without faults, then checks the results that operators were told, the
    /// audit trail and the watchers against the changes that the store accepted.
    pub(super) fn finish_and_check(&mut self) {
        self.store.set_faults(Faults::default(), 0);
        for operator in 0..OPERATORS {
            while self.operators[operator].task.is_some() {
                self.poll_operator(operator);
            }
        }
        for (change, revision) in &self.accepted_revisions {
            let entry = &self.accepted_entries[usize::try_from(*revision).unwrap() - 1];
            assert_eq!(
                entry.change, *change,
                "the revision told to the operator holds another change"
            );
        }
        for change in &self.rejected_changes {
            let found = self.accepted_entries.iter().any(|entry| entry.change == *change);
            assert!(!found, "{change} was reported as not accepted, but it was accepted");
        }
        self.check_trail();
        self.check_retained_revisions();
        for watcher in 0..WATCHERS {
            self.list(watcher);
            self.read_document(watcher);
            let in_force = self.watchers[watcher].in_force.accepted().revision;
            assert_eq!(in_force, self.accepted_entries.len() as u64, "a watcher did not catch up");
        }
    }

    fn check_trail(&self) {
        let (store, root) = (Arc::clone(&self.store), self.root());
        let found = run_to_completion(Box::pin(async move {
            let all = Filter::default();
            trail::read(store.as_ref(), &root.recent, root.sealed.as_ref(), &all).await
        }));
        let mut found = found.expect("a complete audit trail");
        found.reverse();
        assert_eq!(audit::first_chain_break(&found), None);
        assert_eq!(
            found, self.accepted_entries,
            "the audit trail differs from the accepted changes"
        );
    }

    fn check_retained_revisions(&self) {
        let root = self.root();
        for entry in &root.recent {
            let (store, root, revision) = (Arc::clone(&self.store), root.clone(), entry.revision);
            let read = run_to_completion(Box::pin(async move {
                read::revision(store.as_ref(), &root, revision).await
            }));
            let accepted = read.expect("a retained revision can be read");
            assert_eq!(accepted.declarations, declarations_variant(self.variants[&entry.change]));
        }
    }
}
