//! Reading of large prefixes while calls to the store fail, and through slow links.

#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "the test blocks on its own futures")]

use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::io::WriteExt as _;
use async_std::net::TcpListener;
use async_std::task;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::client::{self, ExchangeError, ExchangeLimits, Pool};
use hemlockrock::standin::store::State;
use hemlockrock::store::pages::PageReader;
use hemlockrock::store::{
    Answer, BoxFuture, Expect, Operation, Priority, Revision, Store, StoreError,
};

const ENTRIES: usize = 2_300;

/// A store of which every other page cannot be read.
#[derive(Debug)]
struct FlakyStore {
    state: Mutex<State>,
    reads: Mutex<Vec<Option<String>>>,
}

impl FlakyStore {
    fn new() -> Self {
        let mut state = State::new();
        for number in 0..ENTRIES {
            state.apply(put(&format!("job/{number:05}")), 0);
        }
        state.apply(put("other"), 0);
        Self { state: Mutex::new(state), reads: Mutex::default() }
    }
}

fn put(key: &str) -> Operation {
    Operation::Put { key: key.to_owned(), value: "1".into(), expect: Expect::Any, lease: None }
}

impl Store for FlakyStore {
    fn call(
        &self,
        operation: Operation,
        _priority: Priority,
    ) -> BoxFuture<'_, Result<Answer, StoreError>> {
        Box::pin(async move {
            let Operation::ListPage { after, .. } = &operation else {
                return Err(StoreError::OverBudget);
            };
            let mut reads = self.reads.lock().unwrap();
            reads.push(after.clone());
            if reads.len() % 2 == 0 {
                return Err(StoreError::Unavailable("test".to_owned()));
            }
            Ok(self.state.lock().unwrap().apply(operation, 0))
        })
    }
}

#[async_std::test]
async fn a_read_continues_with_the_page_that_failed() {
    let store = FlakyStore::new();
    let mut reader = PageReader::new("job/");
    let mut failures = 0;
    let revision = loop {
        match reader.read(&store).await {
            Ok(revision) => break revision,
            Err(_) => failures += 1,
        }
        // A write between two pages does not change the revision from which to watch.
        store.state.lock().unwrap().apply(put("other"), 0);
    };
    assert_eq!(revision, Revision(ENTRIES as u64 + 1));
    assert!(failures > 0);
    let keys: Vec<&str> = reader.entries().iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys.len(), ENTRIES);
    assert!(keys.is_sorted());
    let first_pages = store.reads.lock().unwrap().iter().filter(|after| after.is_none()).count();
    assert_eq!(first_pages, 1, "the first page was read again");
}

/// Serves one response whose body arrives in parts; returns the address.
async fn serve_slowly(parts: usize, pause: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", parts * 4);
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..parts {
            task::sleep(pause).await;
            if stream.write_all(b"part").await.is_err() {
                return;
            }
        }
        task::sleep(Duration::from_secs(5)).await;
    });
    address
}

async fn get(address: &str, limits: ExchangeLimits) -> Result<usize, ExchangeError> {
    let request = client::request(http_types::Method::Get, address, "/").unwrap();
    let reply = Pool::new(HttpConfig::default()).send_within(address, request, limits).await?;
    Ok(reply.body.len())
}

#[async_std::test]
async fn a_response_may_take_longer_than_its_time_limit_while_it_keeps_arriving() {
    let address = serve_slowly(10, Duration::from_millis(60)).await;
    let length = get(&address, ExchangeLimits::while_progressing(300)).await;
    assert_eq!(length.unwrap(), 40);
}

#[async_std::test]
async fn a_response_that_stops_arriving_times_out() {
    let address = serve_slowly(3, Duration::from_millis(900)).await;
    let begun = Instant::now();
    let error = get(&address, ExchangeLimits::while_progressing(300)).await.unwrap_err();
    assert!(matches!(error, ExchangeError::TimedOut(_)), "{error}");
    assert!(error.to_string().contains(&address), "{error}");
    assert!(begun.elapsed() < Duration::from_millis(900));
}
