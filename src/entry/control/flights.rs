//! Requests in flight from the control thread to endpoints.
#![allow(clippy::cast_precision_loss, reason = "times are far below 2^52")]

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::http::client::Reply;
use crate::outcome::Reason;
use crate::route::{self, EndpointKey, EndpointSignal, KindKey, RequestKey, SendResult};

use super::super::book;
use super::super::message::{Input, Purpose, Reading, Verdict};
use super::super::send;
use super::Thread;

/// Age from which an endpoint counts a request as its own for certain, in milliseconds.
const ARRIVED_AFTER_MS: u64 = 50;

/// Time in which the answer to a request that an endpoint no longer counts arrives here for
/// certain, in milliseconds.
const ANSWERED_AFTER_MS: u64 = 50;

/// Readings, less those that said otherwise, after which a request that the endpoint seems not to
/// have is given up.
const MISSED_LIMIT: u32 = 3;

/// Age from which a request counts when the endpoint's missing ones are looked for, in milliseconds.
const SENT_AFTER_MS: u64 = 3;

/// Kinds of work whose run time is kept.
const MAX_KINDS: usize = 10_000;

/// A request that was sent to an endpoint.
#[derive(Debug)]
pub(super) struct Flight {
    /// Where it was sent.
    pub(super) endpoint: EndpointKey,
    /// When, on the monotonic clock.
    pub(super) sent_ms: u64,
    /// Kind of work.
    kind: KindKey,
    /// Readings in which the endpoint seemed not to have it, less those in which it did.
    missed: u32,
    /// Ends the send early.
    abort: async_channel::Sender<Reason>,
}

impl Thread {
    /// Sends a request to an endpoint, in a task that reports how it ended.
    pub(super) fn begin_flight(&mut self, request: RequestKey, endpoint: EndpointKey) {
        let held = self.ownership.held();
        let address = self.book.endpoint(endpoint).map(|found| found.address.clone());
        let submitted = self.waiting.get(&request).map(|found| Arc::clone(&found.submitted));
        let (Some(held), Some(address), Some(submitted)) = (held, address, submitted) else {
            self.control.send(not_sent(request, endpoint));
            return;
        };
        let (sender, abort) = async_channel::bounded(1);
        let sent_ms = clock::now_ms();
        let kind = book::kind_key(&submitted.service, &submitted.kind);
        self.flights.insert(request, Flight { endpoint, sent_ms, kind, missed: 0, abort: sender });
        let job = send::Send {
            submitted,
            address,
            held,
            pool: self.parts.endpoints.clone(),
            may_reuse: self.parts.config.endpoints.reuse_connections,
            authority: self.parts.authority.clone(),
            abort,
        };
        let control = self.control.clone();
        task::spawn(async move {
            let sent = send::send(job).await;
            let send::Sent { result, reply, sign } = sent;
            control.send(Input::Ended { request, endpoint, result, reply, sign });
        });
    }

    /// Takes in the end of a send.
    pub(super) fn end_flight(
        &mut self,
        request: RequestKey,
        endpoint: EndpointKey,
        result: SendResult,
        reply: Option<Reply>,
        sign: Option<EndpointSignal>,
    ) {
        let flight = self.flights.remove(&request);
        self.close_if_released(endpoint);
        if sign == Some(EndpointSignal::Leaving) {
            self.take_word(endpoint, true);
        } else if let Some(sign) = sign {
            self.step(route::Event::Signal { endpoint, signal: sign });
        }
        if matches!(result, SendResult::Lost { .. }) {
            if let Some(waiting) = self.waiting.get_mut(&request) {
                waiting.may_have_run = true;
            }
            self.count_lost(endpoint);
        }
        if let (Some(flight), SendResult::Done { ran_ms }) = (flight, result) {
            self.note_run_time(flight.kind, ran_ms);
        }
        if let Some(reply) = reply {
            self.finish(request, Verdict::Answered(reply));
        }
        self.step(route::Event::SendEnded { request, endpoint, result });
    }

    /// Closes connections to an endpoint that another host owns by now.
    fn close_if_released(&self, endpoint: EndpointKey) {
        if self.ownership.owned().contains_key(&endpoint) {
            return;
        }
        if let Some(declared) = self.book.endpoint(endpoint) {
            self.parts.endpoints.forget(&declared.address);
        }
    }

    /// Requests in flight to an endpoint.
    pub(super) fn in_flight(&self, endpoint: EndpointKey) -> u32 {
        let here = self.flights.values().filter(|flight| flight.endpoint == endpoint);
        u32::try_from(here.count()).unwrap_or(u32::MAX)
    }

    /// Requests in flight to the endpoint for at least `age_ms`.
    fn sent_before(&self, endpoint: EndpointKey, age_ms: u64) -> Vec<RequestKey> {
        let latest_ms = clock::now_ms().saturating_sub(age_ms);
        let here = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.endpoint == endpoint && flight.sent_ms <= latest_ms);
        here.map(|(request, _)| *request).collect()
    }

    /// Asks an endpoint for its busy slots, in a task that reports the answer.
    pub(super) fn read_endpoint(&mut self, endpoint: EndpointKey, purpose: Purpose) {
        let Some(declared) = self.book.endpoint(endpoint) else { return };
        let address = declared.address.clone();
        let age_ms = if purpose == Purpose::Progress { SENT_AFTER_MS } else { ARRIVED_AFTER_MS };
        let in_flight_before = self.sent_before(endpoint, age_ms);
        let was_idle = self.in_flight(endpoint) == 0;
        let timeout_ms = self.parts.config.endpoints.probe_timeout_ms;
        let control = self.control.clone();
        task::spawn(async move {
            let said = send::read_health(&address, timeout_ms).await;
            if purpose == Purpose::Foreign {
                task::sleep(Duration::from_millis(ANSWERED_AFTER_MS)).await;
            }
            control.send(Input::Read(Reading {
                endpoint,
                purpose,
                in_flight_before,
                was_idle,
                said,
            }));
        });
    }

    /// Takes in what an endpoint said about itself.
    pub(super) fn take_reading(&mut self, reading: &Reading) {
        let endpoint = reading.endpoint;
        if reading.purpose == Purpose::Probe {
            let sign = if reading.said.is_some() {
                EndpointSignal::ProbeSucceeded
            } else {
                EndpointSignal::ProbeFailed
            };
            self.step(route::Event::Signal { endpoint, signal: sign });
        }
        if let Some(is_leaving) = reading.said.and_then(|said| said.is_leaving) {
            self.take_word(endpoint, is_leaving);
        }
        let still = |request: &&RequestKey| self.flights.contains_key(*request);
        let mine = reading.in_flight_before.iter().filter(still).count();
        let mine = u32::try_from(mine).unwrap_or(u32::MAX);
        match reading.purpose {
            Purpose::Probe | Purpose::Word => {}
            Purpose::Foreign => self.learn_foreign(endpoint, reading, mine),
            Purpose::Progress => self.judge_progress(reading, mine),
        }
    }

    /// Looks for requests that have been without an answer for long.
    pub(super) fn watch_progress(&mut self) {
        let late_ms = clock::now_ms().saturating_sub(self.parts.config.endpoints.progress_ms);
        let late = self.flights.values().filter(|flight| flight.sent_ms <= late_ms);
        let mut endpoints: Vec<EndpointKey> = late.map(|flight| flight.endpoint).collect();
        endpoints.sort();
        endpoints.dedup();
        for endpoint in endpoints {
            self.read_endpoint(endpoint, Purpose::Progress);
        }
    }

    /// Gives up requests that the endpoint does not have: their connections went silent.
    fn judge_progress(&mut self, reading: &Reading, mine: u32) {
        let Some(busy) = reading.said.and_then(|said| said.busy) else { return };
        let missing = mine.saturating_sub(busy) as usize;
        let late_ms = clock::now_ms().saturating_sub(self.parts.config.endpoints.progress_ms);
        let mut late: Vec<(f64, RequestKey)> = reading
            .in_flight_before
            .iter()
            .filter_map(|request| Some((self.flights.get(request)?, *request)))
            .filter(|(flight, _)| flight.sent_ms <= late_ms)
            .map(|(flight, request)| (self.lateness(flight), request))
            .collect();
        late.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        for (index, (_, request)) in late.into_iter().enumerate() {
            let Some(flight) = self.flights.get_mut(&request) else { continue };
            flight.missed =
                if index < missing { flight.missed + 1 } else { flight.missed.saturating_sub(1) };
            if flight.missed >= MISSED_LIMIT {
                let _ = flight.abort.try_send(Reason::ConnectionLost);
            }
        }
    }

    /// Age of a request as a multiple of the usual run time of its kind.
    fn lateness(&self, flight: &Flight) -> f64 {
        let age_ms = clock::now_ms().saturating_sub(flight.sent_ms) as f64;
        age_ms / self.run_times.get(&flight.kind).copied().unwrap_or(1.0).max(1.0)
    }

    fn note_run_time(&mut self, kind: KindKey, ran_ms: u64) {
        const SHARE: f64 = 0.1;
        if self.run_times.len() >= MAX_KINDS {
            self.run_times.clear();
        }
        let ran_ms = ran_ms as f64;
        let usual_ms = self.run_times.entry(kind).or_insert(ran_ms);
        *usual_ms += (ran_ms - *usual_ms) * SHARE;
    }
}

fn not_sent(request: RequestKey, endpoint: EndpointKey) -> Input {
    let result = SendResult::NotSent;
    Input::Ended { request, endpoint, result, reply: None, sign: None }
}
