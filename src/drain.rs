//! Graceful shutdown of a daemon: not ready first, then hand over, then finish what runs.
//!
//! The order is that of `charts/daemon.yaml`; each step is a type, so that a
//! daemon cannot skip one, and all of them together are bounded by one limit.

use std::future::Future;
use std::marker::PhantomData;
use std::time::Duration;

use async_std::task;
use futures_lite::StreamExt as _;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::configs::drain::DrainConfig;
use crate::{charts, clock};

/// The daemon tells the balancer that it is not ready, and still serves.
#[derive(Debug)]
pub struct Unready;

/// The daemon gives what it holds to others.
#[derive(Debug)]
pub struct HandingOver;

/// The daemon finishes what is in flight.
#[derive(Debug)]
pub struct Finishing;

/// A shutdown in progress.
#[derive(Debug)]
pub struct Drain<State> {
    config: DrainConfig,
    ends_at_ms: u64,
    position: &'static str,
    step: PhantomData<State>,
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Whether everything in flight ended within the limit.
    pub is_whole: bool,
}

impl Drain<Unready> {
    /// Begins a shutdown; the caller has already made the daemon not ready.
    pub fn new(config: DrainConfig) -> Self {
        let ends_at_ms = clock::now_ms() + config.drain_timeout_ms;
        let position = follow("serving", "drain");
        Self { config, ends_at_ms, position, step: PhantomData }
    }

    /// Waits until the balancer has had time to send callers elsewhere.
    ///
    /// ```
    /// use hemlockrock::configs::drain::DrainConfig;
    /// use hemlockrock::drain;
    ///
    /// let config = DrainConfig { balancer_delay_ms: 1, drain_timeout_ms: 1_000 };
    /// let ended = futures_lite::future::block_on(async {
    ///     let drain = drain::Drain::new(config).settle().await;
    ///     drain.hand_over(async {}).await.finish(async { true }).await
    /// });
    /// assert!(ended.is_whole);
    /// ```
    pub async fn settle(self) -> Drain<HandingOver> {
        task::sleep(Duration::from_millis(self.config.balancer_delay_ms)).await;
        self.next("settle")
    }
}

impl Drain<HandingOver> {
    /// Runs the handover within what is left of the limit.
    pub async fn hand_over(self, handover: impl Future<Output = ()>) -> Drain<Finishing> {
        let is_whole = async_std::future::timeout(self.left(), handover).await.is_ok();
        if !is_whole {
            spdlog::warn!("handover was cut by the limit of the drain");
        }
        self.next("handed")
    }
}

impl Drain<Finishing> {
    /// Waits for `idle`, which tells whether all in flight has ended, within the limit.
    pub async fn finish(self, idle: impl Future<Output = bool>) -> Drained {
        let is_whole = async_std::future::timeout(self.left(), idle).await.unwrap_or(false);
        let closing = follow(self.position, if is_whole { "idle" } else { "limit" });
        follow(closing, "close");
        Drained { is_whole }
    }
}

impl<State> Drain<State> {
    /// Time until the limit.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.ends_at_ms.saturating_sub(clock::now_ms()))
    }

    fn next<Next>(self, event: &str) -> Drain<Next> {
        let position = follow(self.position, event);
        Drain { config: self.config, ends_at_ms: self.ends_at_ms, position, step: PhantomData }
    }
}

/// The state of the daemon chart after `event`; the chart file has all events that are used here.
fn follow(position: &str, event: &str) -> &'static str {
    let next = charts::builtin().daemon.step(position, event);
    next.unwrap_or_else(|error| {
        spdlog::error!("daemon life cycle: {}", error);
        "closing"
    })
}

/// Waits for SIGTERM or SIGINT; the same signals are ignored afterwards.
///
/// # Errors
/// The handlers cannot be installed.
pub async fn requested() -> std::io::Result<()> {
    let mut signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT])?;
    signals.next().await;
    // Dropping the stream would bring back the default action, which ends the process.
    std::mem::forget(signals);
    Ok(())
}
