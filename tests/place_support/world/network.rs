//! Calls between holders and workers: late, lost, or answered after the caller gave up.

use hemlockrock::inventory::WorkerKey;
use hemlockrock::place::Event;
use rand::RngExt as _;

use super::agents::Call;
use super::{World, STEP_MS};

/// Time after which a holder gives up a call.
const CALL_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
pub(super) enum Message {
    Call { id: u64, holder: usize, life: u64, epoch: u64, worker: usize, call: Call },
    Reply { id: u64, holder: usize, life: u64, event: Event },
    Timeout { id: u64, holder: usize, life: u64, event: Event },
}

impl World {
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
        let (id, life) = (self.next_id, self.holders[holder].life);
        self.open_calls.insert(id);
        if let Some(event) = lost {
            let at_ms = self.now_ms + CALL_TIMEOUT_MS;
            self.post(at_ms, Message::Timeout { id, holder, life, event });
        }
        if let Some(delay_ms) = self.trip() {
            let message = Message::Call { id, holder, life, epoch, worker, call };
            self.post(self.now_ms + delay_ms, message);
        }
    }

    /// Time of one trip, or nothing if the message is lost.
    pub(super) fn trip(&mut self) -> Option<u64> {
        if !self.random.random_bool(self.trouble) {
            return Some(self.random.random_range(0..2 * STEP_MS));
        }
        let is_late = self.random.random_bool(0.5);
        is_late.then(|| self.random.random_range(500..30_000))
    }

    pub(super) fn post(&mut self, at_ms: u64, message: Message) {
        self.next_id += 1;
        self.messages.push((at_ms, self.next_id, message));
    }

    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let messages = std::mem::take(&mut self.messages);
        let (mut due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.messages = later;
        due.sort_by_key(|(at_ms, id, _)| (*at_ms, *id));
        for (_, _, message) in due {
            match message {
                Message::Call { id, holder, life, epoch, worker, call } => {
                    if self.is_cut(holder, life, worker) {
                        continue;
                    }
                    let Some(event) = self.serve(epoch, worker, call) else { continue };
                    if let Some(delay_ms) = self.trip() {
                        let reply = Message::Reply { id, holder, life, event };
                        self.post(now_ms + delay_ms, reply);
                    }
                }
                Message::Reply { id, holder, life, event }
                | Message::Timeout { id, holder, life, event } => {
                    if self.open_calls.remove(&id) && self.holders[holder].life == life {
                        self.holders[holder].inbox.push(event);
                    }
                }
            }
        }
    }

    /// Messages of a process that was killed still arrive.
    pub(super) fn is_cut(&self, holder: usize, life: u64, worker: usize) -> bool {
        let holder = &self.holders[holder];
        holder.life == life && holder.cut_workers.contains(&worker)
    }
}
