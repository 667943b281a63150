//! Workers: they keep the rules of `place::message`, and each start is checked.

use std::collections::BTreeMap;

use hemlockrock::place::message::{
    Attempt, AttemptReport, AttemptState, Refusal, StopMode, TaskId, WorkerReport,
};
use hemlockrock::place::spec::Resources;
use hemlockrock::place::Event;

use super::World;

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) task: TaskId,
    pub(super) reserved: Resources,
    pub(super) lease_until_ms: u64,
    pub(super) began_at_ms: u64,
    pub(super) state: AttemptState,
}

impl Run {
    pub(super) fn runs(&self) -> bool {
        matches!(self.state, AttemptState::Running | AttemptState::Stopping)
    }
}

/// A worker, which holds the truth of what runs.
#[derive(Clone, Debug)]
pub(super) struct Agent {
    pub(super) capacity: Resources,
    pub(super) clock_offset_ms: u64,
    pub(super) epoch: u64,
    pub(super) barrier: Attempt,
    pub(super) runs: BTreeMap<Attempt, Run>,
}

#[derive(Clone, Debug)]
pub(super) enum Call {
    Start { attempt: Attempt, task: TaskId, reserved: Resources, token_ms: u64 },
    Stop { attempt: Attempt, mode: StopMode },
    Read { barrier: Attempt },
    Renew { token_ms: u64 },
    Forget { attempts: Vec<Attempt> },
}

impl World {
    pub(super) fn serve(&mut self, epoch: u64, worker: usize, call: Call) -> Option<Event> {
        let now_ms = self.now_ms;
        let agent = &mut self.agents[worker];
        if epoch < agent.epoch {
            return match call {
                Call::Start { attempt, .. } => {
                    Some(Event::Refused { attempt, refusal: Refusal::Fenced })
                }
                _ => Some(Event::Fenced),
            };
        }
        agent.epoch = epoch;
        match call {
            Call::Start { attempt, task, reserved, token_ms } => {
                Some(self.begin(worker, attempt, task, reserved, token_ms))
            }
            Call::Stop { attempt, mode } => {
                let run = agent.runs.get_mut(&attempt).filter(|run| run.runs())?;
                if mode == StopMode::Throttle {
                    return None;
                }
                run.state = AttemptState::Stopped;
                Some(Event::Stopped { attempt })
            }
            Call::Read { barrier } => {
                agent.barrier = agent.barrier.max(barrier);
                Some(self.report(worker))
            }
            Call::Renew { token_ms } => {
                let clock_ms = now_ms + agent.clock_offset_ms;
                let until_ms = token_ms + self.config.task_lease_ms;
                for run in agent.runs.values_mut().filter(|run| run.runs()) {
                    if token_ms <= clock_ms {
                        run.lease_until_ms = run.lease_until_ms.max(until_ms);
                    }
                }
                Some(self.report(worker))
            }
            Call::Forget { attempts } => {
                agent.runs.retain(|attempt, run| run.runs() || !attempts.contains(attempt));
                None
            }
        }
    }

    pub(super) fn begin(
        &mut self,
        worker: usize,
        attempt: Attempt,
        task: TaskId,
        reserved: Resources,
        token_ms: u64,
    ) -> Event {
        let agent = &self.agents[worker];
        if let Some(known) = agent.runs.get(&attempt) {
            return match known.runs() {
                true => Event::Confirmed { attempt },
                false => Event::Refused { attempt, refusal: Refusal::Stale },
            };
        }
        let clock_ms = self.now_ms + agent.clock_offset_ms;
        let lease_until_ms = token_ms + self.config.task_lease_ms;
        let is_late = clock_ms >= lease_until_ms || token_ms > clock_ms;
        if attempt <= agent.barrier || is_late {
            return Event::Refused { attempt, refusal: Refusal::Stale };
        }
        self.check_start(worker, &task, reserved);
        self.starts += 1;
        self.last_start_ms = self.now_ms;
        let began_at_ms = clock_ms;
        let state = AttemptState::Running;
        let run = Run { task, reserved, lease_until_ms, began_at_ms, state };
        self.agents[worker].runs.insert(attempt, run);
        Event::Confirmed { attempt }
    }

    /// The oracle: a start keeps the worker within its means, the task in one place, and the
    /// team within its quota.
    pub(super) fn check_start(&self, worker: usize, task: &TaskId, reserved: Resources) {
        let agent = &self.agents[worker];
        let runs = agent.runs.values().filter(|run| run.runs());
        let used = runs.fold(reserved, |sum, run| sum.plus(run.reserved));
        assert!(used.fits(agent.capacity), "worker {worker} is over at {} ms", self.now_ms);
        assert!(!self.running().contains(task), "{task:?} runs twice at {} ms", self.now_ms);
        let Some(shares) = &self.shares else { return };
        let team = &self.store.records[&task.job_id].0.team;
        let runs = self.agents.iter().flat_map(|agent| agent.runs.values());
        let of_team =
            runs.filter(|run| run.runs() && self.store.records[&run.task.job_id].0.team == *team);
        let used = of_team.fold(reserved, |sum, run| sum.plus(run.reserved));
        assert!(used.fits(shares.teams[team]), "{team} is over its quota at {} ms", self.now_ms);
    }

    pub(super) fn report(&self, worker: usize) -> Event {
        let agent = &self.agents[worker];
        let clock_ms = self.now_ms + agent.clock_offset_ms;
        let attempts = agent.runs.iter().map(|(attempt, run)| AttemptReport {
            task: run.task.clone(),
            attempt: *attempt,
            state: run.state,
            reserved: run.reserved,
            usage: Resources::default(),
            age_ms: clock_ms - run.began_at_ms,
        });
        let attempts = attempts.collect();
        let report = WorkerReport { token_ms: clock_ms, barrier: agent.barrier, attempts };
        Event::Report { worker: self.keys[worker], report }
    }

    pub(super) fn expire_leases(&mut self) {
        for agent in &mut self.agents {
            let clock_ms = self.now_ms + agent.clock_offset_ms;
            for run in agent.runs.values_mut().filter(|run| run.runs()) {
                if clock_ms >= run.lease_until_ms {
                    run.state = AttemptState::Stopped;
                }
            }
        }
    }
}
