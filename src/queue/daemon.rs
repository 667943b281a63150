//! One process a host: it answers callers, and leads the cell when nobody else does.

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
use crate::http::client::Pool;
use crate::http::server::Server;
use crate::platform::callers;
use crate::platform::settings;
use crate::platform::store::{self, PlatformStore};
use crate::queue::metrics::QueueMetrics;
use crate::queue::shared::Shared;
use crate::queue::{control, election, front, peer, watch};
use crate::{collections, decision_log, drain, telemetry};

/// Time between looks at whether somebody leads, in milliseconds.
const CAMPAIGN_LOOK_MS: u64 = 50;

/// Spread of the hosts' tries to lead, in milliseconds.
const CAMPAIGN_SPREAD_MS: u64 = 80;

/// Pause after a failed try to lead, in milliseconds.
const CAMPAIGN_RETRY_MS: u64 = 200;

/// Time to open a connection on the site's networks, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Time between looks at whether the settings file has changed, in milliseconds.
const RELOAD_LOOK_MS: u64 = 5_000;

/// Descriptors kept for runners, hosts and the store; callers may use the rest.
const OWN_DESCRIPTORS: usize = 1_500;

/// Time kept for the end of the process within the grace period, in milliseconds.
const EXIT_MARGIN_MS: u64 = 800;

/// Runs the host until it is asked to stop.
///
/// # Errors
/// Settings that cannot be read, or addresses that cannot be bound.
pub async fn run(path: PathBuf, config: QueueConfig) -> eyre::Result<()> {
    let text = std::fs::read(&path).wrap_err_with(|| path.display().to_string())?;
    let site =
        settings::decode(&text).map_err(|error| eyre::eyre!("{}: {error}", path.display()))?;
    decision_log::start(site.host.as_str());
    decision_log::line("started")
        .with("zone", &site.zone)
        .with("version", env!("CARGO_PKG_VERSION"))
        .end();
    let registry = prometheus::Registry::new();
    let pool = Pool::new(HttpConfig {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        max_body_bytes: store::ANSWER_LIMIT_BYTES,
        ..HttpConfig::default()
    });
    let store =
        PlatformStore::new(site.store_address.as_str(), config.store_timeout_ms, pool.clone());
    let metrics = QueueMetrics::new(&registry)?;
    let shared = Arc::new(Shared::new(site, config, Arc::new(store), pool, metrics));
    let servers = Servers::start(&shared, registry).await?;
    task::spawn(watch::follow_declarations(Arc::clone(&shared)));
    task::spawn(watch::follow_leader(Arc::clone(&shared)));
    task::spawn(peer::say_hello(Arc::clone(&shared)));
    task::spawn(reload(path, text));
    let stopped = async { drain::wait_for_shutdown_signal().await.wrap_err("signals") };
    let leading = async {
        campaign(&shared).await;
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

/// Leads whenever nobody does, until the host comes to an end.
async fn campaign(shared: &Arc<Shared>) {
    let spread_ms = collections::stable_hash(&shared.site.host) % CAMPAIGN_SPREAD_MS;
    while !shared.is_draining() {
        let leader = shared.leader();
        let is_former_self = leader.as_ref().is_some_and(|leader| shared.is_own(&leader.record));
        if !shared.is_ready() || (leader.is_some() && !is_former_self) {
            task::sleep(Duration::from_millis(CAMPAIGN_LOOK_MS)).await;
            continue;
        }
        if let Some(former) = leader {
            election::retire(shared, &former).await;
        } else {
            let wait_ms = spread_ms + shared.standing().campaign_delay_ms();
            task::sleep(Duration::from_millis(wait_ms)).await;
        }
        if shared.leader().is_some() {
            task::sleep(Duration::from_millis(CAMPAIGN_LOOK_MS)).await;
            continue;
        }
        match election::campaign(shared).await {
            Ok(Some(term)) => control::lead(shared, term).await,
            Ok(None) => {}
            Err(error) => {
                decision_log::line("campaign_failed").with("error", error).end();
                task::sleep(Duration::from_millis(CAMPAIGN_RETRY_MS)).await;
            }
        }
    }
}

/// The listeners of a host.
#[derive(Debug)]
struct Servers {
    front: Server,
    ready: Server,
    peer: Server,
}

impl Servers {
    async fn start(shared: &Arc<Shared>, registry: prometheus::Registry) -> eyre::Result<Self> {
        let site = &shared.site;
        let callers = HttpConfig {
            max_connections: site.descriptor_limit.saturating_sub(OWN_DESCRIPTORS).max(64),
            ..HttpConfig::default()
        };
        let front = Server::start(&site.front_address, front::app(Arc::clone(shared)), callers);
        let front = front.await.wrap_err("front address")?;
        let ready = Server::start(&site.ready_address, ready_app(shared), HttpConfig::default());
        let ready = ready.await.wrap_err("ready address")?;
        let peers = peer::app(Arc::clone(shared));
        let peer = Server::start(&site.peer_address, peers, HttpConfig::default());
        let peer = peer.await.wrap_err("peer address")?;
        let metrics = metrics_app(registry);
        let address = &site.metrics_address;
        let metrics = Server::start(address, metrics, HttpConfig::default()).await;
        metrics.wrap_err("metrics address")?;
        Ok(Self { front, ready, peer })
    }

    /// Serves on while callers go elsewhere, then ends without cutting a request.
    async fn stop(&self, shared: &Shared) {
        decision_log::line("stopping").with("requests", self.front.requests()).end();
        shared.begin_drain();
        self.front.begin_drain();
        let serve_ms = shared.config.shutdown_serve_ms;
        task::sleep(Duration::from_millis(serve_ms)).await;
        let grace_ms = shared.site.shutdown_grace_ms;
        let left_ms = grace_ms.saturating_sub(serve_ms + EXIT_MARGIN_MS);
        let is_whole = self.front.finish(left_ms).await;
        decision_log::line("drained")
            .with("whole", is_whole)
            .with("peer_requests", self.peer.requests())
            .with("ready_requests", self.ready.requests())
            .end();
    }
}

fn ready_app(shared: &Arc<Shared>) -> tide::Server<Arc<Shared>> {
    let mut app = tide::with_state(Arc::clone(shared));
    app.at(callers::READY_PATH).get(|request: tide::Request<Arc<Shared>>| async move {
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

/// Tells of changed settings; addresses are in force from the next start on.
async fn reload(path: PathBuf, mut known: Vec<u8>) {
    let signals = signal_hook_async_std::Signals::new([SIGHUP]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            decision_log::line("signals_failed").with("error", error).end();
            return;
        }
    };
    loop {
        let limit = Duration::from_millis(RELOAD_LOOK_MS);
        let is_asked = async_std::future::timeout(limit, signals.next()).await.is_ok();
        look_at_settings(&path, &mut known, is_asked);
    }
}

fn look_at_settings(path: &Path, known: &mut Vec<u8>, is_asked: bool) {
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(error) => {
            decision_log::line("settings_unreadable").with("error", error).end();
            return;
        }
    };
    let is_new = text != *known;
    if !is_new && !is_asked {
        return;
    }
    let outcome = match settings::decode(&text) {
        Ok(_) if is_new => "valid".to_owned(),
        Ok(_) => "unchanged".to_owned(),
        Err(error) => error,
    };
    decision_log::line("reloaded").with("asked", is_asked).with("outcome", outcome).end();
    *known = text;
}
