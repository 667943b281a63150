//! Operators, watchers and holders over one store, and the oracle that watches them.

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

use super::control_support::{variant, ModelStore};
use super::holder;

pub(super) const OPERATORS: usize = 3;
pub(super) const WATCHERS: usize = 2;
pub(super) const HOLDERS: usize = 3;
pub(super) const LEASE_MS: u64 = 100;

type Task<T> = Pin<Box<dyn Future<Output = T>>>;

/// Gives a task one turn.
fn turn<T>(task: &mut Task<T>) -> Option<T> {
    let mut context = Context::from_waker(Waker::noop());
    match task.as_mut().poll(&mut context) {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

/// Runs a task to its end.
fn finish<T>(mut task: Task<T>) -> T {
    const TURNS: usize = 100_000;
    for _ in 0..TURNS {
        if let Some(value) = turn(&mut task) {
            return value;
        }
    }
    panic!("the task does not end");
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// An operator begins a change, or goes on with it by some turns.
    Operate {
        operator: usize,
        variant: u64,
        expects: bool,
        patient: bool,
        turns: usize,
    },
    /// A watcher lists, watches, or takes the newest document.
    List {
        watcher: usize,
    },
    Watch {
        watcher: usize,
    },
    Take {
        watcher: usize,
    },
    /// A watcher starts again and takes what the other one has, as from a peer.
    Restart {
        watcher: usize,
    },
    /// A holder goes on to acquire the lease by some turns.
    Acquire {
        holder: usize,
        turns: usize,
    },
    /// Faults of the store from now on.
    Faults {
        seed: u64,
        lose: f64,
        overload: f64,
        stale: f64,
        down: bool,
        late_every: u64,
    },
    Heal,
    ApplyLate,
    Compact,
    Advance {
        elapsed_ms: u64,
    },
}

#[derive(Default)]
struct Operator {
    task: Option<Task<Result<Receipt, PublishError>>>,
    change: String,
    variant: u64,
}

#[derive(Default)]
struct Watcher {
    copy: Snapshot,
    in_force: CurrentDocument,
}

#[derive(Default)]
struct Holder {
    task: Option<Task<Option<(LeaseId, Revision)>>>,
    epochs: Vec<Revision>,
}

/// Everything in one run, and what the store went through.
pub(super) struct World {
    pub(super) store: Arc<ModelStore>,
    operators: Vec<Operator>,
    watchers: Vec<Watcher>,
    holders: Vec<Holder>,
    next_change: u64,
    pub(super) roots: Vec<AuditEntry>,
    /// Variant of each change, and for those that ended what its operator was told.
    variants: HashMap<String, u64>,
    accepted: HashMap<String, u64>,
    refused: Vec<String>,
    epoch_owner: HashMap<Revision, usize>,
}

impl World {
    pub(super) fn new(earlier_changes: u64) -> Self {
        let mut world = Self {
            store: ModelStore::new(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            watchers: (0..WATCHERS).map(|_| Watcher::default()).collect(),
            holders: (0..HOLDERS).map(|_| Holder::default()).collect(),
            next_change: 0,
            roots: Vec::new(),
            variants: HashMap::default(),
            accepted: HashMap::default(),
            refused: Vec::new(),
            epoch_owner: HashMap::default(),
        };
        for number in 0..earlier_changes {
            world.begin(0, number, false, true);
            while world.operators[0].task.is_some() {
                world.go_on(0);
            }
        }
        world
    }

    fn root(&self) -> Root {
        match self.store.direct(Operation::Get { key: ROOT.to_owned() }) {
            Answer::Entry { entry: Some(entry) } => publish::decode_root(&entry.value).unwrap(),
            _ => Root::default(),
        }
    }

    fn begin(&mut self, operator: usize, number: u64, expects: bool, patient: bool) {
        self.next_change += 1;
        let mut change = Change::new(format!("operator-{operator}"), "model");
        change.id = format!("change-{}", self.next_change);
        change.max_backoff_ms = 0;
        change.timeout_ms = if patient { 60_000 } else { 0 };
        change.expected_revision = expects.then(|| self.root().revision);
        self.variants.insert(change.id.clone(), number);
        let slot = &mut self.operators[operator];
        slot.change = change.id.clone();
        slot.variant = number;
        let store = Arc::clone(&self.store);
        slot.task = Some(Box::pin(async move {
            publish::publish_change(store.as_ref(), &variant(number), &change).await
        }));
    }

    fn go_on(&mut self, operator: usize) {
        let slot = &mut self.operators[operator];
        let Some(task) = &mut slot.task else { return };
        let ended = turn(task);
        self.observe();
        let Some(result) = ended else { return };
        let slot = &mut self.operators[operator];
        slot.task = None;
        match result {
            Ok(receipt) => {
                assert_eq!(receipt.change, slot.change);
                self.accepted.insert(slot.change.clone(), receipt.revision);
            }
            Err(PublishError::InDoubt { .. }) => {}
            Err(PublishError::Conflict(winner)) => {
                assert_ne!(winner.change, slot.change, "an operator lost against itself");
                self.refused.push(slot.change.clone());
            }
            Err(
                PublishError::NotAccepted(_)
                | PublishError::TrailUnreadable(_)
                | PublishError::RevisionMismatch { .. },
            ) => {
                self.refused.push(slot.change.clone());
            }
            Err(error @ PublishError::Unreadable(_)) => panic!("{error}"),
        }
    }

    /// Notes the root that the store has and checks that it follows on the one before.
    pub(super) fn observe(&mut self) {
        let root = self.root();
        let known = self.roots.len() as u64;
        assert!(root.revision >= known, "the accepted revision went back");
        assert!(root.revision <= known + 1, "a revision was skipped");
        if root.revision == known {
            return;
        }
        let entry = root.recent.last().unwrap().clone();
        assert_eq!(entry.revision, root.revision);
        assert_eq!(entry.after, root.digest);
        let before = self.roots.last().map(|entry| entry.after.clone()).unwrap_or_default();
        assert_eq!(entry.before, before);
        assert!(
            self.roots.iter().all(|earlier| earlier.change != entry.change),
            "a change was accepted twice"
        );
        assert!(root.recent.len() <= audit::RECENT_LIMIT);
        self.roots.push(entry);
    }

    fn watch(&mut self, index: usize) {
        let after = self.watchers[index].copy.revision;
        let watch = Operation::Watch { prefix: "cell/".to_owned(), after, wait_ms: 0 };
        let store = Arc::clone(&self.store);
        let answer = finish(Box::pin(async move {
            store::Store::call(store.as_ref(), watch, Priority::Control).await
        }));
        match answer {
            Ok(Answer::Changes { revision, changes }) => {
                self.watchers[index].copy.apply(revision, changes);
            }
            Ok(Answer::Compacted { .. }) => self.list(index),
            _ => {}
        }
    }

    fn list(&mut self, index: usize) {
        let store = Arc::clone(&self.store);
        let listed = finish(Box::pin(async move {
            store::list(store.as_ref(), "cell/", Priority::Control).await
        }));
        if let Ok((revision, entries)) = listed {
            self.watchers[index].copy.replace(revision, entries);
        }
    }

    fn take(&mut self, index: usize) {
        let watcher = &self.watchers[index];
        let Some(entry) = watcher.copy.entries.get(ROOT) else { return };
        let head = Head::from(&publish::decode_root(&entry.value).unwrap());
        let (store, old) = (Arc::clone(&self.store), watcher.in_force.document());
        let read =
            finish(Box::pin(async move { read::document(store.as_ref(), &head, &old).await }));
        if let Ok(document) = read {
            self.put_in_force(index, document);
        }
    }

    fn put_in_force(&mut self, index: usize, document: Document) {
        let in_force = &mut self.watchers[index].in_force;
        let before = in_force.accepted().revision;
        in_force.replace_if_newer(document).expect("a document that was read whole");
        let accepted = in_force.accepted();
        assert!(accepted.revision >= before, "a watcher went back");
        let entry = &self.roots[usize::try_from(accepted.revision).unwrap() - 1];
        assert_eq!(accepted.digest, entry.after);
        let expected = variant(self.variants[&entry.change]);
        assert_eq!(accepted.declarations, expected, "other declarations than were accepted");
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
        let slot = &mut self.holders[holder];
        let store = Arc::clone(&self.store);
        let task = slot.task.get_or_insert_with(|| Box::pin(holder::acquire(store, holder)));
        let Some(acquired) = turn(task) else { return };
        slot.task = None;
        let Some((_, epoch)) = acquired else { return };
        let owner = *self.epoch_owner.entry(epoch).or_insert(holder);
        assert_eq!(owner, holder, "two holders of one epoch");
        if slot.epochs.last() != Some(&epoch) {
            assert!(slot.epochs.last().is_none_or(|last| *last < epoch), "an epoch went back");
            slot.epochs.push(epoch);
        }
    }

    pub(super) fn run(&mut self, step: Step) {
        match step {
            Step::Operate { operator, variant, expects, patient, turns } => {
                if self.operators[operator].task.is_none() {
                    self.begin(operator, variant, expects, patient);
                }
                (0..turns).for_each(|_| self.go_on(operator));
            }
            Step::List { watcher } => self.list(watcher),
            Step::Watch { watcher } => self.watch(watcher),
            Step::Take { watcher } => self.take(watcher),
            Step::Restart { watcher } => self.restart(watcher),
            Step::Acquire { holder, turns } => (0..turns).for_each(|_| self.acquire(holder)),
            Step::Faults { seed, lose, overload, stale, down, late_every } => {
                let faults = Faults {
                    seed,
                    down,
                    lose_answers: lose,
                    overload,
                    stale_reads: stale,
                    ..Faults::default()
                };
                self.store.set_faults(faults, late_every);
            }
            Step::Heal => self.store.set_faults(Faults::default(), 0),
            Step::ApplyLate => self.store.apply_late(),
            Step::Compact => self.store.compact(),
            Step::Advance { elapsed_ms } => self.store.advance(elapsed_ms),
        }
        self.observe();
    }

    /// Lets everything end without faults, then compares with what the store went through.
    pub(super) fn settle(&mut self) {
        self.store.set_faults(Faults::default(), 0);
        for operator in 0..OPERATORS {
            while self.operators[operator].task.is_some() {
                self.go_on(operator);
            }
        }
        for (change, revision) in &self.accepted {
            let entry = &self.roots[usize::try_from(*revision).unwrap() - 1];
            assert_eq!(entry.change, *change, "an accepted change is not in force");
        }
        for change in &self.refused {
            let found = self.roots.iter().any(|entry| entry.change == *change);
            assert!(!found, "{change} was told as not accepted, but it was");
        }
        self.check_trail();
        self.check_kept_revisions();
        for watcher in 0..WATCHERS {
            self.list(watcher);
            self.take(watcher);
            let in_force = self.watchers[watcher].in_force.accepted().revision;
            assert_eq!(in_force, self.roots.len() as u64, "a watcher does not catch up");
        }
    }

    fn check_trail(&self) {
        let (store, root) = (Arc::clone(&self.store), self.root());
        let found = finish(Box::pin(async move {
            let all = Filter::default();
            trail::read(store.as_ref(), &root.recent, root.sealed.as_ref(), &all).await
        }));
        let mut found = found.expect("a whole trail");
        found.reverse();
        assert_eq!(audit::first_chain_break(&found), None);
        assert_eq!(found, self.roots, "the trail is not what the store went through");
    }

    fn check_kept_revisions(&self) {
        let root = self.root();
        for entry in &root.recent {
            let (store, root, revision) = (Arc::clone(&self.store), root.clone(), entry.revision);
            let read =
                finish(Box::pin(
                    async move { read::revision(store.as_ref(), &root, revision).await },
                ));
            let accepted = read.expect("a kept revision can be read");
            assert_eq!(accepted.declarations, variant(self.variants[&entry.change]));
        }
    }
}
