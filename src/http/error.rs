//! JSON error body shared by all HTTP interfaces.

use serde::{Deserialize, Serialize};
use tide::{Response, StatusCode};

use crate::findings::Findings;

/// An error response. All fields except the status are the JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// HTTP status code; not part of the body. 0 after decoding a body.
    #[serde(skip)]
    pub status: u16,
    /// Stable, machine-readable error code, such as `no_such_service`.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Problems found in the input, with their locations; empty if the error is not about input.
    pub findings: Findings,
    /// Time after which a retry is worthwhile, in milliseconds; `None` if no such time is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// Creates an error without findings or a retry time.
    ///
    /// ```
    /// use hemlockrock::http::error;
    ///
    /// let error = error::ApiError::new(404, "no_such_service", "service web is not declared");
    /// assert_eq!(error.status, 404);
    /// ```
    pub fn new(status: u16, code: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.into(),
            message: message.into(),
            findings: Findings::new(),
            retry_after_ms: None,
        }
    }

    /// Sets the findings.
    #[must_use]
    pub fn with_findings(mut self, findings: Findings) -> Self {
        self.findings = findings;
        self
    }

    /// Sets the time after which a retry is worthwhile, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Converts the error into a JSON response; a retry time also sets `Retry-After`, in whole
    /// seconds.
    pub fn to_response(&self) -> Response {
        const MS_PER_S: u64 = 1_000;
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut builder = Response::builder(status).content_type("application/json").body(body);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
            builder = builder.header("Retry-After", seconds.to_string());
        }
        builder.build()
    }
}
