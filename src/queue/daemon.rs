//! The process of one host: it serves callers and campaigns for leadership when there is no leader.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use eyre::WrapErr as _;
use futures_lite::{future, StreamExt as _};
use signal_hook::consts::SIGHUP;
use tide::{Response, StatusCode};

use crate::configs::http::HttpConfig;
use crate::configs::queue::QueueConfig;
use crate::http::budget::Budget;
use crate::http::client::Pool;
use crate::http::server::Server;
use crate::platform::callers;
use crate::platform::settings;
use crate::platform::store::{self, PlatformStore};
use crate::queue::host_state::HostState;
use crate::queue::metrics::QueueMetrics;
use crate::queue::server_limits::ServerLimits;
use crate::queue::{caller_api, control, election, peer, watch};
use crate::{collections, decision_log, drain, telemetry};

/// Interval at which a host checks whether there is a leader, in milliseconds.
const CAMPAIGN_POLL_MS: u64 = 50;

/// Range of the per-host delay before a campaign, in milliseconds: it spreads the hosts' attempts.
const CAMPAIGN_MAX_OFFSET_MS: u64 = 80;

/// Pause after a campaign that failed with a store error, in milliseconds.
const CAMPAIGN_RETRY_MS: u64 = 200;

/// Time limit for opening a connection within the site's networks, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Interval at which the settings file is checked for changes, in milliseconds.
const SETTINGS_POLL_MS: u64 = 5_000;

/// Part of the shutdown grace period that is reserved for the exit of the process, in milliseconds.
const EXIT_MARGIN_MS: u64 = 800;

/// Runs the host until it is asked to stop. `path` is the settings file of the platform.
///
/// # Errors
/// Fails when the settings cannot be read, an address cannot be bound, or signals cannot be
/// handled.
pub async fn run(path: PathBuf, config: QueueConfig) -> eyre::Result<()> {
    let text = std::fs::read(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let host_info =
        settings::decode(&text).map_err(|error| eyre::eyre!("{}: {error}", path.display()))?;
    decision_log::start(host_info.host.as_str());
    decision_log::line("started")
        .with("zone", &host_info.zone)
        .with("version", env!("CARGO_PKG_VERSION"))
        .end();
    let registry = prometheus::Registry::new();
    let pool = Pool::new(HttpConfig {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        max_body_bytes: store::MAX_ANSWER_BYTES,
        ..HttpConfig::default()
    });
    let store =
        PlatformStore::new(host_info.store_address.as_str(), config.store_timeout_ms, pool.clone());
    let metrics = QueueMetrics::new(&registry)?;
    let shared = Arc::new(HostState::new(host_info, config, Arc::new(store), pool, metrics));
    let servers = Servers::start(&shared, registry).await?;
    task::spawn(watch::watch_declarations(Arc::clone(&shared)));
    task::spawn(watch::watch_leader(Arc::clone(&shared)));
    task::spawn(peer::send_heartbeats(Arc::clone(&shared)));
    task::spawn(watch_settings(path, text));
    let stopped = async {
        drain::wait_for_shutdown_signal().await.wrap_err("cannot handle termination signals")
    };
    let leading = async {
        campaign_loop(&shared).await;
        Ok::<(), eyre::Report>(())
    };
    let stopping = async {
        stopped.await?;
        servers.stop(&shared).await;
        Ok::<(), eyre::Report>(())
    };
    future::try_zip(leading, stopping).await?;
    decision_log::line("stopped").with("dropped_lines", decision_log::dropped()).end();
    decision_log::flush();
    Ok(())
}

/// Campaigns whenever there is no leader, and leads after each campaign won, until the host shuts
/// down.
async fn campaign_loop(shared: &Arc<HostState>) {
    let offset_ms = collections::stable_hash(&shared.host_info.host) % CAMPAIGN_MAX_OFFSET_MS;
    while !shared.is_draining() {
        let leader = shared.leader();
        let is_former_self =
            leader.as_ref().is_some_and(|leader| shared.is_this_host(&leader.record));
        if !shared.is_ready() || (leader.is_some() && !is_former_self) {
            task::sleep(Duration::from_millis(CAMPAIGN_POLL_MS)).await;
            continue;
        }
        if let Some(former) = leader {
            election::delete_stale_term(shared, &former).await;
        } else {
            let wait_ms = offset_ms + shared.leader_preference().campaign_delay_ms();
            task::sleep(Duration::from_millis(wait_ms)).await;
        }
        if shared.leader().is_some() {
            task::sleep(Duration::from_millis(CAMPAIGN_POLL_MS)).await;
            continue;
        }
        let campaign = election::campaign(shared).await;
        let has_failed = campaign.is_err();
        match campaign {
            Ok(Some(term)) => control::lead(shared, term).await,
            Ok(None) => {}
            Err(error) => decision_log::line("campaign_failed").with("error", error).end(),
        }
        shared.end_term();
        if has_failed {
            task::sleep(Duration::from_millis(CAMPAIGN_RETRY_MS)).await;
        }
    }
}

/// The HTTP servers of a host, except the one for metrics, which runs until the process exits.
#[derive(Debug)]
struct Servers {
    front: Server,
    ready: Server,
    peer: Server,
}

impl Servers {
    async fn start(shared: &Arc<HostState>, registry: prometheus::Registry) -> eyre::Result<Self> {
        let host_info = &shared.host_info;
        let limits = ServerLimits::new(host_info);
        let budget = Budget::new(limits.inflight_bytes)?;
        budget.register(&registry)?;
        let http = |max_connections| HttpConfig { max_connections, ..HttpConfig::default() };
        let front = Server::start_with_budget(
            &host_info.front_address,
            caller_api::app(Arc::clone(shared)),
            http(limits.front_connections),
            &budget,
        );
        let front = front.await.wrap_err_with(|| {
            format!("cannot listen for callers at {}", host_info.front_address)
        })?;
        let ready = Server::start_with_budget(
            &host_info.ready_address,
            ready_app(shared),
            http(limits.probe_connections),
            &budget,
        );
        let ready = ready.await.wrap_err_with(|| {
            format!("cannot listen for readiness checks at {}", host_info.ready_address)
        })?;
        let peer = Server::start_with_budget(
            &host_info.peer_address,
            peer::app(Arc::clone(shared)),
            http(limits.peer_connections),
            &budget,
        );
        let peer = peer.await.wrap_err_with(|| {
            format!("cannot listen for other hosts at {}", host_info.peer_address)
        })?;
        let address = &host_info.metrics_address;
        let metrics = Server::start_with_budget(
            address,
            metrics_app(registry),
            http(limits.probe_connections),
            &budget,
        );
        metrics.await.wrap_err_with(|| format!("cannot serve metrics at {address}"))?;
        Ok(Self { front, ready, peer })
    }

    /// Keeps serving for `shutdown_serve_ms` while the load balancer moves callers to other hosts, then
    /// waits for open requests to finish.
    async fn stop(&self, shared: &HostState) {
        decision_log::line("stopping").with("requests", self.front.requests_in_flight()).end();
        shared.begin_drain();
        self.front.begin_drain();
        let serve_ms = shared.config.shutdown_serve_ms;
        task::sleep(Duration::from_millis(serve_ms)).await;
        let grace_ms = shared.host_info.shutdown_grace_ms;
        let finish_ms = grace_ms.saturating_sub(serve_ms + EXIT_MARGIN_MS);
        let is_finished = self.front.shut_down(finish_ms).await;
        decision_log::line("drained")
            .with("whole", is_finished)
            .with("peer_requests", self.peer.requests_in_flight())
            .with("ready_requests", self.ready.requests_in_flight())
            .end();
    }
}

fn ready_app(shared: &Arc<HostState>) -> tide::Server<Arc<HostState>> {
    let mut app = tide::with_state(Arc::clone(shared));
    app.at(callers::READY_PATH).get(|request: tide::Request<Arc<HostState>>| async move {
        let is_ready = request.state().is_ready();
        let status = if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
        Ok(Response::new(status))
    });
    app
}

fn metrics_app(registry: prometheus::Registry) -> tide::Server<prometheus::Registry> {
    let mut app = tide::with_state(registry);
    app.at("/metrics").get(|request: tide::Request<prometheus::Registry>| async move {
        Ok(telemetry::metrics_response(request.state()))
    });
    app
}

/// Logs whether a changed settings file is valid, periodically and on SIGHUP. Changes take effect
/// only when the process starts again.
async fn watch_settings(path: PathBuf, mut known: Vec<u8>) {
    let signals = signal_hook_async_std::Signals::new([SIGHUP]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            decision_log::line("signals_failed").with("error", error).end();
            return;
        }
    };
    loop {
        let limit = Duration::from_millis(SETTINGS_POLL_MS);
        let is_requested = async_std::future::timeout(limit, signals.next()).await.is_ok();
        check_settings(&path, &mut known, is_requested);
    }
}

/// Reads the settings file and logs whether it is valid, if it has changed or `is_requested` is
/// set.
fn check_settings(path: &Path, known: &mut Vec<u8>, is_requested: bool) {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            decision_log::line("settings_unreadable").with("error", error).end();
            return;
        }
    };
    let has_changed = text != *known;
    if !has_changed && !is_requested {
        return;
    }
    let outcome = match settings::decode(&text) {
        Ok(_) if has_changed => "valid".to_owned(),
        Ok(_) => "unchanged".to_owned(),
        Err(error) => error,
    };
    decision_log::line("reloaded").with("asked", is_requested).with("outcome", outcome).end();
    *known = text;
}
