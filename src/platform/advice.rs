//! Client of the advice service, which decides which runners may run a step.

use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::http::client::{self, Pool};
use crate::queue::model::{Admission, StepId};

#[derive(Debug)]
#[derive(Serialize)]
struct AdviceRequest<'a> {
    step: String,
    /// Names of the runners that the decision is about; the platform calls them workers here.
    workers: &'a [String],
}

#[derive(Debug)]
#[derive(Deserialize)]
struct AdviceResponse {
    #[serde(default)]
    admitted: Vec<AdmittedRow>,
}

/// Name of an admitted runner, and the ticket that proves its admission.
#[derive(Debug)]
#[derive(Deserialize)]
struct AdmittedRow(String, String);

/// Asks which of the `runners` may run the step. Runners that are missing from the answer may not.
///
/// # Errors
/// Returns a message with the reason why there is no advice. The request is safe to repeat.
pub async fn ask(
    pool: &Pool,
    address: &str,
    step: StepId,
    runners: &[String],
    timeout_ms: u64,
) -> Result<Vec<Admission>, String> {
    let body = AdviceRequest { step: step.to_string(), workers: runners };
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    let request = client::request(Method::Post, address, "/advise");
    let mut request = request.map_err(|error| error.to_string())?;
    request.set_body(body);
    request.insert_header("Content-Type", "application/json");
    let reply = pool.send(address, request, timeout_ms).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("the advice service answered with status {}", reply.status));
    }
    let answer: AdviceResponse =
        serde_json::from_slice(&reply.body).map_err(|error| error.to_string())?;
    let rows = answer.admitted.into_iter();
    Ok(rows.map(|AdmittedRow(runner, ticket)| Admission { runner, ticket }).collect())
}
