//! Requests of a test caller and the answers to them.

use std::time::Duration;

use hemlockrock::http::client::{self, Reply};
use http_types::Method;
use sha2::{Digest as _, Sha256};

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct TestRequest {
    service: String,
    headers: Vec<(String, String)>,
    body: String,
}

impl TestRequest {
    /// A request with an idempotency key, which may run only once.
    pub fn new(key: impl Into<String>) -> Self {
        Self::without_key().with_header("Idempotency-Key", &key.into())
    }

    /// A request without a key that is not marked as idempotent.
    pub fn without_key() -> Self {
        Self { service: "orders".to_owned(), headers: Vec::new(), body: "body".to_owned() }
    }

    /// An idempotent request without a key.
    pub fn idempotent() -> Self {
        Self::without_key().with_header("Hemlock-Idempotent", "true")
    }

    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the run time at the endpoint, in milliseconds.
    #[must_use]
    pub fn with_run_ms(self, run_ms: u64) -> Self {
        self.with_header("Hemlock-Standin-Run-Ms", &run_ms.to_string())
    }

    /// Sets the time until the deadline, in milliseconds.
    #[must_use]
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        self.with_header("Hemlock-Deadline-Ms", &deadline_ms.to_string())
    }

    #[must_use]
    pub fn with_body(mut self, body: impl Into<String>) -> Self {
        self.body = body.into();
        self
    }

    #[must_use]
    pub fn with_service(mut self, service: &str) -> Self {
        self.service = service.to_owned();
        self
    }

    /// Cancels a request by its key; returns the HTTP status of the answer.
    pub async fn cancel(address: &str, key: &str) -> u16 {
        let path = format!("/v1/services/orders/requests/{key}");
        let request = client::request(Method::Delete, address, &path).unwrap();
        let stream = client::connect(address, 2_000).await.unwrap();
        client::exchange(stream, request, 1 << 20).await.unwrap().status
    }

    /// Sends the request on a connection of its own and waits up to 60 seconds for the answer.
    pub async fn send(&self, address: &str) -> Answer {
        let path = format!("/v1/services/{}/requests", self.service);
        let mut request = client::request(Method::Post, address, &path).unwrap();
        request.set_body(self.body.as_bytes());
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        let exchange = async {
            let stream = client::connect(address, 2_000).await?;
            client::exchange(stream, request, 8 << 20).await
        };
        match async_std::future::timeout(Duration::from_secs(60), exchange).await {
            Ok(Ok(reply)) => {
                Answer { status: reply.status, reply: Some(reply), error: String::new() }
            }
            Ok(Err(error)) => Answer { status: 0, reply: None, error: error.to_string() },
            Err(_) => Answer { status: 0, reply: None, error: "no answer within 60 s".to_owned() },
        }
    }
}

/// Answer that a caller got; `status` is 0 if there was none.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub reply: Option<Reply>,
    /// Why there is no answer; empty if there is one.
    pub error: String,
}

impl Answer {
    /// Value of the outcome header; empty without an answer.
    pub fn outcome(&self) -> &str {
        self.reply.as_ref().and_then(|reply| reply.header("Hemlock-Outcome")).unwrap_or("")
    }

    /// Value of the request id header; empty without an answer.
    pub fn request_id(&self) -> &str {
        self.reply.as_ref().and_then(|reply| reply.header("Hemlock-Request-Id")).unwrap_or("")
    }

    /// Value of the reason header; empty if it is absent.
    pub fn reason(&self) -> &str {
        self.reply.as_ref().and_then(|reply| reply.header("Hemlock-Reason")).unwrap_or("")
    }

    pub fn body(&self) -> &[u8] {
        self.reply.as_ref().map_or(&[], |reply| &reply.body)
    }

    /// Whether this is the whole answer of an endpoint to a request with `body`.
    pub fn is_answer_to(&self, body: &str) -> bool {
        let digest = format!("{:x}", Sha256::digest(body.as_bytes()));
        let answer: Result<hemlockrock::standin::runner::RunAnswer, _> =
            serde_json::from_slice(self.body());
        answer.is_ok_and(|answer| answer.sha256 == digest)
    }

    /// Paths of the findings in an error answer.
    pub fn findings(&self) -> Vec<String> {
        let error: hemlockrock::http::error::ApiError =
            serde_json::from_slice(self.body()).unwrap();
        error.findings.items.into_iter().map(|finding| finding.path).collect()
    }
}
