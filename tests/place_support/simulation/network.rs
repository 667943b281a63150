//! Simulated network between holders and workers: calls and responses may be late or lost, and a
//! response may arrive after the timeout of its call.

use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::Event;
use rand::RngExt as _;

use super::workers::Call;
use super::{Simulation, STEP_MS};

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// A message in flight; the incarnation is that of the calling process.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Call { id: u64, holder: usize, incarnation: u64, epoch: u64, worker: usize, call: Call },
    Reply { id: u64, holder: usize, incarnation: u64, event: Event },
    Timeout { id: u64, holder: usize, incarnation: u64, event: Event },
}

impl Simulation {
    /// Sends a call. `lost` is the event that the holder gets if no response arrives in time.
    pub(super) fn send(
        &mut self,
        holder: usize,
        epoch: u64,
        worker: WorkerKey,
        call: Call,
        lost: Option<Event>,
    ) {
        let Some(worker) = self.keys.iter().position(|key| *key == worker) else { return };
        self.next_id += 1;
        let (id, incarnation) = (self.next_id, self.holders[holder].incarnation);
        self.open_calls.insert(id);
        if let Some(event) = lost {
            let at_ms = self.now_ms + CALL_TIMEOUT_MS;
            self.post(at_ms, Message::Timeout { id, holder, incarnation, event });
        }
        if let Some(delay_ms) = self.random_delay_ms() {
            let message = Message::Call { id, holder, incarnation, epoch, worker, call };
            self.post(self.now_ms + delay_ms, message);
        }
    }

    /// Random delay of a message, in milliseconds; `None` if the message is lost.
    pub(super) fn random_delay_ms(&mut self) -> Option<u64> {
        if !self.random.random_bool(self.fault_probability) {
            return Some(self.random.random_range(0..2 * STEP_MS));
        }
        let is_late = self.random.random_bool(0.5);
        is_late.then(|| self.random.random_range(500..30_000))
    }

    pub(super) fn post(&mut self, at_ms: u64, message: Message) {
        self.next_id += 1;
        self.messages.push((at_ms, self.next_id, message));
    }

    /// Delivers all messages that are due, in order of time and sending.
    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let messages = std::mem::take(&mut self.messages);
        let (mut due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.messages = later;
        due.sort_by_key(|(at_ms, id, _)| (*at_ms, *id));
        for (_, _, message) in due {
            match message {
                Message::Call { id, holder, incarnation, epoch, worker, call } => {
                    if self.is_disconnected(holder, incarnation, worker) {
                        continue;
                    }
                    let Some(event) = self.handle_call(epoch, worker, call) else { continue };
                    if let Some(delay_ms) = self.random_delay_ms() {
                        let reply = Message::Reply { id, holder, incarnation, event };
                        self.post(now_ms + delay_ms, reply);
                    }
                }
                Message::Reply { id, holder, incarnation, event }
                | Message::Timeout { id, holder, incarnation, event } => {
                    if self.open_calls.remove(&id)
                        && self.holders[holder].incarnation == incarnation
                    {
                        self.holders[holder].inbox.push(event);
                    }
                }
            }
        }
    }

    /// Whether the holder is disconnected from the worker. Calls that a killed process has sent are
    /// still delivered.
    pub(super) fn is_disconnected(&self, holder: usize, incarnation: u64, worker: usize) -> bool {
        let holder = &self.holders[holder];
        holder.incarnation == incarnation && holder.disconnected_workers.contains(&worker)
    }
}
