//! The one shape in which every interface reports an error.

use serde::{Deserialize, Serialize};
use tide::{Response, StatusCode};

use crate::findings::Findings;

/// An error as callers and operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// HTTP status, not part of the body.
    #[serde(skip)]
    pub status: u16,
    /// Stable, machine-readable name of the error.
    pub code: String,
    /// What went wrong, for people.
    pub message: String,
    /// Findings with their places, if the input was checked.
    pub findings: Findings,
    /// When another try makes sense, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// An error without findings.
    ///
    /// ```
    /// use hemlockrock::http::error;
    ///
    /// let error = error::ApiError::new(404, "no_such_service", "service bread is not declared");
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

    /// Adds the findings of a check.
    #[must_use]
    pub fn with_findings(mut self, findings: Findings) -> Self {
        self.findings = findings;
        self
    }

    /// Says when another try makes sense.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The error as a JSON response.
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
