//! Limits of the HTTP server: what is inside them is served, and what exhausts them is refused or
//! closed so that others are served.
#![allow(clippy::unwrap_used, reason = "tests panic on unexpected values")]
#![allow(clippy::disallowed_methods, reason = "tests block their own thread")]

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use hemlockrock::configs::http::HttpConfig;
use hemlockrock::http::server::{self, Server};
use hemlockrock::platform::settings;
use hemlockrock::queue::server_limits::ServerLimits;

/// Guards against heads inside the limit that the HTTP library refuses: it takes less than 8 KiB
/// and at most 128 headers.
#[test]
fn heads_up_to_the_limit_reach_the_application_whole() {
    const LIMIT: usize = 16 * 1024;
    block_on(async {
        let server = echo_server(HttpConfig::default()).await;
        for header_bytes in [20, 60, 4_000] {
            for length in [8_191, 8_192, 8_193, 12_000, LIMIT] {
                let (head, headers) = head_of(length, header_bytes);
                assert_eq!(head.len(), length);
                let mut stream = TcpStream::connect(server.address()).await.unwrap();
                for _ in 0..2 {
                    let answer = exchange(&mut stream, head.as_bytes()).await;
                    let expected = format!("{headers} 0");
                    assert!(answer.ends_with(&expected), "{length} {header_bytes}: {answer}");
                }
            }
        }
        let (head, _) = head_of(LIMIT + 1, 60);
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let answer = exchange(&mut stream, head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    });
}

/// Guards against bodies and heads inside the limits that are refused because they arrive slowly or
/// in small pieces, and against a second request that is lost behind the first.
#[test]
fn requests_inside_the_limits_are_served_however_they_arrive() {
    const BODY_BYTES: usize = 262_144;
    block_on(async {
        let server = echo_server(HttpConfig::default()).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        for piece in b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello".chunks(16) {
            stream.write_all(piece).await.unwrap();
            task::sleep(Duration::from_millis(300)).await;
        }
        let answer = exchange(&mut stream, b"").await;
        assert!(answer.ends_with("\r\n\r\n0 5"), "{answer}");
        for chunk in [1_000, 65_536, BODY_BYTES] {
            let mut request =
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            let body = vec![b'x'; BODY_BYTES];
            for part in body.chunks(chunk) {
                request.extend(format!("{:x}\r\n", part.len()).into_bytes());
                request.extend(part);
                request.extend(b"\r\n");
            }
            request.extend(b"0\r\n\r\n");
            let answer = exchange(&mut stream, &request).await;
            assert!(answer.ends_with(&format!("\r\n\r\n0 {BODY_BYTES}")), "{chunk}: {answer}");
        }
        let two = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2);
        stream.write_all(two.as_bytes()).await.unwrap();
        for _ in 0..2 {
            let answer = exchange(&mut stream, b"").await;
            assert!(answer.ends_with("\r\n\r\n0 0"), "{answer}");
        }
    });
}

/// Guards against unfinished bodies that keep ordinary requests from being served: the bodies that
/// have stalled for the longest time are aborted with 503, and their memory is released.
#[test]
fn stalled_bodies_are_aborted_for_an_ordinary_request() {
    const CROWD: usize = 24;
    block_on(async {
        let config = HttpConfig { max_inflight_bytes: 4 * 1024 * 1024, ..HttpConfig::default() };
        let server = echo_server(config).await;
        let mut stalled = Vec::new();
        for _ in 0..CROWD {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 260000\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            // The server may have aborted this body already.
            let _ = stream.write_all(&vec![b'x'; 259_999]).await;
            stalled.push(stream);
        }
        task::sleep(Duration::from_millis(400)).await;
        let mut ordinary = TcpStream::connect(server.address()).await.unwrap();
        let request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
        let answer = exchange(&mut ordinary, request).await;
        assert!(answer.ends_with("\r\n\r\n0 5"), "{answer}");
        assert!(server.budget().used_bytes() <= 4 * 1024 * 1024);
        drop(stalled);
        for _ in 0..200 {
            if server.budget().used_bytes() == 0 {
                return;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        panic!("{} bytes are still charged", server.budget().used_bytes());
    });
}

/// Guards against bodies that arrive byte by byte: an ordinary request is much smaller than they
/// are, and gets memory from the largest one.
#[test]
fn a_small_request_is_served_beside_large_bodies_that_make_progress() {
    const CROWD: usize = 24;
    block_on(async {
        let config = HttpConfig { max_inflight_bytes: 4 * 1024 * 1024, ..HttpConfig::default() };
        let server = echo_server(config).await;
        let mut slow = Vec::new();
        for _ in 0..CROWD {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            slow.push(task::spawn(async move {
                let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n";
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'x'; 240_000]).await?;
                loop {
                    stream.write_all(b"x").await?;
                    task::sleep(Duration::from_millis(20)).await;
                }
                #[allow(unreachable_code, reason = "names the type of the error")]
                Ok::<(), std::io::Error>(())
            }));
        }
        task::sleep(Duration::from_millis(400)).await;
        let mut ordinary = TcpStream::connect(server.address()).await.unwrap();
        let request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
        let answer = exchange(&mut ordinary, request).await;
        assert!(answer.ends_with("\r\n\r\n0 5"), "{answer}");
        for stream in slow {
            stream.cancel().await;
        }
    });
}

/// Guards against limits that exceed the memory or the descriptors of a host, or that leave no room
/// for the callers of the smallest one.
#[test]
fn the_limits_of_a_host_follow_from_its_settings() {
    let limits = |text: &str| {
        let settings = format!(
            r#"{{"node-name":"h","ip":"127.0.0.1","zone":"z","internal-ports":[1],{text}
            "listen-addrs":{{"front":"127.0.0.1:2","ready":"127.0.0.1:3"}},
            "platform":{{"address":"127.0.0.1:4"}}}}"#
        );
        ServerLimits::new(&settings::decode(settings.as_bytes()).unwrap())
    };
    let smallest = limits(r#""limits":{"memory-mb":120,"max-fds":3075},"#);
    let expected = ServerLimits {
        inflight_bytes: 45 * 1024 * 1024,
        front_connections: 1_447,
        peer_connections: 500,
        probe_connections: 64,
    };
    assert_eq!(smallest, expected);
    for text in ["", r#""limits":{"memory-mb":0,"max-fds":300},"#] {
        let limits = limits(text);
        assert!(limits.inflight_bytes >= 4 * 1024 * 1024, "{limits:?}");
        assert!(limits.front_connections >= 16, "{limits:?}");
    }
}

/// Guards against connections that are held open by the rest of a body that nobody reads.
#[test]
fn the_rest_of_an_unread_body_is_not_awaited_without_end() {
    block_on(async {
        let config = HttpConfig { answer_timeout_ms: 200, ..HttpConfig::default() };
        let server = Server::start("127.0.0.1:0", tide::new(), config).await.unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 404 "), "answered, then closed");
    });
}

/// Guards against new callers that find all connections taken by others that send nothing.
#[test]
fn the_oldest_connections_without_a_request_make_room_for_new_ones() {
    const LIMIT: usize = 8;
    block_on(async {
        let config = HttpConfig { max_connections: LIMIT, ..HttpConfig::default() };
        let server = echo_server(config).await;
        let mut kept = TcpStream::connect(server.address()).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        assert!(exchange(&mut kept, request).await.ends_with("0 0"));
        let mut idle = Vec::new();
        for _ in 0..4 * LIMIT {
            idle.push(TcpStream::connect(server.address()).await.unwrap());
        }
        let mut late = TcpStream::connect(server.address()).await.unwrap();
        assert!(exchange(&mut late, request).await.ends_with("0 0"), "a new caller is served");
        assert!(exchange(&mut kept, request).await.ends_with("0 0"), "a used connection is kept");
        assert!(server.connections() <= LIMIT);
    });
}

/// Server that answers with the number of `X-` headers and the length of the body.
async fn echo_server(config: HttpConfig) -> Server {
    let mut app = tide::with_state(config.clone());
    app.at("/").all(|mut request: tide::Request<HttpConfig>| async move {
        let limits = request.state().clone();
        let body = match server::read_body(&mut request, &limits).await {
            Ok(body) => body,
            Err(error) => return Ok(error.to_response()),
        };
        let is_own = |name: &http_types::headers::HeaderName| name.as_str().starts_with("x-");
        let headers = request.iter().filter(|(name, _)| is_own(name)).count();
        Ok(tide::Response::from(format!("{headers} {}", body.len())))
    });
    Server::start("127.0.0.1:0", app, config).await.unwrap()
}

/// A head of exactly `length` bytes whose headers are about `header_bytes` long, and the number of
/// these headers.
fn head_of(length: usize, header_bytes: usize) -> (String, usize) {
    let mut head = "GET / HTTP/1.1\r\nHost: a\r\n".to_owned();
    let mut headers = 0;
    while head.len() + 2 < length {
        let rest = length - 2 - head.len();
        let size = if rest < 2 * header_bytes.max(20) { rest } else { header_bytes };
        let name = format!("X-{headers:04}: ");
        head.push_str(&format!("{name}{}\r\n", "v".repeat(size - name.len() - 2)));
        headers += 1;
    }
    (head + "\r\n", headers)
}

/// Sends `request` and reads one answer with a declared length.
async fn exchange(stream: &mut TcpStream, request: &[u8]) -> String {
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let mut byte = [0_u8; 1];
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.unwrap();
        answer.extend(byte);
    }
    let head = String::from_utf8(answer.clone()).unwrap().to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    let mut body = vec![0_u8; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    answer.extend(body);
    String::from_utf8(answer).unwrap()
}
