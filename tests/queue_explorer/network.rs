//! Calls from hosts to runners, and what runners do with them.

use hemlockrock::queue::model::{OrderError, RunEnd, TaskId};
use hemlockrock::queue::scheduler::{Event, OrderResult, RunnerKey};
use rand::RngExt as _;

use super::agenda::Occurrence;
use super::call::{Answer, Call, Order};
use super::faults::Fate;
use super::host;
use super::load;
use super::runner::{Run, WaitingHold};
use super::trace::Subject;
use super::world::World;

/// Number of orders for each at which its host freezes.
const ORDERS_PER_FREEZE: u32 = 400;

/// Longest time that a stop takes, in milliseconds.
const STOP_GRACE_MS: u64 = 300;

impl World {
    /// Delay of a message between a host and a runner, in milliseconds.
    fn message_delay_ms(&mut self) -> u64 {
        if self.rng.random_ratio(1, 25) {
            self.rng.random_range(50..=500)
        } else {
            self.rng.random_range(1..=6)
        }
    }

    pub(super) fn send_call(
        &mut self,
        host: usize,
        key: RunnerKey,
        name: &str,
        token: u64,
        order: Order,
    ) {
        self.call_count += 1;
        let id = self.call_count;
        let epoch = self.hosts[host].epoch;
        if order.extends_lease() {
            self.hosts[host].ordered_ms = self.now_ms;
        }
        let Some(term) = &mut self.hosts[host].term else { return };
        let runner = host::runner_position(name);
        term.calls.insert(id);
        let highest = term.sent_tokens.entry(runner).or_default();
        *highest = token.max(*highest);
        let call = Call { id, host, epoch, runner, key, token, sent_ms: self.now_ms, order };
        let fate =
            if self.has_faults() { self.faults.call_fate(&mut self.rng) } else { Fate::Answered };
        if call.order.task().is_some() || fate != Fate::Answered {
            self.note(subject(&call), || format!("sent: {call} ({fate:?})"));
        }
        let frozen_ms = self.freeze_before_sending(host);
        match fate {
            Fate::Answered => {}
            Fate::Late(late_ms) => self.disturb_for(frozen_ms + late_ms),
            Fate::Lost | Fate::Unanswered => self.disturb_for(frozen_ms),
        }
        let timeout_ms = frozen_ms + self.config.order_timeout_ms + order.wait_ms();
        self.plan(timeout_ms, Occurrence::CallTimeout(call));
        let delay_ms = frozen_ms + self.message_delay_ms();
        match fate {
            Fate::Answered => {
                self.plan(delay_ms, Occurrence::CallArrival { call, is_unanswered: false });
            }
            Fate::Unanswered => {
                self.plan(delay_ms, Occurrence::CallArrival { call, is_unanswered: true });
            }
            Fate::Late(late_ms) => {
                self.plan(
                    frozen_ms + late_ms,
                    Occurrence::CallArrival { call, is_unanswered: true },
                );
            }
            Fate::Lost => {}
        }
    }

    /// Freezes a host between the decision on an order and its sending, now and then; returns the
    /// time until the order is sent, in milliseconds.
    fn freeze_before_sending(&mut self, host: usize) -> u64 {
        let is_exposed = self.faults.leader_gap_ms > 0 && self.has_faults();
        if is_exposed && self.rng.random_range(0..ORDERS_PER_FREEZE) == 0 {
            self.freeze_host(host);
        }
        self.hosts[host].frozen_until_ms.saturating_sub(self.now_ms)
    }

    pub(super) fn call_arrival(&mut self, call: Call, is_unanswered: bool) {
        let runner = &self.runners[call.runner];
        if self.now_ms < runner.cut_until_ms || runner.is_gone {
            return;
        }
        if !runner.is_up {
            self.answer(call, call.order.failure(OrderError::NotSent), is_unanswered);
            return;
        }
        for runner in 0..self.runners.len() {
            self.advance_runner(runner);
        }
        if !self.runners[call.runner].accept_token(call.token) {
            self.note(subject(&call), || format!("refused by its token: {call}"));
            self.answer(call, call.order.failure(OrderError::Fenced), is_unanswered);
            return;
        }
        self.runners[call.runner].mark_reached(call.sent_ms);
        match call.order {
            Order::Start { task, run, until_ms } => {
                let result = self.carry_out_start(&call, (task, run), until_ms);
                let clock_ms = self.runners[call.runner].clock_ms(self.now_ms);
                self.answer(call, Answer::Order(result.map(|()| clock_ms)), is_unanswered);
            }
            Order::Stop { task, run } => {
                let grace_ms = self.rng.random_range(0..=STOP_GRACE_MS);
                self.runners[call.runner].stop(task, run, grace_ms, self.now_ms);
                self.note(subject(&call), || format!("carried out: {call}"));
                self.plan_wake(call.runner, self.now_ms + grace_ms);
                let clock_ms = self.runners[call.runner].clock_ms(self.now_ms);
                self.answer(call, Answer::Order(Ok(clock_ms)), is_unanswered);
            }
            Order::Hold { until_ms, last_seen, wait_ms } => {
                self.carry_out_hold(&call, until_ms, last_seen);
                if self.runners[call.runner].must_wait(&call.order) {
                    let until_ms = self.now_ms + wait_ms;
                    let hold = WaitingHold { call, until_ms, is_unanswered };
                    self.runners[call.runner].holds.push(hold);
                    self.plan_wake(call.runner, until_ms);
                } else {
                    self.answer_hold(call, is_unanswered);
                }
            }
        }
    }

    fn carry_out_start(
        &mut self,
        call: &Call,
        (task, run): (TaskId, u64),
        until_ms: u64,
    ) -> Result<(), OrderError> {
        let now_ms = self.now_ms;
        let at = call.runner;
        self.runners[at].extend_lease(until_ms, now_ms);
        let admission = self.runners[at].admit(task, run, until_ms, now_ms);
        let life = self.runners[at].life;
        self.note(subject(call), || {
            format!("carried out by life {life}: {call}, here already: {admission:?}")
        });
        if admission? {
            return Ok(());
        }
        let is_stray = self.runners[at].takes_stray(call.sent_ms);
        self.checks.start(&self.runners, at, (task, run), is_stray, now_ms);
        let cpu_millis = self.checks.cpu_millis(task);
        self.lateness.start(task);
        let (run_ms, end) = self.draw_run(task);
        let ends_ms = now_ms + run_ms;
        self.runners[at]
            .running
            .insert((task, run), Run { cpu_millis, begun_ms: now_ms, ends_ms, end, is_stray });
        self.plan_wake(at, ends_ms);
        self.plan_wake(at, self.runners[at].lease_ends_ms());
        Ok(())
    }

    /// Draws how long a run of a task lasts, in milliseconds, and how it ends.
    fn draw_run(&mut self, task: TaskId) -> (u64, RunEnd) {
        if self.checks.is_long_running(task) {
            return load::long_run(&mut self.rng);
        }
        let run_ms = self.rng.random_range(load::RUN_MS.0..=load::RUN_MS.1);
        let plan = self.plans.iter().find(|plan| plan.submission.id == task.step.job);
        let failed_percent = plan.map_or(0, |plan| plan.failed_percent);
        if self.rng.random_range(0..100) < failed_percent {
            (run_ms, RunEnd::Failed)
        } else {
            (run_ms, RunEnd::Done)
        }
    }

    fn carry_out_hold(&mut self, call: &Call, until_ms: Option<u64>, last_seen: u64) {
        let now_ms = self.now_ms;
        let runner = &mut self.runners[call.runner];
        if let Some(until_ms) = until_ms {
            runner.extend_lease(until_ms, now_ms);
        }
        let forgotten = runner.acknowledge(last_seen);
        let (life, lease_ends_ms) = (runner.life, runner.lease_ends_ms());
        self.plan_wake(call.runner, lease_ends_ms);
        self.note(subject(call), || format!("carried out by life {life}: {call}"));
        for ended in forgotten {
            let task = Subject::Task(ended.task, call.runner);
            self.note(task, || {
                format!("end {} of run {} is acknowledged by {call}", ended.number, ended.run)
            });
            let runner = &self.runners[call.runner];
            let is_stray = runner.takes_stray(call.sent_ms);
            self.checks.acknowledge(call.runner, runner, &ended, is_stray, now_ms);
        }
    }

    /// Plans to look at a runner, in its current life.
    fn plan_wake(&mut self, runner: usize, at_ms: u64) {
        let life = self.runners[runner].life;
        let at_ms = at_ms.max(self.now_ms);
        self.agenda.plan(at_ms, Occurrence::RunnerWake { runner, life });
    }

    /// Ends the runs of a runner that are due.
    pub(super) fn advance_runner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let life = self.runners[at].life;
        for ended in self.runners[at].advance(now_ms) {
            self.checks.end(at, life, &ended);
            self.note(Subject::Task(ended.task, at), || {
                let (number, run, end) = (ended.number, ended.run, ended.end);
                format!("run {run} ends at r{at} (life {life}) as {end:?}, end {number}")
            });
        }
    }

    pub(super) fn wake_runner(&mut self, at: usize, life: u64) {
        if self.runners[at].life != life || !self.runners[at].is_up {
            return;
        }
        self.advance_runner(at);
        for hold in self.runners[at].take_due_holds(self.now_ms) {
            self.answer_hold(hold.call, hold.is_unanswered);
        }
    }

    fn answer_hold(&mut self, call: Call, is_unanswered: bool) {
        let status = self.runners[call.runner].status(self.now_ms);
        self.answer(call, Answer::Hold(Ok(status)), is_unanswered);
    }

    /// Sends the answer to a call, unless it gets lost.
    fn answer(&mut self, call: Call, answer: Answer, is_unanswered: bool) {
        if !is_unanswered && self.now_ms >= self.runners[call.runner].cut_until_ms {
            let delay_ms = self.message_delay_ms();
            let life = self.runners[call.runner].life;
            self.plan(delay_ms, Occurrence::CallAnswer { call, answer, life });
        }
    }

    pub(super) fn call_timeout(&mut self, call: &Call) {
        self.call_answer(call, call.order.failure(OrderError::Unanswered), None);
    }

    pub(super) fn call_answer(&mut self, call: &Call, answer: Answer, life: Option<u64>) {
        let host = &mut self.hosts[call.host];
        if !host.is_up || host.epoch != call.epoch {
            return;
        }
        let Some(term) = &mut host.term else { return };
        if !term.calls.remove(&call.id) {
            return;
        }
        let runner = &mut self.runners[call.runner];
        let is_status = matches!(answer, Answer::Hold(Ok(_)));
        if is_status && runner.is_up && Some(runner.life) == life {
            runner.mark_known(self.now_ms);
        }
        let is_own = term.has_sent_newer(call.runner, call.token);
        self.note(subject(call), || match &answer {
            Answer::Order(result) => format!("answer to call {}: {result:?}", call.id),
            Answer::Hold(Ok(status)) => {
                let running: Vec<u64> = status.running.iter().map(|row| row.run).collect();
                let ended: Vec<u64> = status.ended.iter().map(|row| row.run).collect();
                format!("answer to call {}: running {running:?}, ended {ended:?}", call.id)
            }
            Answer::Hold(Err(error)) => format!("answer to call {}: {error:?}", call.id),
        });
        let is_fenced = answer.error() == Some(OrderError::Fenced);
        if is_fenced && !is_own {
            self.end_term(call.host, "a runner has seen a higher token");
            return;
        }
        let answer = if is_fenced { call.order.failure(OrderError::NotSent) } else { answer };
        let (runner, sent_ms) = (call.key, call.sent_ms);
        let event = match (answer, call.order) {
            (Answer::Hold(result), _) => Event::RenewalFinished { runner, sent_ms, result },
            (Answer::Order(result), Order::Start { task, run, .. }) => {
                let (clock_ms, result) = (result.ok(), result.map(drop));
                let is_stop = false;
                Event::OrderFinished(OrderResult {
                    runner,
                    task,
                    run,
                    is_stop,
                    sent_ms,
                    clock_ms,
                    result,
                })
            }
            (Answer::Order(result), Order::Stop { task, run }) => {
                let (clock_ms, result) = (None, result.map(drop));
                let is_stop = true;
                Event::OrderFinished(OrderResult {
                    runner,
                    task,
                    run,
                    is_stop,
                    sent_ms,
                    clock_ms,
                    result,
                })
            }
            (Answer::Order(_), Order::Hold { .. }) => return,
        };
        self.input(call.host, event);
    }
}

fn subject(call: &Call) -> Subject {
    match call.order.task() {
        Some(task) => Subject::Task(task, call.runner),
        None => Subject::Runner(call.runner),
    }
}
