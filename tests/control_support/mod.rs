//! Shared support for the `control` tests and benchmark, which cover configuration and membership
//! of the cell.
#![allow(unreachable_pub, reason = "each test binary has its own copy")]
#![allow(dead_code, reason = "each test binary uses its own part")]
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

pub mod daemon;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use hemlockrock::declarations::{
    Declarations, TeamDeclaration, WorkerDeclaration, ZoneDeclaration,
};
use hemlockrock::standin::store::faults::{FaultAction, Faults, Injector};
use hemlockrock::standin::store::State;
use hemlockrock::store::{Answer, BoxFuture, Operation, Priority, Store, StoreError};

/// Declarations with `count` workers in four zones.
pub fn declarations_with_workers(count: usize) -> Declarations {
    let zone =
        |number| ZoneDeclaration { name: format!("mid-{number}"), region: "midlands".to_owned() };
    let worker = |number: usize| WorkerDeclaration {
        name: format!("worker-{number:05}"),
        zone: format!("mid-{}", number % 4),
        rack: format!("rack-{}", number / 6),
        address: format!("10.{}.{}.{}:9000", number / 60_000, number / 250 % 240, number % 250),
        cpu_millis: 32_000,
        memory_bytes: 64_000_000_000,
        accelerators: 0,
        drain: false,
        labels: [("arch".to_owned(), "x86".to_owned()), ("disk".to_owned(), "ssd".to_owned())]
            .into_iter()
            .collect(),
    };
    Declarations {
        zones: (0..4).map(zone).collect(),
        workers: (0..count).map(worker).collect(),
        ..Declarations::default()
    }
}

/// Small declarations whose team quota encodes `variant`, so that each variant has its own digest.
pub fn declarations_variant(variant: u64) -> Declarations {
    let mut declarations = declarations_with_workers(2);
    declarations.teams.push(TeamDeclaration {
        name: "shops".to_owned(),
        cpu_millis: 1 + variant,
        memory_bytes: 1_000,
        accelerators: 0,
    });
    declarations
}

/// An in-memory store with injected faults and a manual clock. Each call yields to the executor
/// once before it executes, so that polls interleave the calls of several tasks.
#[derive(Debug)]
pub struct InMemoryStore {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: State,
    stale_state: State,
    injector: Injector,
    now_ms: u64,
    delayed_writes: VecDeque<Operation>,
    delay_every: u64,
    calls: u64,
}

impl InMemoryStore {
    pub fn new() -> Arc<Self> {
        let inner = Inner {
            state: State::new(),
            stale_state: State::new(),
            injector: Injector::new(Faults::default()),
            now_ms: 0,
            delayed_writes: VecDeque::new(),
            delay_every: 0,
            calls: 0,
        };
        Arc::new(Self { inner: Mutex::new(inner) })
    }

    /// Replaces the faults. Stale reads see the state at this time. Of the writes whose answer is
    /// lost, those at every `delay_every`th call take effect only in
    /// [`Self::apply_delayed_write`]; 0 for none.
    pub fn set_faults(&self, faults: Faults, delay_every: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner.stale_state = inner.state.clone();
        inner.injector = Injector::new(faults);
        inner.delay_every = delay_every;
    }

    /// Applies the oldest delayed write.
    pub fn apply_delayed_write(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now_ms = inner.now_ms;
        if let Some(operation) = inner.delayed_writes.pop_front() {
            inner.state.apply(operation, now_ms);
        }
    }

    /// Advances the clock and expires leases.
    pub fn advance(&self, elapsed_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner.now_ms += elapsed_ms;
        let now_ms = inner.now_ms;
        inner.state.expire(now_ms);
    }

    /// Compacts the history, so that watches from older revisions fail.
    pub fn compact(&self) {
        self.inner.lock().unwrap().state.compact();
    }

    /// Applies an operation at once, without faults.
    pub fn apply_without_faults(&self, operation: Operation) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        let now_ms = inner.now_ms;
        inner.state.apply(operation, now_ms)
    }

    fn execute(&self, operation: Operation) -> Result<Answer, StoreError> {
        let mut inner = self.inner.lock().unwrap();
        inner.calls += 1;
        let now_ms = inner.now_ms;
        let lost = || StoreError::Indeterminate("model".to_owned());
        let answer = match inner.injector.next_action(&operation) {
            FaultAction::Refuse => return Err(StoreError::Unavailable("model".to_owned())),
            FaultAction::Silence => return Err(lost()),
            FaultAction::Overload => return Err(StoreError::Overloaded { retry_after_ms: 1 }),
            FaultAction::Stale => inner.stale_state.apply(operation, now_ms),
            FaultAction::LoseAnswer => {
                let is_delayed = inner.delay_every > 0 && inner.calls % inner.delay_every == 0;
                if is_delayed && operation.is_write() {
                    inner.delayed_writes.push_back(operation);
                } else {
                    inner.state.apply(operation, now_ms);
                }
                return Err(lost());
            }
            FaultAction::Answer => inner.state.apply(operation, now_ms),
        };
        match answer {
            Answer::LeaseGone | Answer::TooLarge | Answer::Overloaded { .. } => {
                Err(answer.into_error())
            }
            answer => Ok(answer),
        }
    }
}

impl Store for InMemoryStore {
    fn call(
        &self,
        operation: Operation,
        _priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(async move {
            futures_lite::future::yield_now().await;
            self.execute(operation)
        })
    }
}
