//! Sends of requests to endpoints, and the detection of requests that an endpoint no longer has.
#![allow(clippy::cast_precision_loss, reason = "times are far below 2^52")]

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::http::client::Reply;
use crate::outcome::Reason;
use crate::route::{self, EndpointKey, EndpointSignal, KindKey, RequestKey, SendResult};

use super::super::catalog;
use super::super::message::{EndpointReading, Input, ReadPurpose, RequestResult};
use super::super::send;
use super::ControlThread;

/// Age from which an endpoint is sure to count a request in its busy slots, in milliseconds.
const ARRIVED_AFTER_MS: u64 = 50;

/// Time after which the answer to a request that an endpoint no longer counts as busy is sure to
/// have arrived here, in milliseconds.
const ANSWERED_AFTER_MS: u64 = 50;

/// Value of `InFlight::missing_readings` at which a send is aborted.
const MISSING_LIMIT: u32 = 3;

/// Minimum age of the requests that are compared with the busy slots when an endpoint is checked
/// for missing requests, in milliseconds.
const SENT_AFTER_MS: u64 = 3;

/// Most kinds of work whose average run time is kept; beyond it all are dropped.
const MAX_KINDS: usize = 10_000;

/// A send to an endpoint that has not ended.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Endpoint that the request was sent to.
    pub(super) endpoint: EndpointKey,
    /// Start of the send, in milliseconds on the monotonic clock.
    pub(super) sent_ms: u64,
    /// Kind of work, for the moving average of its run time.
    kind: KindKey,
    /// Readings in which the endpoint did not seem to have the request, less those in which it did.
    missing_readings: u32,
    /// Aborts the send with the given reason.
    abort: async_channel::Sender<Reason>,
}

impl ControlThread {
    /// Sends a request to an endpoint in a task that reports the end with [`Input::Ended`].
    pub(super) fn begin_send(&mut self, request: RequestKey, endpoint: EndpointKey) {
        let held = self.ownership.held();
        let address = self.catalog.endpoint(endpoint).map(|found| found.address.clone());
        let submitted = self.waiting.get(&request).map(|found| Arc::clone(&found.submitted));
        let (Some(held), Some(address), Some(submitted)) = (held, address, submitted) else {
            self.control.send(not_sent(request, endpoint));
            return;
        };
        let (sender, abort) = async_channel::bounded(1);
        let sent_ms = clock::now_ms();
        let kind = catalog::kind_key(&submitted.service, &submitted.kind);
        self.in_flight.insert(
            request,
            InFlight { endpoint, sent_ms, kind, missing_readings: 0, abort: sender },
        );
        let job = send::SendJob {
            submitted,
            address,
            held,
            pool: self.deps.endpoints.clone(),
            may_reuse: self.deps.config.endpoints.reuse_connections,
            authority: self.deps.authority.clone(),
            abort,
        };
        let control = self.control.clone();
        task::spawn(async move {
            let send::SendReport { result, reply, signal } = send::send(job).await;
            control.send(Input::Ended { request, endpoint, result, reply, signal });
        });
    }

    /// Handles the end of a send.
    pub(super) fn end_send(
        &mut self,
        request: RequestKey,
        endpoint: EndpointKey,
        result: SendResult,
        reply: Option<Reply>,
        signal: Option<EndpointSignal>,
    ) {
        let sent = self.in_flight.remove(&request);
        self.close_if_released(endpoint);
        if signal == Some(EndpointSignal::Leaving) {
            self.record_leaving_report(endpoint, true);
        } else if let Some(signal) = signal {
            self.step(route::Event::Signal { endpoint, signal });
        }
        if matches!(result, SendResult::Lost { .. }) {
            if let Some(waiting) = self.waiting.get_mut(&request) {
                waiting.may_have_run = true;
            }
            self.count_lost(endpoint);
        }
        if let (Some(sent), SendResult::Done { ran_ms }) = (sent, result) {
            self.record_run_time(sent.kind, ran_ms);
        }
        if let Some(reply) = reply {
            self.finish(request, RequestResult::Answered(reply));
        }
        self.step(route::Event::SendEnded { request, endpoint, result });
    }

    /// Closes the pooled connections to an endpoint that this host no longer owns.
    fn close_if_released(&self, endpoint: EndpointKey) {
        if self.ownership.owned().contains_key(&endpoint) {
            return;
        }
        if let Some(declared) = self.catalog.endpoint(endpoint) {
            self.deps.endpoints.close_idle(&declared.address);
        }
    }

    /// Number of requests in flight to an endpoint.
    pub(super) fn in_flight_to(&self, endpoint: EndpointKey) -> u32 {
        let here = self.in_flight.values().filter(|sent| sent.endpoint == endpoint);
        u32::try_from(here.count()).unwrap_or(u32::MAX)
    }

    /// Requests in flight to an endpoint for at least `age_ms`.
    fn sent_before(&self, endpoint: EndpointKey, age_ms: u64) -> Vec<RequestKey> {
        let latest_ms = clock::now_ms().saturating_sub(age_ms);
        let here = self
            .in_flight
            .iter()
            .filter(|(_, sent)| sent.endpoint == endpoint && sent.sent_ms <= latest_ms);
        here.map(|(request, _)| *request).collect()
    }

    /// Reads the health of an endpoint in a task that reports it with [`Input::Read`].
    pub(super) fn read_endpoint(&mut self, endpoint: EndpointKey, purpose: ReadPurpose) {
        let Some(declared) = self.catalog.endpoint(endpoint) else { return };
        let address = declared.address.clone();
        let age_ms =
            if purpose == ReadPurpose::Progress { SENT_AFTER_MS } else { ARRIVED_AFTER_MS };
        let in_flight_before = self.sent_before(endpoint, age_ms);
        let was_idle = self.in_flight_to(endpoint) == 0;
        let timeout_ms = self.deps.config.endpoints.probe_timeout_ms;
        let control = self.control.clone();
        task::spawn(async move {
            let report = send::read_health(&address, timeout_ms).await;
            if purpose == ReadPurpose::Foreign {
                task::sleep(Duration::from_millis(ANSWERED_AFTER_MS)).await;
            }
            control.send(Input::Read(EndpointReading {
                endpoint,
                purpose,
                in_flight_before,
                was_idle,
                report,
            }));
        });
    }

    /// Handles the health that an endpoint reported.
    pub(super) fn handle_reading(&mut self, reading: &EndpointReading) {
        let endpoint = reading.endpoint;
        if reading.purpose == ReadPurpose::Probe {
            let signal = if reading.report.is_some() {
                EndpointSignal::ProbeSucceeded
            } else {
                EndpointSignal::ProbeFailed
            };
            self.step(route::Event::Signal { endpoint, signal });
        }
        if let Some(is_leaving) = reading.report.and_then(|report| report.is_leaving) {
            self.record_leaving_report(endpoint, is_leaving);
        }
        let still = |request: &&RequestKey| self.in_flight.contains_key(*request);
        let own_in_flight = reading.in_flight_before.iter().filter(still).count();
        let own_in_flight = u32::try_from(own_in_flight).unwrap_or(u32::MAX);
        match reading.purpose {
            ReadPurpose::Probe | ReadPurpose::Leaving => {}
            ReadPurpose::Foreign => self.update_foreign(endpoint, reading, own_in_flight),
            ReadPurpose::Progress => self.check_progress(reading, own_in_flight),
        }
    }

    /// Reads the endpoints that have requests without an answer for at least `progress_ms`.
    pub(super) fn read_late_endpoints(&mut self) {
        let late_ms = clock::now_ms().saturating_sub(self.deps.config.endpoints.progress_ms);
        let late = self.in_flight.values().filter(|sent| sent.sent_ms <= late_ms);
        let mut endpoints: Vec<EndpointKey> = late.map(|sent| sent.endpoint).collect();
        endpoints.sort();
        endpoints.dedup();
        for endpoint in endpoints {
            self.read_endpoint(endpoint, ReadPurpose::Progress);
        }
    }

    /// Aborts sends whose request the endpoint does not have any more because their connection went
    /// silent. If the endpoint counts fewer requests than are in flight, those that are latest for
    /// their kind are suspected.
    fn check_progress(&mut self, reading: &EndpointReading, own_in_flight: u32) {
        let Some(busy) = reading.report.and_then(|report| report.busy) else { return };
        let missing = own_in_flight.saturating_sub(busy) as usize;
        let late_ms = clock::now_ms().saturating_sub(self.deps.config.endpoints.progress_ms);
        let mut late: Vec<(f64, RequestKey)> = reading
            .in_flight_before
            .iter()
            .filter_map(|request| Some((self.in_flight.get(request)?, *request)))
            .filter(|(sent, _)| sent.sent_ms <= late_ms)
            .map(|(sent, request)| (self.lateness(sent), request))
            .collect();
        late.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        for (index, (_, request)) in late.into_iter().enumerate() {
            let Some(sent) = self.in_flight.get_mut(&request) else { continue };
            sent.missing_readings = if index < missing {
                sent.missing_readings + 1
            } else {
                sent.missing_readings.saturating_sub(1)
            };
            if sent.missing_readings >= MISSING_LIMIT {
                let _ = sent.abort.try_send(Reason::ConnectionLost);
            }
        }
    }

    /// Age of a request as a multiple of the average run time of its kind.
    fn lateness(&self, sent: &InFlight) -> f64 {
        let age_ms = clock::now_ms().saturating_sub(sent.sent_ms) as f64;
        age_ms / self.run_times.get(&sent.kind).copied().unwrap_or(1.0).max(1.0)
    }

    /// Updates the exponential moving average of the run time of a kind of work.
    fn record_run_time(&mut self, kind: KindKey, ran_ms: u64) {
        const SMOOTHING: f64 = 0.1;
        if self.run_times.len() >= MAX_KINDS {
            self.run_times.clear();
        }
        let ran_ms = ran_ms as f64;
        let average_ms = self.run_times.entry(kind).or_insert(ran_ms);
        *average_ms += (ran_ms - *average_ms) * SMOOTHING;
    }
}

fn not_sent(request: RequestKey, endpoint: EndpointKey) -> Input {
    let result = SendResult::NotSent;
    Input::Ended { request, endpoint, result, reply: None, signal: None }
}
