//! Faults of runners, hosts and the store.

use std::sync::Arc;

use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::RunnerReport;
use rand::RngExt as _;

use super::agenda::{Fault, Occurrence, Timer};
use super::host;
use super::runner::Runner;
use super::store::{Key, Value};
use super::trace::Subject;
use super::world::World;

/// Time without a sign of a runner after which its record is removed, in milliseconds.
const RECORD_TTL_MS: u64 = 1_200;

/// Largest distance of the loss of a runner from the fault of the leader that it goes with, in
/// milliseconds.
const LOSS_DISTANCE_MS: u64 = 1_000;

/// Minimum number of runners that are left.
const MIN_RUNNERS: usize = 2;

/// Maximum memory of a runner, in bytes; no task needs much.
const MEMORY_BYTES: u64 = 1 << 30;

impl World {
    /// Plans the first fault of each kind.
    pub(super) fn plan_faults(&mut self) {
        for runner in 0..self.runners.len() {
            self.plan_fault(self.faults.crash_gap_ms, Fault::RunnerCrash(runner));
            self.plan_fault(self.faults.cut_gap_ms, Fault::RunnerCut(runner));
        }
        self.plan_leader_fault();
        self.plan_fault(self.faults.revocation_gap_ms, Fault::Revocation);
        self.plan_fault(self.faults.outage_gap_ms, Fault::Outage);
        self.plan_losses();
    }

    /// Plans a fault after about `gap_ms`; never if that is 0. Returns the time until then.
    fn plan_fault(&mut self, gap_ms: u64, fault: Fault) -> Option<u64> {
        if gap_ms == 0 {
            return None;
        }
        let delay_ms = self.rng.random_range(gap_ms / 4..=gap_ms * 7 / 4);
        self.plan(delay_ms, Occurrence::Fault(fault));
        Some(delay_ms)
    }

    /// Plans the losses of runners that do not go with a fault of the leader.
    fn plan_losses(&mut self) {
        let gap_ms = self.faults.loss_gap_ms;
        let mut delay_ms = 0;
        for _ in 0..if gap_ms > 0 { self.runners.len() } else { 0 } {
            delay_ms += self.loss_rng.random_range(gap_ms / 4..=gap_ms * 7 / 4);
            self.plan(delay_ms, Occurrence::Fault(Fault::RunnerLoss));
        }
    }

    /// Plans the next fault of the leader, and the losses of runners just before or after it.
    fn plan_leader_fault(&mut self) {
        let delay_ms = self.plan_fault(self.faults.leader_gap_ms, Fault::Leader);
        let Some(delay_ms) = delay_ms else { return };
        if self.loss_rng.random_range(0..100) >= self.faults.loss_percent {
            return;
        }
        for _ in 0..self.loss_rng.random_range(1..=2_u32) {
            let from_ms = delay_ms.saturating_sub(LOSS_DISTANCE_MS);
            let loss_ms = self.loss_rng.random_range(from_ms..=delay_ms + LOSS_DISTANCE_MS);
            self.plan(loss_ms, Occurrence::Fault(Fault::RunnerLoss));
        }
    }

    /// Lets a fault take place, or its end.
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::RunnerRestart(runner) => self.restart_runner(runner),
            Fault::RunnerPublishes { runner, life } => self.publish_runner(runner, life),
            Fault::RunnerExpires(runner) => self.expire_runner(runner),
            Fault::HostRestart(host) => self.restart_host(host),
            _ if !self.has_faults() => {}
            Fault::RunnerCrash(runner) => self.crash_runner(runner),
            Fault::RunnerLoss => self.lose_runner(),
            Fault::RunnerCut(runner) => self.cut_runner(runner),
            Fault::Leader => self.disturb_leader(),
            Fault::Revocation => self.revoke_leader(),
            Fault::Outage => self.disturb_store(),
        }
    }

    fn crash_runner(&mut self, at: usize) {
        self.plan_fault(self.faults.crash_gap_ms, Fault::RunnerCrash(at));
        if !self.runners[at].is_up {
            return;
        }
        self.advance_runner(at);
        let life = self.runners[at].life;
        self.note(Subject::Runner(at), || format!("r{at} crashes (life {life})"));
        self.end_life(at);
        let down_ms = self.rng.random_range(200..=4_000);
        self.disturb_for(down_ms);
        self.plan(down_ms, Occurrence::Fault(Fault::RunnerRestart(at)));
        self.plan(RECORD_TTL_MS, Occurrence::Fault(Fault::RunnerExpires(at)));
    }

    /// Ends a runner with its runs.
    fn end_life(&mut self, at: usize) {
        for task in self.runners[at].running.keys() {
            self.checks.crash(task.0, task.1);
        }
        self.runners[at].is_up = false;
        self.runners[at].running.clear();
        self.runners[at].holds.clear();
    }

    /// Lets a runner go for good, if enough of them are left. It never answers again.
    fn lose_runner(&mut self) {
        let left = self.runners.iter().filter(|runner| !runner.is_gone).count();
        let up: Vec<usize> = (0..self.runners.len()).filter(|at| self.runners[*at].is_up).collect();
        if left <= MIN_RUNNERS || up.is_empty() {
            return;
        }
        let at = up[self.loss_rng.random_range(0..up.len())];
        self.advance_runner(at);
        self.note(Subject::World, || format!("r{at} goes for good"));
        self.end_life(at);
        self.runners[at].is_gone = true;
        self.disturb_for(0);
        self.plan(RECORD_TTL_MS, Occurrence::Fault(Fault::RunnerExpires(at)));
    }

    fn restart_runner(&mut self, at: usize) {
        let Runner { life, capacity_millis, .. } = self.runners[at];
        let rate_millis = self.rng.random_range(980..=1_000);
        let life = life + 1;
        self.runners[at] = Runner::new(capacity_millis, rate_millis, life, self.now_ms);
        self.note(Subject::Runner(at), || format!("r{at} starts (life {life})"));
        let delay_ms = self.rng.random_range(0..=500);
        self.disturb_for(delay_ms);
        self.plan(delay_ms, Occurrence::Fault(Fault::RunnerPublishes { runner: at, life }));
    }

    fn cut_runner(&mut self, at: usize) {
        self.plan_fault(self.faults.cut_gap_ms, Fault::RunnerCut(at));
        let cut_ms = self.rng.random_range(300..=6_000);
        self.note(Subject::Runner(at), || format!("r{at} is cut off for {cut_ms} ms"));
        self.runners[at].cut_until_ms = self.now_ms + cut_ms;
        self.disturb_for(cut_ms);
        if self.rng.random_ratio(1, 2) {
            self.plan(RECORD_TTL_MS, Occurrence::Fault(Fault::RunnerExpires(at)));
        }
        let life = self.runners[at].life;
        self.plan(cut_ms, Occurrence::Fault(Fault::RunnerPublishes { runner: at, life }));
    }

    /// Writes the record of a runner, once the runner reaches the store.
    pub(super) fn publish_runner(&mut self, at: usize, life: u64) {
        let runner = &self.runners[at];
        let reached_ms = runner.cut_until_ms.max(self.store_away_until_ms);
        if !runner.is_up || runner.life != life {
            return;
        }
        if self.now_ms < reached_ms {
            self.agenda
                .plan(reached_ms, Occurrence::Fault(Fault::RunnerPublishes { runner: at, life }));
            return;
        }
        let id = host::runner_name(at);
        let report = RunnerReport {
            address: format!("{id}:1"),
            id: Arc::clone(&id),
            zone: "z".to_owned(),
            service: "s".to_owned(),
            is_draining: false,
            leaves_in_ms: None,
            labels: Vec::new(),
            capacity: Resources::new(runner.capacity_millis, MEMORY_BYTES, 0),
            started_unix_ms: runner.started_unix_ms(),
        };
        self.store.put(Key::Runner(at), Value::Runner(report));
    }

    fn expire_runner(&mut self, at: usize) {
        let runner = &self.runners[at];
        if !runner.is_up || self.now_ms < runner.cut_until_ms {
            self.note(Subject::Runner(at), || format!("the record of r{at} is removed"));
            self.store.delete(Key::Runner(at));
        }
    }

    /// Kills or freezes the leader, or cuts it off from the store.
    fn disturb_leader(&mut self) {
        self.plan_leader_fault();
        let Some((host, _)) = self.store.leader() else { return };
        let now_ms = self.now_ms;
        match self.rng.random_range(0..3_u32) {
            0 => self.kill_host(host),
            1 => self.freeze_host(host),
            _ => {
                let cut_ms = self.rng.random_range(500..=9_000);
                self.note(Subject::World, || {
                    format!("host {host} is cut off from the store for {cut_ms} ms")
                });
                self.hosts[host].cut_until_ms = now_ms + cut_ms;
                self.disturb_for(cut_ms);
            }
        }
    }

    pub(super) fn freeze_host(&mut self, host: usize) {
        let frozen_ms = self.rng.random_range(300..=9_000);
        self.note(Subject::World, || format!("host {host} is frozen for {frozen_ms} ms"));
        self.hosts[host].frozen_until_ms = self.now_ms + frozen_ms;
        self.disturb_for(frozen_ms);
    }

    fn kill_host(&mut self, host: usize) {
        self.note(Subject::World, || format!("host {host} is killed"));
        self.hosts[host].end_term();
        self.hosts[host].is_up = false;
        let down_ms = self.rng.random_range(300..=3_000);
        self.disturb_for(down_ms);
        self.plan(down_ms, Occurrence::Fault(Fault::HostRestart(host)));
    }

    /// Starts a host again; it removes the leader key that its former process has left behind.
    fn restart_host(&mut self, host: usize) {
        self.note(Subject::World, || format!("host {host} starts"));
        self.hosts[host].is_up = true;
        self.hosts[host].ordered_ms = self.now_ms;
        if self.store.leader().is_some_and(|(leader, _)| leader == host) {
            self.store.delete(Key::Leader);
        }
        self.start_timer(host, Timer::Leader, 10);
    }

    fn revoke_leader(&mut self) {
        self.plan_fault(self.faults.revocation_gap_ms, Fault::Revocation);
        self.note(Subject::World, || "the leader key is removed".to_owned());
        self.store.delete(Key::Leader);
        self.disturb_for(0);
    }

    fn disturb_store(&mut self) {
        self.plan_fault(self.faults.outage_gap_ms, Fault::Outage);
        let outage_ms = self.rng.random_range(300..=6_000);
        self.note(Subject::World, || format!("the store is away for {outage_ms} ms"));
        self.store_away_until_ms = self.now_ms + outage_ms;
        self.disturb_for(outage_ms);
        if self.rng.random_ratio(1, 2) {
            self.store.pause_leases(outage_ms);
        }
    }
}
