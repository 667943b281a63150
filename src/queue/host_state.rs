//! State that the tasks of one host process share: settings, connections, and the latest known
//! declarations, leader and peers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock;
use crate::collections::{self, HashMap};
use crate::configs::queue::QueueConfig;
use crate::decision_log;
use crate::http::client::Pool;
use crate::queue::authentication::RefusalLog;
use crate::queue::control::ControlInput;
use crate::queue::host_info::HostInfo;
use crate::queue::leader_preference::LeaderPreference;
use crate::queue::metrics::QueueMetrics;
use crate::queue::model::{JobId, JobState, QueueDirectory};
use crate::queue::record::LeaderRecord;
use crate::queue::workspaces::JobOwner;
use crate::store::{Revision, Store, StoreError};

/// Capacity of the cache of final job states; at the largest site 38,000 jobs end in a day.
const MAX_FINAL_STATES: usize = 40_000;

/// Number of other hosts to remember; relayed operations try a few of them.
const MAX_KNOWN_HOSTS: usize = 8;

/// State that the tasks of one host process share.
#[derive(Debug)]
pub struct HostState {
    /// Name, zone, addresses and limits of this host.
    pub host_info: HostInfo,
    /// Settings of the queues and of the leader.
    pub config: QueueConfig,
    /// Client of the platform's key-value store.
    pub store: Arc<dyn Store>,
    /// HTTP connections to runners, other hosts and the advice service.
    pub pool: Pool,
    /// Prometheus metrics of this host.
    pub metrics: QueueMetrics,
    /// Log of requests that were refused because of their API key.
    pub refusal_log: RefusalLog,
    directory: Mutex<Arc<QueueDirectory>>,
    leader: Mutex<Option<Leader>>,
    /// Nonce of the term that this host leads or campaigns for.
    own_term: Mutex<Option<u64>>,
    /// When this host last sent an order to a runner, in milliseconds of [`clock::now_ms`]; 0 for
    /// never, since that clock starts with the process.
    ordered_ms: AtomicU64,
    /// Input of the control loop while this host leads.
    control_loop: Mutex<Option<async_channel::Sender<ControlInput>>>,
    /// Peer addresses of live hosts, the most recent first.
    hosts: Mutex<Vec<Arc<str>>>,
    leader_preference: Mutex<LeaderPreference>,
    final_states: Mutex<HashMap<JobId, FinalState>>,
    /// When the store last answered, in milliseconds of [`clock::now_ms`]; 0 for never.
    store_answered_ms: AtomicU64,
    /// Whether the last call to the store got no answer.
    is_store_lost: AtomicBool,
    /// Whether the declarations may have changed while the store did not answer for longer than API
    /// keys stay valid without it.
    must_read_declarations: AtomicBool,
    is_draining: AtomicBool,
}

/// Final state of a job.
#[derive(Clone, Debug)]
struct FinalState {
    state: JobState,
    /// Whom the job belongs to; `None` if this host has not learned that.
    owner: Option<JobOwner>,
}

/// The current leader according to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Value of the leader key.
    pub record: LeaderRecord,
    /// Fencing token of the term: the revision at which the leader key was created.
    pub token: Revision,
}

impl HostState {
    /// Creates the state of a host that has read nothing from the store yet.
    pub fn new(
        host_info: HostInfo,
        config: QueueConfig,
        store: Arc<dyn Store>,
        pool: Pool,
        metrics: QueueMetrics,
    ) -> Self {
        let leader_preference = LeaderPreference::new(host_info.cpu_millis);
        Self {
            host_info,
            config,
            store,
            pool,
            metrics,
            refusal_log: RefusalLog::default(),
            directory: Mutex::default(),
            leader: Mutex::default(),
            own_term: Mutex::default(),
            ordered_ms: AtomicU64::new(0),
            control_loop: Mutex::default(),
            hosts: Mutex::default(),
            leader_preference: Mutex::new(leader_preference),
            final_states: Mutex::default(),
            store_answered_ms: AtomicU64::new(0),
            is_store_lost: AtomicBool::new(false),
            must_read_declarations: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Latest known declarations of the operator; version 0 if none has been read yet.
    pub fn directory(&self) -> Arc<QueueDirectory> {
        Arc::clone(&lock(&self.directory))
    }

    /// Applies declarations if they are newer than the known ones; returns whether they were.
    pub fn apply_declarations(&self, directory: QueueDirectory) -> bool {
        let mut known = lock(&self.directory);
        if directory.version <= known.version {
            return false;
        }
        decision_log::line("declared")
            .with("version", directory.version)
            .with("former", known.version)
            .with("queues", directory.queues.len())
            .end();
        *known = Arc::new(directory);
        drop(known);
        self.send_to_control_loop(ControlInput::Declared(self.directory()));
        true
    }

    /// Last known leader.
    pub fn leader(&self) -> Option<Leader> {
        lock(&self.leader).clone()
    }

    /// Records who leads; returns whether that has changed.
    pub fn set_leader(&self, leader: Option<Leader>) -> bool {
        let mut known = lock(&self.leader);
        if *known == leader {
            return false;
        }
        decision_log::line("leader_known")
            .with("leader", leader.as_ref().map_or("none", |leader| &leader.record.host))
            .with("token", leader.as_ref().map_or(0, |leader| leader.token.0))
            .end();
        *known = leader;
        drop(known);
        self.send_to_control_loop(ControlInput::LeaderChanged);
        true
    }

    /// Whether the record was written by this host, in this process or an earlier one.
    pub fn is_this_host(&self, record: &LeaderRecord) -> bool {
        record.host == self.host_info.host && record.address == self.host_info.peer_address
    }

    /// Records that this host leads, or campaigns for, the term with this nonce.
    pub fn begin_term(&self, nonce: u64) {
        *lock(&self.own_term) = Some(nonce);
    }

    /// Records that this host neither leads nor campaigns any more.
    pub fn end_term(&self) {
        *lock(&self.own_term) = None;
    }

    /// Records that this host sends an order to a runner now.
    pub fn record_order(&self) {
        self.ordered_ms.store(clock::now_ms(), Ordering::Release);
    }

    /// Latest time at which this host may have sent an order in a term that has ended, in
    /// milliseconds of [`clock::now_ms`]; `None` while it may send orders in that term.
    ///
    /// A term of an earlier process of the host ended before this one started.
    pub fn ordered_until_ms(&self, nonce: u64) -> Option<u64> {
        let is_over = *lock(&self.own_term) != Some(nonce);
        is_over.then(|| self.ordered_ms.load(Ordering::Acquire))
    }

    /// Peer addresses of other live hosts according to the leader; the leader comes first.
    pub fn other_hosts(&self) -> Vec<Arc<str>> {
        let leader = self.leader().map(|leader| Arc::from(leader.record.address.as_str()));
        let mut hosts: Vec<Arc<str>> = leader.into_iter().collect();
        hosts.extend(lock(&self.hosts).iter().cloned());
        hosts.retain(|address| **address != *self.host_info.peer_address);
        let mut seen = collections::HashSet::default();
        hosts.retain(|address| seen.insert(Arc::clone(address)));
        hosts
    }

    /// Replaces the list of live hosts.
    pub fn set_hosts(&self, hosts: Vec<Arc<str>>) {
        *lock(&self.hosts) = hosts;
    }

    /// Records that a host is alive; returns the most recent hosts for which this was recorded.
    pub fn record_host(&self, address: Arc<str>) -> Vec<Arc<str>> {
        let mut hosts = lock(&self.hosts);
        // Most recent first, so that truncation drops the hosts whose last heartbeat is oldest.
        hosts.retain(|known| *known != address);
        hosts.insert(0, address);
        hosts.truncate(MAX_KNOWN_HOSTS);
        hosts.clone()
    }

    /// Records the CPU capacity of a host that could lead, in thousandths of a core; returns the
    /// capacity of the largest such host.
    pub fn record_host_capacity(&self, cpu_millis: u64) -> u64 {
        lock(&self.leader_preference).record_host(cpu_millis, clock::now_ms())
    }

    /// How the capacity of this host compares with that of the other hosts.
    pub fn leader_preference(&self) -> LeaderPreference {
        *lock(&self.leader_preference)
    }

    /// Sets the input of the control loop at the start of a term; `None` at its end.
    pub fn set_control_loop(&self, inputs: Option<async_channel::Sender<ControlInput>>) {
        *lock(&self.control_loop) = inputs;
    }

    /// Input of the control loop; `None` unless this host leads.
    pub fn control_loop(&self) -> Option<async_channel::Sender<ControlInput>> {
        lock(&self.control_loop).clone()
    }

    /// Sends an input to the control loop if this host leads, otherwise does nothing.
    pub fn send_to_control_loop(&self, input: ControlInput) {
        if let Some(inputs) = self.control_loop() {
            // A closed channel means that the term has ended.
            let _ = inputs.try_send(input);
        }
    }

    /// Caches the final state of a job and, if that is known, whom the job belongs to.
    pub fn record_final_state(&self, job: JobId, state: JobState, owner: Option<JobOwner>) {
        let mut final_states = lock(&self.final_states);
        if final_states.len() >= MAX_FINAL_STATES {
            final_states.clear();
        }
        final_states.insert(job, FinalState { state, owner });
    }

    /// Final state of a job if it is cached and, unless `owner` is `None`, known to belong to that
    /// owner.
    pub fn final_state(&self, job: JobId, owner: Option<&JobOwner>) -> Option<JobState> {
        let final_states = lock(&self.final_states);
        let known = final_states.get(&job)?;
        (owner.is_none() || known.owner.as_ref() == owner).then_some(known.state)
    }

    /// Records whether the store answered a call, and logs when that changes.
    pub fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        let is_answer =
            !matches!(result, Err(StoreError::Unavailable(_) | StoreError::Indeterminate(_)));
        if is_answer {
            let now_ms = clock::now_ms();
            let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
            if self.is_key_validity_over(answered_ms, now_ms) {
                self.must_read_declarations.store(true, Ordering::Release);
            }
            self.store_answered_ms.store(now_ms, Ordering::Release);
        }
        if self.is_store_lost.swap(!is_answer, Ordering::AcqRel) == is_answer {
            let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            let event = if is_answer { "store_regained" } else { "store_lost" };
            decision_log::line(event).with("error", error).end();
        }
    }

    /// Records that all changes of the declarations have been read and applied.
    pub fn record_declarations_read(&self) {
        self.must_read_declarations.store(false, Ordering::Release);
    }

    /// Whether the API keys in the declarations can be relied on: with a strict limit, the store has
    /// answered within it, and the declarations were read after a longer outage.
    pub fn are_keys_current(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
        !self.must_read_declarations.load(Ordering::Acquire)
            && !self.is_key_validity_over(answered_ms, clock::now_ms())
    }

    fn is_key_validity_over(&self, answered_ms: u64, now_ms: u64) -> bool {
        self.host_info.key_validity_ms.is_some_and(|limit_ms| now_ms > answered_ms + limit_ms)
    }

    /// Whether the last call to the store got no answer.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost.load(Ordering::Acquire)
    }

    /// Whether the store has not answered for `store_away_ms`, so that calls to it should fail
    /// fast.
    pub fn is_store_away(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
        self.is_store_lost() && clock::now_ms() > answered_ms + self.config.store_away_ms
    }

    /// Whether the host is ready for callers: it is not draining, knows declarations, and the store
    /// has answered within `ready_without_store_ms`.
    pub fn is_ready(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
        let is_fresh = clock::now_ms() < answered_ms + self.config.ready_without_store_ms;
        !self.is_draining() && is_fresh && self.directory().version > 0
    }

    /// Starts the shutdown of the host: it is no longer ready and resigns as the leader.
    pub fn begin_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.send_to_control_loop(ControlInput::Resign);
    }

    /// Whether the shutdown of the host has started.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }
}

/// Locks a mutex; one that was poisoned by a panic is used as it is.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
