//! The fault proxy does to connections what it is told, and only that.
#![allow(clippy::unwrap_used, reason = "a test stops at what is missing")]

use async_std::task;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::{self, ExchangeError, Pool, Reply};
use hemlockrock::standin::proxy::{Fault, Kind, ProxyStandin};
use hemlockrock::standin::runner::{RunnerConfig, RunnerStandin};
use http_types::Method;

/// Longest wait for an answer that may never come.
const TIMEOUT_MS: u64 = 400;

struct Link {
    runner: RunnerStandin,
    proxy: ProxyStandin,
    pool: Pool,
}

impl Link {
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
    #[allow(clippy::disallowed_methods, reason = "the top of a test")]
    task::block_on(future)
}

#[test]
fn passes_requests_when_there_is_no_fault() {
    run(async {
        let link = Link::new().await;
        assert_eq!(link.send("a").await.unwrap().status, 200);
        assert_eq!(link.runs("a"), 1);
    });
}

#[test]
fn a_lost_answer_leaves_the_request_run_and_unanswered() {
    run(async {
        let link = Link::new().await;
        link.proxy.set_fault(Fault::new(Kind::LostAnswer));
        let error = link.send("a").await.unwrap_err();
        assert!(!error.is_not_sent(), "{error}");
        assert_eq!(link.runs("a"), 1);
    });
}

#[test]
fn a_cut_refuses_before_anything_arrives() {
    run(async {
        let link = Link::new().await;
        link.proxy.set_fault(Fault::new(Kind::Cut));
        link.send("a").await.unwrap_err();
        assert_eq!(link.runs("a"), 0);
        link.proxy.set_fault(Fault::default());
        assert_eq!(link.send("b").await.unwrap().status, 200);
    });
}

#[test]
fn silent_connections_stay_silent_while_new_ones_work() {
    run(async {
        let link = Link::new().await;
        link.send("warm").await.unwrap();
        link.proxy.set_fault(Fault::new(Kind::Silent));
        link.proxy.set_fault(Fault::default());
        link.send("old").await.unwrap_err();
        assert_eq!(link.runs("old"), 0);
        assert_eq!(link.send("new").await.unwrap().status, 200);
    });
}

#[test]
fn half_open_connections_carry_requests_but_no_answers() {
    run(async {
        let link = Link::new().await;
        link.proxy.set_fault(Fault::new(Kind::HalfOpen));
        link.send("a").await.unwrap_err();
        assert_eq!(link.runs("a"), 1);
    });
}

#[test]
fn drops_reach_nobody_and_resets_close_at_once() {
    run(async {
        let link = Link::new().await;
        link.proxy.set_fault(Fault::new(Kind::Drop));
        link.send("a").await.unwrap_err();
        link.proxy.set_fault(Fault::new(Kind::Reset));
        link.send("b").await.unwrap_err();
        assert_eq!(link.runs("a") + link.runs("b"), 0);
    });
}

#[test]
fn delays_hold_every_chunk() {
    const DELAY_MS: u64 = 60;
    run(async {
        let link = Link::new().await;
        link.proxy.set_fault(Fault::new(Kind::Delay).with_delay_us(DELAY_MS * 1_000));
        let start = std::time::Instant::now();
        link.send("a").await.unwrap();
        assert!(start.elapsed().as_millis() >= u128::from(2 * DELAY_MS));
    });
}
