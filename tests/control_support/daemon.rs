//! Configuration and membership components of a daemon, wired as in the real daemons.

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

/// Shared token of the test cell.
pub const TOKEN: &str = "a-token-for-tests";

/// A daemon that only mirrors the store, keeps a session and applies declarations.
#[derive(Debug)]
pub struct Daemon {
    pub store: Arc<dyn Store>,
    pub mirror: Mirror,
    pub session: Session,
    pub feed: Feed,
    pub server: Server,
}

impl Daemon {
    /// Starts a daemon with the store at `store_address`. It asks `peers` for declarations while the
    /// store is unavailable.
    pub async fn start(name: &str, store_address: &str, peers: &[String]) -> Self {
        let config = store_config(store_address);
        let store = Arc::new(HttpStore::new(config, Pool::new(HttpConfig::default())));
        Self::start_with_store(name, store, peers).await
    }

    /// As [`Self::start`], with a given store client.
    pub async fn start_with_store(name: &str, store: Arc<dyn Store>, peers: &[String]) -> Self {
        let watch_wait_ms = StoreConfig::default().watch_wait_ms;
        let mirror = Mirror::start(Arc::clone(&store), watch_wait_ms);
        let config = PeersConfig { addresses: peers.to_vec(), ..PeersConfig::default() };
        let peers = Peers::new(config, Pool::new(HttpConfig::default()), TOKEN, "mid-1");
        let feed = Feed::start_with_peers(mirror.clone(), Arc::clone(&store), peers);
        let mut app = tide::new();
        peer::mount(&mut app, feed.clone(), TOKEN);
        let server = Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap();
        let member = member_record(name, &server.address().to_string());
        let session = Session::start(Arc::clone(&store), MembershipConfig::default(), member);
        feed.report_to(&session);
        Self { store, mirror, session, feed, server }
    }

    /// Address at which the daemon serves its peers.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Revision of the declarations that the daemon has applied.
    pub fn revision_in_force(&self) -> u64 {
        self.feed.current().revision
    }
}

/// Creates a member record of an entry host with incarnation 1.
pub fn member_record(name: &str, address: &str) -> Member {
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

/// Default store settings with this address.
pub fn store_config(address: &str) -> StoreConfig {
    StoreConfig { address: address.to_owned(), ..StoreConfig::default() }
}

/// Creates a store client for the test itself, with a larger call budget and body limit than the
/// daemons' clients.
pub fn client(address: &str) -> Arc<HttpStore> {
    let http = HttpConfig { max_body_bytes: 16 << 20, ..HttpConfig::default() };
    let config = StoreConfig { writes_per_s: 400, reads_per_s: 400, ..store_config(address) };
    Arc::new(HttpStore::new(config, Pool::new(http)))
}

/// Waits until `check` returns true and returns how long that took, in milliseconds. Panics with
/// `what` after `limit_ms`.
pub async fn eventually(what: &str, limit_ms: u64, mut check: impl FnMut() -> bool) -> u64 {
    const CHECK_INTERVAL_MS: u64 = 5;
    let began_ms = clock::now_ms();
    while !check() {
        assert!(clock::now_ms() < began_ms + limit_ms, "not within {limit_ms} ms: {what}");
        task::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
    clock::now_ms() - began_ms
}
