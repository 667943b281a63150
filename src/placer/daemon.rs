//! Startup and shutdown of the placer daemon: wires up the control thread, the zone lease and the
//! HTTP endpoints.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Weak};

use async_std::net::TcpListener;
use async_std::task;
use eyre::WrapErr as _;
use tide::{Response, StatusCode};

use crate::clock;
use crate::configs::placer::PlacerConfig;
use crate::declarations::feed::Feed;
use crate::declarations::peer::{self, Peers};
use crate::drain::{Drain, Drained};
use crate::http::client::Pool;
use crate::http::server::Server;
use crate::jobs::gateway::JobGateway;
use crate::membership::{Member, Role, Session};
use crate::placer::control::Control;
use crate::placer::message::Message;
use crate::placer::metrics::Metrics;
use crate::placer::worker_calls::WorkerClient;
use crate::placer::zone_lease::{Holder, ZoneElector};
use crate::store::client::HttpStore;
use crate::store::mirror::Mirror;
use crate::store::Store;
use crate::telemetry;

/// Longest time to wait for open connections to close at the end of a drain, in milliseconds.
const MAX_LINGER_MS: u64 = 1_000;

/// A running placer daemon, active or on standby.
#[derive(Clone, Debug)]
pub struct PlacerDaemon {
    config: PlacerConfig,
    server: Server,
    session: Session,
    elector: ZoneElector,
    messages: Sender<Message>,
    is_draining: Arc<AtomicBool>,
}

/// State that the probe and metrics endpoints read.
#[derive(Clone, Debug)]
struct AppState {
    metrics: Metrics,
    mirror: Mirror,
    is_draining: Arc<AtomicBool>,
    /// Upgradable as long as the control thread runs.
    control: Weak<()>,
}

impl PlacerDaemon {
    /// Starts a placer, which is on standby until it acquires the lease of its zone.
    ///
    /// # Errors
    /// The address cannot be bound, or the control thread cannot be started.
    pub async fn start(config: PlacerConfig) -> eyre::Result<Self> {
        let pool = Pool::new(config.http.clone());
        let store: Arc<dyn Store> = Arc::new(HttpStore::new(config.store.clone(), pool.clone()));
        let mirror = Mirror::start(Arc::clone(&store), config.store.watch_wait_ms);
        let sources = Peers::new(
            config.membership.peers.clone(),
            pool.clone(),
            config.token.as_str(),
            config.zone.as_str(),
        );
        let feed = Feed::start_with_peers(mirror.clone(), Arc::clone(&store), sources);
        let (messages, inbox) = channel();
        let metrics = Metrics::new()?;
        let is_draining = Arc::new(AtomicBool::new(false));
        // The control thread owns the only strong reference, so that `/healthz` sees when it ends.
        let control_alive = Arc::new(());

        let mut app = tide::with_state(AppState {
            metrics: metrics.clone(),
            mirror: mirror.clone(),
            is_draining: Arc::clone(&is_draining),
            control: Arc::downgrade(&control_alive),
        });
        mount_probes(&mut app);
        peer::mount(&mut app, feed.clone(), config.token.as_str());
        let listener = TcpListener::bind(&config.address).await;
        let listener = listener.wrap_err_with(|| format!("cannot listen on {}", config.address))?;
        let address = listener.local_addr()?.to_string();
        let http = config.http.clone();
        let gateway =
            JobGateway::new(mirror.clone(), feed.clone(), pool.clone(), http, config.token.clone());
        gateway.with_local(&config.zone, &address, messages.clone()).mount(&mut app);
        let server = Server::start_on(listener, app, config.http.clone())
            .wrap_err("cannot start the HTTP server")?;
        server
            .budget()
            .register(&metrics.registry)
            .wrap_err("cannot register the metrics of the HTTP server")?;

        let worker_client = WorkerClient {
            pool,
            token: config.token.clone(),
            timeout_ms: config.worker_timeout_ms,
            messages: messages.clone(),
        };
        let control = Control::new(
            config.clone(),
            Arc::clone(&store),
            worker_client,
            metrics,
            messages.clone(),
        );
        let thread = std::thread::Builder::new().name("control".to_owned());
        let run = move || {
            let _control_alive = control_alive;
            control.run(inbox);
        };
        thread.spawn(run).wrap_err("cannot start the control thread")?;
        task::spawn(follow_declarations(feed.clone(), messages.clone()));

        let address = server.address().to_string();
        let session = Session::start(
            Arc::clone(&store),
            config.membership.clone(),
            member(&config, &address),
        );
        feed.report_to(&session);
        let holder = Holder { name: config.name.clone(), address };
        let zone = config.zone.clone();
        let elector =
            ZoneElector::start(&zone, holder, store, mirror, session.clone(), messages.clone());
        Ok(Self { config, server, session, elector, messages, is_draining })
    }

    /// Address that the daemon listens on, `IP:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Shuts down gracefully: releases the zone lease once all job records are stored. Running
    /// tasks continue.
    pub async fn drain(&self) -> Drained {
        self.is_draining.store(true, Ordering::Release);
        self.session.update(|member| member.is_leaving = true);
        let drain = Drain::new(self.config.drain.clone()).wait_for_balancer().await;
        let drain = drain.hand_over(self.hand_over()).await;
        self.server.begin_drain();
        let limit_ms = u64::try_from(drain.remaining().as_millis()).unwrap_or(MAX_LINGER_MS);
        let finished = async { self.server.shut_down(limit_ms.min(MAX_LINGER_MS)).await };
        let drained = drain.finish(finished).await;
        let _ = self.messages.send(Message::Stop);
        drained
    }

    /// Releases the zone lease, so that a standby acquires it without waiting for the session to
    /// expire, then ends the session.
    async fn hand_over(&self) {
        self.elector.stop();
        let (reply, answer) = async_channel::bounded(1);
        let _ = self.messages.send(Message::Drain(reply));
        if let Ok(Some(epoch)) = answer.recv().await {
            self.elector.release(epoch).await;
        }
        self.session.stop().await;
    }
}

fn member(config: &PlacerConfig, address: &str) -> Member {
    Member {
        name: config.name.clone(),
        role: Role::Placer,
        zone: config.zone.clone(),
        address: address.to_owned(),
        incarnation: clock::unix_ms(),
        config_revision: 0,
        is_leaving: false,
    }
}

async fn follow_declarations(feed: Feed, messages: Sender<Message>) {
    loop {
        feed.changed().await;
        if messages.send(Message::Declared(feed.current())).is_err() {
            return;
        }
    }
}

fn mount_probes(app: &mut tide::Server<AppState>) {
    app.at("/healthz").get(|request: tide::Request<AppState>| async move {
        let is_alive = request.state().control.strong_count() > 0;
        let status = if is_alive { StatusCode::Ok } else { StatusCode::InternalServerError };
        Ok(Response::new(status))
    });
    app.at("/readyz").get(|request: tide::Request<AppState>| async move {
        let state = request.state();
        let is_ready =
            !state.is_draining.load(Ordering::Acquire) && state.mirror.snapshot().revision.0 > 0;
        let status = if is_ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
        Ok(Response::new(status))
    });
    app.at("/metrics").get(|request: tide::Request<AppState>| async move {
        Ok(telemetry::metrics_response(&request.state().metrics.registry))
    });
}
