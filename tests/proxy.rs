//! Checks each fault of the fault proxy: what arrives at the target and what the caller gets.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]

use async_std::task;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::{self, ExchangeError, Pool, Reply};
use hemlockrock::standin::proxy::{Fault, FaultKind, ProxyStandin};
use hemlockrock::standin::runner::{RunnerConfig, RunnerStandin};
use http_types::Method;

/// Timeout of a request, in milliseconds; with some faults no answer ever comes.
const TIMEOUT_MS: u64 = 400;

/// A runner stand-in, a proxy before it and a client that reaches it through the proxy.
struct ProxiedRunner {
    runner: RunnerStandin,
    proxy: ProxyStandin,
    pool: Pool,
}

impl ProxiedRunner {
    async fn new() -> Self {
        let runner = RunnerStandin::start(RunnerConfig::default()).await.unwrap();
        let proxy = ProxyStandin::start("127.0.0.1:0", runner.address()).await.unwrap();
        Self { runner, proxy, pool: Pool::new(HttpConfig::default()) }
    }

    async fn send(&self, key: &str) -> Result<Reply, ExchangeError> {
        let address = self.proxy.address();
        let mut request = client::request(Method::Post, &address, "/work").unwrap();
        request.insert_header("Idempotency-Key", key);
        request.set_body("body");
        self.pool.send(&address, request, TIMEOUT_MS).await
    }

    fn runs(&self, key: &str) -> usize {
        self.runner.records().runs_of(key)
    }
}

fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    #[allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]
    task::block_on(future)
}

#[test]
fn passes_requests_when_there_is_no_fault() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        assert_eq!(proxied.send("a").await.unwrap().status, 200);
        assert_eq!(proxied.runs("a"), 1);
    });
}

#[test]
fn a_lost_answer_leaves_the_request_run_and_unanswered() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.proxy.set_fault(Fault::new(FaultKind::LostAnswer));
        let error = proxied.send("a").await.unwrap_err();
        assert!(!error.is_not_sent(), "{error}");
        assert_eq!(proxied.runs("a"), 1);
    });
}

#[test]
fn a_cut_closes_connections_before_the_request_arrives() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.proxy.set_fault(Fault::new(FaultKind::Cut));
        proxied.send("a").await.unwrap_err();
        assert_eq!(proxied.runs("a"), 0);
        proxied.proxy.set_fault(Fault::default());
        assert_eq!(proxied.send("b").await.unwrap().status, 200);
    });
}

#[test]
fn silent_connections_stay_silent_while_new_ones_work() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.send("warm").await.unwrap();
        proxied.proxy.set_fault(Fault::new(FaultKind::Silent));
        proxied.proxy.set_fault(Fault::default());
        proxied.send("old").await.unwrap_err();
        assert_eq!(proxied.runs("old"), 0);
        assert_eq!(proxied.send("new").await.unwrap().status, 200);
    });
}

#[test]
fn half_open_connections_carry_requests_but_no_answers() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.proxy.set_fault(Fault::new(FaultKind::HalfOpen));
        proxied.send("a").await.unwrap_err();
        assert_eq!(proxied.runs("a"), 1);
    });
}

#[test]
fn dropped_and_reset_requests_do_not_arrive() {
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.proxy.set_fault(Fault::new(FaultKind::Drop));
        proxied.send("a").await.unwrap_err();
        proxied.proxy.set_fault(Fault::new(FaultKind::Reset));
        proxied.send("b").await.unwrap_err();
        assert_eq!(proxied.runs("a") + proxied.runs("b"), 0);
    });
}

#[test]
fn delays_hold_every_chunk() {
    const DELAY_MS: u64 = 60;
    run(async {
        let proxied = ProxiedRunner::new().await;
        proxied.proxy.set_fault(Fault::new(FaultKind::Delay).with_delay_us(DELAY_MS * 1_000));
        let start = std::time::Instant::now();
        proxied.send("a").await.unwrap();
        assert!(start.elapsed().as_millis() >= u128::from(2 * DELAY_MS));
    });
}
