//! Graceful shutdown of a daemon: report not ready, hand over ownership, finish open requests.
//!
//! The order is that of `charts/daemon.yaml`. Each phase is a type parameter of
//! [`Drain`], so that a daemon cannot skip one. All phases share one time limit.

use std::future::Future;
use std::marker::PhantomData;
use std::time::Duration;

use async_std::task;
use futures_lite::StreamExt as _;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::configs::drain::DrainConfig;
use crate::{charts, clock};

/// First phase: the daemon reports not ready to the load balancer, and still serves.
#[derive(Debug)]
pub struct Unready;

/// Second phase: the daemon hands over what it owns to other hosts.
#[derive(Debug)]
pub struct HandingOver;

/// Third phase: the daemon waits for requests in flight.
#[derive(Debug)]
pub struct Finishing;

/// A shutdown in progress, in one of the phases [`Unready`], [`HandingOver`] and [`Finishing`].
#[derive(Debug)]
pub struct Drain<Phase> {
    config: DrainConfig,
    ends_at_ms: u64,
    state: &'static str,
    phase: PhantomData<Phase>,
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Whether everything in flight ended within the time limit.
    pub is_complete: bool,
}

impl Drain<Unready> {
    /// Starts a shutdown and its time limit; the daemon must already report not ready.
    pub fn new(config: DrainConfig) -> Self {
        let ends_at_ms = clock::now_ms() + config.drain_timeout_ms;
        let state = next_state("serving", "drain");
        Self { config, ends_at_ms, state, phase: PhantomData }
    }

    /// Waits for `balancer_delay_ms`, in which the load balancer redirects callers.
    ///
    /// ```
    /// use hemlockrock::configs::drain::DrainConfig;
    /// use hemlockrock::drain;
    ///
    /// let config = DrainConfig { balancer_delay_ms: 1, drain_timeout_ms: 1_000 };
    /// let ended = futures_lite::future::block_on(async {
    ///     let drain = drain::Drain::new(config).wait_for_balancer().await;
    ///     drain.hand_over(async {}).await.finish(async { true }).await
    /// });
    /// assert!(ended.is_complete);
    /// ```
    pub async fn wait_for_balancer(self) -> Drain<HandingOver> {
        task::sleep(Duration::from_millis(self.config.balancer_delay_ms)).await;
        self.enter("settle")
    }
}

impl Drain<HandingOver> {
    /// Runs the handover, and aborts it at the time limit.
    pub async fn hand_over(self, handover: impl Future<Output = ()>) -> Drain<Finishing> {
        let is_complete = async_std::future::timeout(self.remaining(), handover).await.is_ok();
        if !is_complete {
            spdlog::warn!("handover aborted: it did not complete within drain_timeout_ms");
        }
        self.enter("handed")
    }
}

impl Drain<Finishing> {
    /// Waits up to the time limit for `idle`, which returns whether everything in flight ended.
    pub async fn finish(self, idle: impl Future<Output = bool>) -> Drained {
        let is_complete = async_std::future::timeout(self.remaining(), idle).await.unwrap_or(false);
        let closing = next_state(self.state, if is_complete { "idle" } else { "limit" });
        next_state(closing, "close");
        Drained { is_complete }
    }
}

impl<Phase> Drain<Phase> {
    /// Time until the time limit; zero after it.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.ends_at_ms.saturating_sub(clock::now_ms()))
    }

    /// Enters the next phase by `event` of the daemon chart.
    fn enter<Next>(self, event: &str) -> Drain<Next> {
        let state = next_state(self.state, event);
        Drain { config: self.config, ends_at_ms: self.ends_at_ms, state, phase: PhantomData }
    }
}

/// State of the daemon chart after `event`; the chart has all transitions used here.
fn next_state(state: &str, event: &str) -> &'static str {
    let next = charts::builtin().daemon.step(state, event);
    next.unwrap_or_else(|error| {
        spdlog::error!("invalid transition of the daemon chart: {}", error);
        "closing"
    })
}

/// Waits for SIGTERM or SIGINT, and ignores both afterwards.
///
/// # Errors
/// The signal handlers cannot be installed.
pub async fn wait_for_shutdown_signal() -> std::io::Result<()> {
    let mut signals = signal_hook_async_std::Signals::new([SIGTERM, SIGINT])?;
    signals.next().await;
    // Dropping the stream would restore the default action, which ends the process.
    std::mem::forget(signals);
    Ok(())
}
