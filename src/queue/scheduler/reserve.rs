//! Room that less urgent work leaves free on each runner for urgent work.
//!
//! The reserve is a preference about where work runs, and never a reason not to run it: it leaves room
//! for one task beside those that do not end by themselves, and a task that fits on no other runner
//! uses it while much of the service is free.

use crate::place::spec::Resources;
use crate::queue::scheduler::job::JobKey;
use crate::queue::scheduler::placement::PlacementRequest;
use crate::queue::scheduler::runner::Runner;
use crate::queue::scheduler::Scheduler;

/// Lowest priority value of queues whose tasks leave a reserve on each runner to urgent work; 0 is
/// the most urgent.
pub(super) const RESERVE_FROM_PRIORITY: u32 = 2;

/// Part of a service's processor up to which less urgent work may use the reserve, in thousandths:
/// urgent work then finds room on other runners.
const SPARE_MILLIS: u64 = 500;

/// Shortest time between two searches for a step of whether its tasks need the reserve, in
/// milliseconds. Each search looks at all runners, and hundreds of steps may wait.
const SEARCH_GAP_MS: u64 = 500;

/// Maximum number of such searches in a placement pass.
const MAX_SEARCHES: u32 = 4;

const MILLI: u64 = 1_000;

impl Scheduler {
    /// Part of each runner that the tasks of a job leave free for urgent work, in thousandths.
    pub(super) fn usual_reserve_millis(&self, key: JobKey) -> u64 {
        if self.jobs[key].priority >= RESERVE_FROM_PRIORITY {
            self.config.urgent_reserve_millis
        } else {
            0
        }
    }

    /// Whether a task for which no runner has room beside the reserve may use it: so much of the service
    /// is free that urgent work does not depend on it.
    pub(super) fn may_use_reserve(&mut self, request: &PlacementRequest<'_>, now_ms: u64) -> bool {
        let step = &mut self.jobs[request.key].steps[request.step];
        if request.reserve_millis == 0
            || self.reserve_searches >= MAX_SEARCHES
            || now_ms < step.reserve_searched_ms + SEARCH_GAP_MS
            || self.busy_services.contains(request.service)
        {
            return false;
        }
        step.reserve_searched_ms = now_ms;
        self.reserve_searches += 1;
        if self.is_busy(request.service, now_ms) {
            self.busy_services.insert(request.service.to_owned());
            return false;
        }
        self.open_slots(request, now_ms) == 0
    }

    /// Whether so much of a service is in use that urgent work may depend on the reserve.
    fn is_busy(&self, service: &str, now_ms: u64) -> bool {
        let usable = |runner: &&Runner| runner.service == service && runner.is_usable(now_ms);
        let (mut used, mut capacity) = (0_u64, 0_u64);
        for runner in self.runners.values().filter(usable) {
            used = used.saturating_add(runner.used.cpu_millis);
            capacity = capacity.saturating_add(runner.capacity.cpu_millis);
        }
        used.saturating_mul(MILLI) > capacity.saturating_mul(SPARE_MILLIS)
    }

    /// Resources that a task has to leave free on a runner, at most what is left beside it if all other
    /// runs there have ended but the long-running ones.
    pub(super) fn urgent_reserve(
        &self,
        request: &PlacementRequest<'_>,
        runner: &Runner,
    ) -> Resources {
        let millis = self.reserve_millis(request, runner);
        if millis == 0 {
            return Resources::default();
        }
        let left = runner.capacity.minus(runner.used_by_long_running);
        runner.share(millis).smaller(left.minus(request.declared.reservation()))
    }

    /// Part of a runner that a task leaves free for urgent work, in thousandths. It is larger on fast
    /// runners, in proportion to the urgent work that was measured recently, unless the task could then
    /// never start there.
    fn reserve_millis(&self, request: &PlacementRequest<'_>, runner: &Runner) -> u64 {
        let usual_millis = request.reserve_millis;
        if usual_millis == 0 || !self.speeds.are_uneven() {
            return usual_millis;
        }
        let key = self.runner_keys.get(&runner.id);
        if key.is_none_or(|key| self.speeds.factor(*key) >= 1.0) {
            return usual_millis;
        }
        let millis = self.urgent_demand.share_millis().min(self.config.fast_reserve_millis);
        let left = runner.capacity.minus(runner.share(millis));
        if request.declared.need.fits(left) {
            usual_millis.max(millis)
        } else {
            usual_millis
        }
    }
}
