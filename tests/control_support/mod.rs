//! What the tests of the control of the cell share.
#![allow(unreachable_pub, reason = "each test binary has its own copy")]
#![allow(dead_code, reason = "each test binary uses its own part")]
#![allow(clippy::unwrap_used, reason = "a helper of tests")]

pub mod daemon;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use hemlockrock::declarations::{
    Declarations, TeamDeclaration, WorkerDeclaration, ZoneDeclaration,
};
use hemlockrock::standin::store::faults::{FaultAction, Faults, Injector};
use hemlockrock::standin::store::State;
use hemlockrock::store::{Answer, BoxFuture, Operation, Priority, Store, StoreError};

/// Declarations of `count` workers in four zones.
pub fn workers(count: usize) -> Declarations {
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

/// Small declarations that differ by `variant`.
pub fn variant(variant: u64) -> Declarations {
    let mut declarations = workers(2);
    declarations.teams.push(TeamDeclaration {
        name: "shops".to_owned(),
        cpu_millis: 1 + variant,
        memory_bytes: 1_000,
        accelerators: 0,
    });
    declarations
}

/// A store in memory whose calls each take one turn and fail as faults say.
#[derive(Debug)]
pub struct ModelStore {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: State,
    old: State,
    injector: Injector,
    now_ms: u64,
    late: VecDeque<Operation>,
    late_every: u64,
    calls: u64,
}

impl ModelStore {
    pub fn new() -> Arc<Self> {
        let inner = Inner {
            state: State::new(),
            old: State::new(),
            injector: Injector::new(Faults::default()),
            now_ms: 0,
            late: VecDeque::new(),
            late_every: 0,
            calls: 0,
        };
        Arc::new(Self { inner: Mutex::new(inner) })
    }

    /// Sets faults; every `late_every`th lost write takes effect only at [`Self::apply_late`].
    pub fn set_faults(&self, faults: Faults, late_every: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner.old = inner.state.clone();
        inner.injector = Injector::new(faults);
        inner.late_every = late_every;
    }

    /// Lets one delayed write take effect.
    pub fn apply_late(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now_ms = inner.now_ms;
        if let Some(operation) = inner.late.pop_front() {
            inner.state.apply(operation, now_ms);
        }
    }

    /// Lets time pass, so that leases lapse.
    pub fn advance(&self, elapsed_ms: u64) {
        let mut inner = self.inner.lock().unwrap();
        inner.now_ms += elapsed_ms;
        let now_ms = inner.now_ms;
        inner.state.expire(now_ms);
    }

    /// Drops the history, so that watches meet a gap.
    pub fn compact(&self) {
        self.inner.lock().unwrap().state.compact();
    }

    /// Carries out an operation without faults and turns.
    pub fn direct(&self, operation: Operation) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        let now_ms = inner.now_ms;
        inner.state.apply(operation, now_ms)
    }

    fn carry_out(&self, operation: Operation) -> Result<Answer, StoreError> {
        let mut inner = self.inner.lock().unwrap();
        inner.calls += 1;
        let now_ms = inner.now_ms;
        let lost = || StoreError::Lost("model".to_owned());
        let answer = match inner.injector.next_action(&operation) {
            FaultAction::Refuse => return Err(StoreError::Away("model".to_owned())),
            FaultAction::Silence => return Err(lost()),
            FaultAction::Overload => return Err(StoreError::Overloaded { retry_after_ms: 1 }),
            FaultAction::Stale => inner.old.apply(operation, now_ms),
            FaultAction::LoseAnswer => {
                let is_late = inner.late_every > 0 && inner.calls % inner.late_every == 0;
                if is_late && operation.is_write() {
                    inner.late.push_back(operation);
                } else {
                    inner.state.apply(operation, now_ms);
                }
                return Err(lost());
            }
            FaultAction::Answer => inner.state.apply(operation, now_ms),
        };
        match answer {
            Answer::LeaseGone | Answer::TooLarge | Answer::Overloaded { .. } => {
                Err(answer.unexpected())
            }
            answer => Ok(answer),
        }
    }
}

impl Store for ModelStore {
    fn call(
        &self,
        operation: Operation,
        _priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(async move {
            futures_lite::future::yield_now().await;
            self.carry_out(operation)
        })
    }
}
