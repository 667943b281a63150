//! The control side of a daemon, as the daemons put it together.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use hemlockrock::clock;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::configs::membership::{MembershipConfig, PeersConfig};
use hemlockrock::configs::store::StoreConfig;
use hemlockrock::declarations::feed::Feed;
use hemlockrock::declarations::peer::{self, Peers};
use hemlockrock::http::client::Pool;
use hemlockrock::http::server::Server;
use hemlockrock::membership::{Member, Role, Session};
use hemlockrock::store::client::HttpStore;
use hemlockrock::store::mirror::Mirror;
use hemlockrock::store::Store;

/// Token of the cell in tests.
pub const TOKEN: &str = "a-token-for-tests";

/// The control side of a daemon.
#[derive(Debug)]
pub struct Daemon {
    pub store: Arc<dyn Store>,
    pub mirror: Mirror,
    pub session: Session,
    pub feed: Feed,
    pub server: Server,
}

impl Daemon {
    /// Starts one with the store at `store_address`; `peers` are asked in an outage.
    pub async fn start(name: &str, store_address: &str, peers: &[String]) -> Self {
        let config = store_config(store_address);
        let store = Arc::new(HttpStore::new(config, Pool::new(HttpConfig::default())));
        Self::start_on(name, store, peers).await
    }

    /// Starts one on a store.
    pub async fn start_on(name: &str, store: Arc<dyn Store>, peers: &[String]) -> Self {
        let watch_wait_ms = StoreConfig::default().watch_wait_ms;
        let mirror = Mirror::start(Arc::clone(&store), watch_wait_ms);
        let config = PeersConfig { addresses: peers.to_vec(), ..PeersConfig::default() };
        let peers = Peers::new(config, Pool::new(HttpConfig::default()), TOKEN, "mid-1");
        let feed = Feed::start_with_peers(mirror.clone(), Arc::clone(&store), peers);
        let mut app = tide::new();
        peer::mount(&mut app, feed.clone(), TOKEN);
        let server = Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap();
        let member = member(name, &server.address().to_string());
        let session = Session::start(Arc::clone(&store), MembershipConfig::default(), member);
        feed.report_to(&session);
        Self { store, mirror, session, feed, server }
    }

    /// Address for peers.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.feed.current().revision
    }
}

/// A member record.
pub fn member(name: &str, address: &str) -> Member {
    Member {
        name: name.to_owned(),
        role: Role::Entry,
        zone: "mid-1".to_owned(),
        address: address.to_owned(),
        incarnation: 1,
        config_revision: 0,
        is_leaving: false,
    }
}

/// Settings of a store client.
pub fn store_config(address: &str) -> StoreConfig {
    StoreConfig { address: address.to_owned(), ..StoreConfig::default() }
}

/// A client of its own.
pub fn client(address: &str) -> Arc<HttpStore> {
    let http = HttpConfig { max_body_bytes: 16 << 20, ..HttpConfig::default() };
    let config = StoreConfig { writes_per_s: 400, reads_per_s: 400, ..store_config(address) };
    Arc::new(HttpStore::new(config, Pool::new(http)))
}

/// Waits until `check` holds and returns how long that took; panics with `what` after `limit_ms`.
pub async fn eventually(what: &str, limit_ms: u64, mut check: impl FnMut() -> bool) -> u64 {
    const LOOK_EVERY_MS: u64 = 5;
    let began_ms = clock::now_ms();
    while !check() {
        assert!(clock::now_ms() < began_ms + limit_ms, "not in time: {what}");
        task::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
    }
    clock::now_ms() - began_ms
}
