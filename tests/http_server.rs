//! Tests of the HTTP server that all daemons share.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]

use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use futures_lite::AsyncReadExt as _;
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::server::Server;

/// Time within which a draining server has to close its idle connections, in milliseconds; a drain
/// of a placer waits 1,000 ms for that.
const CLOSED_WITHIN_MS: u64 = 800;

#[test]
fn a_draining_server_closes_its_idle_connections_in_time_whenever_they_were_opened() {
    const OPENED_EVERY_MS: u64 = 60;
    block_on(async {
        let app = tide::new();
        let server = Server::start("127.0.0.1:0", app, HttpConfig::default()).await.unwrap();
        let mut idle = Vec::new();
        for _ in 0..10 {
            idle.push(TcpStream::connect(server.address()).await.unwrap());
            task::sleep(Duration::from_millis(OPENED_EVERY_MS)).await;
        }
        let begun = Instant::now();
        assert!(server.shut_down(CLOSED_WITHIN_MS).await, "after {:?}", begun.elapsed());
        for mut stream in idle {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.unwrap();
            assert_eq!(rest, b"", "closed without an answer");
        }
    });
}
