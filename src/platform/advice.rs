//! The service that tells which runners may run a step.

use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http::client::{self, Pool};
use crate::queue::model::{Admission, StepId};

#[derive(Debug)]
#[derive(Serialize)]
struct Body<'a> {
    step: String,
    workers: &'a [String],
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Answer {
    #[serde(default)]
    admitted: Vec<Row>,
}

/// Runner and ticket.
#[derive(Debug)]
#[derive(Deserialize)]
struct Row(String, String);

/// Asks which of the `runners` may run the step.
///
/// # Errors
/// Why there is no advice; asking again does no harm.
pub async fn ask(
    pool: &Pool,
    address: &str,
    step: StepId,
    runners: &[String],
    timeout_ms: u64,
) -> Result<Vec<Admission>, String> {
    let body = Body { step: step.to_string(), workers: runners };
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    let request = client::request(Method::Post, address, "/advise");
    let mut request = request.map_err(|error| error.to_string())?;
    request.set_body(body);
    request.insert_header("Content-Type", "application/json");
    let reply = pool.send(address, request, timeout_ms).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    let answer: Answer = serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
    let rows = answer.admitted.into_iter();
    Ok(rows.map(|Row(runner, ticket)| Admission { runner, ticket }).collect())
}
