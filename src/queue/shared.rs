//! What the parts of one host share: settings, connections, and the newest beliefs.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock;
use crate::collections::{self, HashMap};
use crate::configs::queue::QueueConfig;
use crate::decision_log;
use crate::http::client::Pool;
use crate::queue::control::Input;
use crate::queue::host_info::HostInfo;
use crate::queue::leader_preference::LeaderPreference;
use crate::queue::metrics::QueueMetrics;
use crate::queue::model::{JobId, JobState, QueueDirectory};
use crate::queue::record::LeaderRecord;
use crate::store::{Revision, Store, StoreError};

/// Final states that a host remembers; at the largest site 38,000 jobs end in a day.
const FINAL_STATES: usize = 40_000;

/// Hosts that are remembered; an errand tries a few of them.
const KNOWN_HOSTS: usize = 8;

/// Everything that the parts of one host share.
#[derive(Debug)]
pub struct Shared {
    /// Place and addresses of the host.
    pub site: HostInfo,
    /// Settings.
    pub config: QueueConfig,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Connections to runners, hosts and advice.
    pub pool: Pool,
    /// Counters and histograms.
    pub metrics: QueueMetrics,
    directory: Mutex<Arc<QueueDirectory>>,
    leader: Mutex<Option<Leader>>,
    control: Mutex<Option<async_channel::Sender<Input>>>,
    hosts: Mutex<Vec<Arc<str>>>,
    standing: Mutex<LeaderPreference>,
    finals: Mutex<HashMap<JobId, JobState>>,
    store_answered_ms: AtomicU64,
    is_store_lost: AtomicBool,
    is_draining: AtomicBool,
}

/// Who leads, as the store says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The record of the leader.
    pub record: LeaderRecord,
    /// Revision at which the record was created: the fencing token of the term.
    pub token: Revision,
}

impl Shared {
    /// A host that knows nothing yet.
    pub fn new(
        site: HostInfo,
        config: QueueConfig,
        store: Arc<dyn Store>,
        pool: Pool,
        metrics: QueueMetrics,
    ) -> Self {
        let standing = LeaderPreference::new(site.cpu_millis);
        Self {
            site,
            config,
            store,
            pool,
            metrics,
            directory: Mutex::default(),
            leader: Mutex::default(),
            control: Mutex::default(),
            hosts: Mutex::default(),
            standing: Mutex::new(standing),
            finals: Mutex::default(),
            store_answered_ms: AtomicU64::new(0),
            is_store_lost: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
        }
    }

    /// The operator's declarations, as far as they are known here.
    pub fn directory(&self) -> Arc<QueueDirectory> {
        Arc::clone(&lock(&self.directory))
    }

    /// Takes over newer declarations; older ones are ignored. Returns whether they were newer.
    pub fn declare(&self, directory: QueueDirectory) -> bool {
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
        self.tell(Input::Declared(self.directory()));
        true
    }

    /// The leader, as far as it is known here.
    pub fn leader(&self) -> Option<Leader> {
        lock(&self.leader).clone()
    }

    /// Notes who leads; returns whether that is news.
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
        self.tell(Input::LeaderChanged);
        true
    }

    /// Whether the record names this host, in this process or an earlier one.
    pub fn is_own(&self, record: &LeaderRecord) -> bool {
        record.host == self.site.host && record.address == self.site.peer_address
    }

    /// Other hosts that are alive as far as the leader knows; the leader comes first.
    pub fn other_hosts(&self) -> Vec<Arc<str>> {
        let leader = self.leader().map(|leader| Arc::from(leader.record.address.as_str()));
        let mut hosts: Vec<Arc<str>> = leader.into_iter().collect();
        hosts.extend(lock(&self.hosts).iter().cloned());
        hosts.retain(|address| **address != *self.site.peer_address);
        let mut seen = collections::HashSet::default();
        hosts.retain(|address| seen.insert(Arc::clone(address)));
        hosts
    }

    /// Takes over which hosts are alive.
    pub fn set_hosts(&self, hosts: Vec<Arc<str>>) {
        *lock(&self.hosts) = hosts;
    }

    /// Notes that a host is alive; returns all that have said so.
    pub fn note_host(&self, address: Arc<str>) -> Vec<Arc<str>> {
        let mut hosts = lock(&self.hosts);
        hosts.retain(|known| *known != address);
        // The newest first: hosts that are gone fall off the end.
        hosts.insert(0, address);
        hosts.truncate(KNOWN_HOSTS);
        hosts.clone()
    }

    /// Takes in the processor of a host that could lead, in thousandths of a core; returns that of
    /// the largest one.
    pub fn note_size(&self, cpu_millis: u64) -> u64 {
        lock(&self.standing).record_host(cpu_millis, clock::now_ms())
    }

    /// How this host stands among the others.
    pub fn standing(&self) -> LeaderPreference {
        *lock(&self.standing)
    }

    /// Connects the control of a term, or disconnects it.
    pub fn set_control(&self, control: Option<async_channel::Sender<Input>>) {
        *lock(&self.control) = control;
    }

    /// The control of this host's term, if it leads.
    pub fn control(&self) -> Option<async_channel::Sender<Input>> {
        lock(&self.control).clone()
    }

    /// Tells the control something, if this host leads.
    pub fn tell(&self, input: Input) {
        if let Some(control) = self.control() {
            // A closed channel means that the term has ended.
            let _ = control.try_send(input);
        }
    }

    /// Remembers a final state.
    pub fn note_final(&self, job: JobId, state: JobState) {
        let mut finals = lock(&self.finals);
        if finals.len() >= FINAL_STATES {
            finals.clear();
        }
        finals.insert(job, state);
    }

    /// A final state that this host has seen.
    pub fn final_state(&self, job: JobId) -> Option<JobState> {
        lock(&self.finals).get(&job).copied()
    }

    /// Notes how a call to the store ended.
    pub fn note_store<T>(&self, result: &Result<T, StoreError>) {
        let is_answer = !matches!(result, Err(StoreError::Away(_) | StoreError::Lost(_)));
        if is_answer {
            self.store_answered_ms.store(clock::now_ms(), Ordering::Release);
        }
        if self.is_store_lost.swap(!is_answer, Ordering::AcqRel) == is_answer {
            let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            let event = if is_answer { "store_regained" } else { "store_lost" };
            decision_log::line(event).with("error", error).end();
        }
    }

    /// Whether the last call to the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost.load(Ordering::Acquire)
    }

    /// Whether the store has failed for so long that a call is not worth its caller's time.
    pub fn is_store_away(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
        self.is_store_lost() && clock::now_ms() > answered_ms + self.config.store_away_ms
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        let answered_ms = self.store_answered_ms.load(Ordering::Acquire);
        let is_fresh = clock::now_ms() < answered_ms + self.config.ready_without_store_ms;
        !self.is_draining() && is_fresh && self.directory().version > 0
    }

    /// Asks the parts of the host to come to an end.
    pub fn begin_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.tell(Input::Resign);
    }

    /// Whether the host is coming to an end.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
