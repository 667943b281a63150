//! Settings of `hemlockctl`, the operators' command line.

use serde::{Deserialize, Serialize};

use crate::configs::http::HttpConfig;
use crate::configs::store::StoreConfig;
use crate::settings::{Report, Validate};

/// Settings of `hemlockctl`; command-line arguments override them.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CtlConfig {
    /// Client of the platform's store.
    pub store: StoreConfig,
    /// HTTP connections to the daemons and the store.
    pub http: HttpConfig,
    /// Address of an entry daemon, `IP:port`; empty if none is known.
    pub entry_address: String,
    /// Address of a placer daemon, `IP:port`; empty if none is known.
    pub placer_address: String,
    /// Path of the file that holds the token of the cell; empty for no token.
    pub token_file: String,
    /// Longest wait for a change to take effect in every daemon, in milliseconds, at least 1.
    pub apply_wait_ms: u64,
}

impl Default for CtlConfig {
    fn default() -> Self {
        let store = StoreConfig { writes_per_s: 60, reads_per_s: 200, ..StoreConfig::default() };
        let http = HttpConfig { max_body_bytes: 16 * 1024 * 1024, ..HttpConfig::default() };
        Self {
            store,
            http,
            entry_address: String::new(),
            placer_address: String::new(),
            token_file: String::new(),
            apply_wait_ms: 19_000,
        }
    }
}

impl Validate for CtlConfig {
    fn validate(&self, report: &mut Report<'_>) {
        report.nested("store", &self.store);
        report.nested("http", &self.http);
        for (path, address) in
            [("entry_address", &self.entry_address), ("placer_address", &self.placer_address)]
        {
            let known = address.is_empty() || address.parse::<std::net::SocketAddr>().is_ok();
            report.require(known, path, "expected IP:port");
        }
        report.require(self.apply_wait_ms > 0, "apply_wait_ms", "expected at least 1");
    }
}
