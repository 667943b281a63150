//! Entry host: accepts requests from callers, dispatches them to endpoints, and reports how each
//! one ended without claiming more than is certain.

mod api;
pub mod authority;
pub mod catalog;
mod control;
pub mod heartbeat;
mod heartbeat_sender;
mod hosts;
mod idempotency;
pub mod message;
pub mod metrics;
pub mod ownership;
pub mod peer;
mod response;
mod routing;
pub mod send;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use eyre::WrapErr as _;

use crate::clock;
use crate::collections::HashSet;
use crate::configs::entry::EntryConfig;
use crate::configs::http::HttpConfig;
use crate::declarations::feed::{AcceptedDeclarations, Feed};
use crate::declarations::peer::Peers;
use crate::drain::{Drain, Drained};
use crate::http::client::Pool;
use crate::http::server::Server;
use crate::membership::{Member, Role, Session};
use crate::store::client::HttpStore;
use crate::store::mirror::Mirror;
use crate::store::Store;

use authority::Authority;
use message::{Control, Input};
use metrics::Metrics;

/// Size limit of a call between entry hosts beyond the body of its request, in bytes.
const CALL_OVERHEAD_BYTES: u64 = 256 * 1024;

/// Largest answer accepted from the store, in bytes; the largest is the whole log of a ledger.
const STORE_ANSWER_BYTES: u64 = 128 * 1024 * 1024;

/// Poll interval while a drain waits for requests and endpoints, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Time for writing the last answers once the drain timeout has passed, in milliseconds.
const LAST_ANSWERS_MS: u64 = 500;

/// A running entry host; clones refer to the same host.
///
/// ```no_run
/// use hemlockrock::configs::entry::EntryConfig;
/// use hemlockrock::entry::Entry;
///
/// # async fn run() -> eyre::Result<()> {
/// let entry = Entry::start(EntryConfig::default()).await?;
/// println!("listening {}", entry.address());
/// entry.drain().await;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    server: Server,
}

/// State shared by the HTTP handlers and background tasks of an entry host.
#[derive(Debug)]
pub(crate) struct Shared {
    config: Arc<EntryConfig>,
    control: Control,
    session: Session,
    mirror: Mirror,
    feed: Feed,
    peers: Pool,
    metrics: Arc<Metrics>,
    /// Cache of [`Shared::declared`].
    declared: Mutex<Arc<Declared>>,
    /// Source of request keys, tickets and generated request ids.
    next_request: AtomicU64,
    /// Set by the control thread once this host can send requests somewhere.
    is_settled: Arc<AtomicBool>,
    /// Whether the host has been ready before; it stays ready until it drains.
    was_ready: AtomicBool,
    is_draining: AtomicBool,
    is_stopped: AtomicBool,
    /// Ends of keyed requests that the holder of their ledger has not acknowledged.
    unreported_ends: AtomicUsize,
}

impl Entry {
    /// Starts an entry host in this process.
    ///
    /// # Errors
    /// The address cannot be bound, or the control thread cannot be started.
    pub async fn start(config: EntryConfig) -> eyre::Result<Self> {
        let listener = TcpListener::bind(&config.listen)
            .await
            .wrap_err_with(|| format!("cannot bind {}", config.listen))?;
        let address = listener.local_addr().wrap_err("cannot read the listening address")?;
        let config = Arc::new(config);
        let metrics = Arc::new(Metrics::new().wrap_err("metrics")?);
        let store = HttpStore::new(config.store.clone(), Pool::new(store_http(&config)));
        let store: Arc<dyn Store> = Arc::new(
            store
                .with_metrics(metrics.registry())
                .wrap_err("cannot register the metrics of the store")?,
        );
        let mirror = Mirror::start(Arc::clone(&store), config.store.watch_wait_ms);
        let sources = config_peers(&config);
        let feed = Feed::start_with_peers(mirror.clone(), Arc::clone(&store), sources);
        let member = own_member(&config, address);
        let session = Session::start(Arc::clone(&store), config.membership.clone(), member);
        let authority = Authority::new(session.clone());
        let peers = Pool::new(peer_http(&config));
        let is_settled = Arc::new(AtomicBool::new(false));
        let deps = control::Dependencies {
            config: Arc::clone(&config),
            store: Arc::clone(&store),
            session: session.clone(),
            mirror: mirror.clone(),
            feed: feed.clone(),
            endpoints: Pool::new(endpoint_http(&config)),
            peers: peers.clone(),
            authority,
            metrics: Arc::clone(&metrics),
            is_settled: Arc::clone(&is_settled),
        };
        let control = control::start(deps).wrap_err("cannot start the control thread")?;
        let shared = Arc::new(Shared {
            config: Arc::clone(&config),
            control,
            session,
            mirror,
            feed,
            peers,
            metrics,
            declared: Mutex::default(),
            next_request: AtomicU64::new(1),
            is_settled,
            was_ready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            unreported_ends: AtomicUsize::new(0),
        });
        let app = api::app(Arc::clone(&shared));
        let server = Server::start_on(listener, app, config.http.clone())
            .wrap_err("cannot start the HTTP server")?;
        server
            .budget()
            .register(shared.metrics.registry())
            .wrap_err("cannot register the metrics of the HTTP server")?;
        task::spawn(heartbeat_sender::run(Arc::clone(&shared)));
        task::spawn(hosts::run(Arc::clone(&shared)));
        spdlog::info!("entry host is listening", kv: { name = config.name.as_str(), zone = config.zone.as_str() });
        Ok(Self { shared, server })
    }

    /// Address that the host listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Whether load balancers may send callers here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down gracefully: hands over the endpoints and waits for accepted requests, up to the
    /// drain timeout of the settings.
    pub async fn drain(&self) -> Drained {
        self.shared.is_draining.store(true, Ordering::Release);
        spdlog::info!("drain begins");
        let drain = Drain::new(self.shared.config.drain.clone()).wait_for_balancer().await;
        self.server.begin_drain();
        let drain = drain.hand_over(self.shared.hand_over()).await;
        let ended = drain.finish(self.idle()).await;
        if !ended.is_complete {
            self.shared.control.send(Input::AnswerAll);
        }
        self.server.shut_down(LAST_ANSWERS_MS).await;
        self.shared.session.stop().await;
        self.shared.control.send(Input::Stop);
        self.shared.is_stopped.store(true, Ordering::Release);
        spdlog::info!("drain ends", kv: { is_whole = ended.is_complete });
        ended
    }

    /// Waits until no request is queued, in flight or unanswered.
    async fn idle(&self) -> bool {
        loop {
            let remaining = self.shared.control.ask(Input::Remaining).await.unwrap_or_default();
            let unreported_ends = self.shared.unreported_ends.load(Ordering::Acquire);
            if remaining.requests == 0
                && self.server.requests_in_flight() == 0
                && unreported_ends == 0
            {
                return true;
            }
            task::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

/// The part of the declarations in force that each request looks up.
#[derive(Debug, Default)]
struct Declared {
    /// Revision of the accepted declarations.
    revision: u64,
    /// Names of the services.
    services: HashSet<String>,
    /// Names of the zones.
    zones: Vec<String>,
}

impl Declared {
    fn new(accepted: &AcceptedDeclarations) -> Self {
        let declarations = &accepted.declarations;
        Self {
            revision: accepted.revision,
            services: declarations.services.iter().map(|service| service.name.clone()).collect(),
            zones: declarations.zones.iter().map(|zone| zone.name.clone()).collect(),
        }
    }
}

impl Shared {
    /// The declared services and zones in force, rebuilt when the revision changes.
    fn declared(&self) -> Arc<Declared> {
        let accepted = self.feed.current();
        let mut declared = self.declared.lock().unwrap_or_else(PoisonError::into_inner);
        if declared.revision != accepted.revision {
            *declared = Arc::new(Declared::new(&accepted));
        }
        Arc::clone(&declared)
    }

    /// Whether the host is ready: configuration was in force, a session was held and its endpoints
    /// were acquired at the same time once, and no shutdown has begun.
    fn is_ready(&self) -> bool {
        let holds = self.session.lease().is_some()
            && self.feed.current().revision > 0
            && self.is_settled.load(Ordering::Acquire);
        if holds {
            self.was_ready.store(true, Ordering::Release);
        }
        self.was_ready.load(Ordering::Acquire) && !self.is_draining()
    }

    /// Whether the host has shut down.
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Waits until the owned endpoints have been handed over to other hosts of the zone, or no
    /// other host is left.
    async fn hand_over(&self) {
        self.session.update(|member| member.is_leaving = true);
        self.control.send(Input::Drain);
        loop {
            let remaining = self.control.ask(Input::Remaining).await.unwrap_or_default();
            if remaining.owned == 0 || !self.has_successor() {
                return;
            }
            task::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }

    /// Whether another entry host of the zone is a member and not leaving.
    fn has_successor(&self) -> bool {
        let members = crate::membership::members(&self.mirror.snapshot());
        let is_other = |member: &Member| {
            member.role == Role::Entry
                && member.zone == self.config.zone
                && member.name != self.config.name
                && !member.is_leaving
        };
        members.iter().any(is_other)
    }
}

fn own_member(config: &EntryConfig, address: SocketAddr) -> Member {
    let advertise =
        if config.advertise.is_empty() { address.to_string() } else { config.advertise.clone() };
    Member {
        name: config.name.clone(),
        role: Role::Entry,
        zone: config.zone.clone(),
        address: advertise,
        incarnation: clock::unix_ms(),
        config_revision: 0,
        is_leaving: false,
    }
}

fn endpoint_http(config: &EntryConfig) -> HttpConfig {
    let endpoints = &config.endpoints;
    HttpConfig {
        idle_timeout_ms: endpoints.fresh_ms,
        max_idle_per_address: if endpoints.reuse_connections { endpoints.max_idle } else { 0 },
        ..config.http.clone()
    }
}

fn store_http(config: &EntryConfig) -> HttpConfig {
    HttpConfig { max_body_bytes: STORE_ANSWER_BYTES, ..config.http.clone() }
}

/// Daemons that supply the configuration while the store is unreachable.
fn config_peers(config: &EntryConfig) -> Peers {
    let pool = Pool::new(store_http(config));
    let zone = config.zone.as_str();
    Peers::new(config.membership.peers.clone(), pool, config.token.as_str(), zone)
}

fn peer_http(config: &EntryConfig) -> HttpConfig {
    HttpConfig {
        idle_timeout_ms: config.endpoints.fresh_ms,
        max_body_bytes: config.http.max_body_bytes + CALL_OVERHEAD_BYTES,
        ..config.http.clone()
    }
}

/// Time on the monotonic clock that is `within_ms` from now, in milliseconds.
fn deadline(within_ms: u64) -> u64 {
    clock::now_ms().saturating_add(within_ms)
}
