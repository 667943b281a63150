//! Limits and shares of workspaces: what each may start, and whose turn it is.
//!
//! [`Shares`] keeps what the runs of each workspace need, from the assignments of all runners. What a
//! former leader may have started counts as well while the inherited wait lasts.

use slotmap::SlotMap;

use crate::collections::HashMap;
use crate::decision_log;
use crate::place::spec::Resources;
use crate::queue::model::{JobState, Step, TaskId};
use crate::queue::record::Progress;
use crate::queue::scheduler::job::{Job, JobKey, Task, TaskState};
use crate::queue::scheduler::runner::{Assignment, Runner, RunnerKey};
use crate::queue::scheduler::Scheduler;
use crate::queue::workspaces::{WorkspaceName, Workspaces};

slotmap::new_key_type! {
    /// Key of a workspace that a leader knows.
    pub struct WorkspaceKey;
}

/// Resources that no limit holds and no runner has.
const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u32::MAX);

/// Number of share levels up to the part of the capacity that corresponds to the weight. Work of one
/// level goes in order of due time.
const LEVELS_PER_SHARE: u64 = 2;

/// Highest share level; each level delays work by at most `share_delay_ms`.
const MAX_SHARE_LEVEL: u32 = 8;

/// Duration for which a workspace may save up unused submissions, in seconds of its weight.
const BURST_S: f64 = 1.0;

/// Weight that counts for a workspace whose weight is 0 or unknown, in jobs a second.
const MIN_WEIGHT: f64 = 0.001;

/// Minimum time between two log lines about the limit of one workspace, in milliseconds.
const LIMIT_LOG_MS: u64 = 1_000;

/// Maximum number of log lines about limits in [`LIMIT_LOG_MS`], over all workspaces.
const MAX_LIMIT_LOGS: u32 = 20;

/// Number of workspaces that are reported by name; the others are reported in sum.
const REPORTED_WORKSPACES: usize = 20;

/// Workspace whose limit a run counts against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Owner {
    /// The job belongs to no workspace.
    #[default]
    Nobody,
    Workspace(WorkspaceKey),
    /// The job is not known, so that the run may belong to any workspace.
    Unknown,
}

/// What a run counts against the limit of its workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Charge {
    pub(crate) owner: Owner,
    /// Declared needs of the task, including the processor time of a best-effort task.
    pub(crate) need: Resources,
    /// Position of the runner's service in [`Shares::services`].
    service: usize,
}

/// A workspace as the leader knows it.
#[derive(Debug)]
struct WorkspaceState {
    name: WorkspaceName,
    /// Limit of the last directory that declared the workspace; `None` if none did.
    limit: Option<Resources>,
    weight: f64,
    /// Sum of what its runs need.
    used: Resources,
    /// The same by service.
    used_by_service: Vec<Resources>,
    /// What a former leader may have started at runners that have not answered.
    inherited: Resources,
    /// Whether any of its steps is ready in the current pass.
    is_waiting: bool,
    rate: RateMeter,
    limit_logged_ms: u64,
}

impl WorkspaceState {
    fn new(name: WorkspaceName) -> Self {
        Self {
            name,
            limit: None,
            weight: 0.0,
            used: Resources::default(),
            used_by_service: Vec::new(),
            inherited: Resources::default(),
            is_waiting: false,
            rate: RateMeter::default(),
            limit_logged_ms: 0,
        }
    }

    fn use_of(&self, service: usize) -> Resources {
        self.used_by_service.get(service).copied().unwrap_or_default()
    }
}

/// Token bucket that tells which jobs of a workspace exceed its rate.
///
/// ```
/// use hemlockrock::queue::scheduler::RateMeter;
///
/// let mut meter = RateMeter::default();
/// let exceeds: Vec<bool> = (0..4).map(|_| meter.exceeds(2.0, 1_000.0)).collect();
/// assert_eq!(exceeds, [false, false, true, true]);
/// assert!(!meter.exceeds(2.0, 1_500.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Time at which the bucket is full again, in milliseconds; `None` before the first job.
    full_ms: Option<f64>,
}

impl RateMeter {
    /// Counts a job that was accepted at `at_ms`; returns whether it exceeds `weight` jobs a second.
    /// A job that exceeds it is not charged.
    pub fn exceeds(&mut self, weight: f64, at_ms: f64) -> bool {
        const MILLI: f64 = 1_000.0;
        if weight.is_nan() || weight <= 0.0 {
            return true;
        }
        let interval_ms = MILLI / weight;
        let depth_ms = (BURST_S * MILLI).max(interval_ms);
        let full_ms = self.full_ms.map_or(at_ms, |full_ms| full_ms.max(at_ms)) + interval_ms;
        // A microsecond allows for the rounding of fractions of a millisecond.
        if full_ms > at_ms + depth_ms + 0.001 {
            return true;
        }
        self.full_ms = Some(full_ms);
        false
    }
}

/// Share level of a workspace that uses `dominant_millionths` of the capacity and has `weight` of the
/// weights `total_weight` of all workspaces that have work.
///
/// Level 0 is below half of its part of the capacity, level 2 begins at the whole part.
///
/// ```
/// use hemlockrock::queue::scheduler::share_level;
///
/// // A quarter of the weights entitles to a quarter of the capacity.
/// assert_eq!(share_level(100_000, 1.0, 4.0), 0);
/// assert_eq!(share_level(240_000, 1.0, 4.0), 1);
/// assert_eq!(share_level(250_000, 1.0, 4.0), 2);
/// ```
pub fn share_level(dominant_millionths: u64, weight: f64, total_weight: f64) -> u32 {
    let ratio_millionths = weighted_share(dominant_millionths, weight, total_weight);
    let level = ratio_millionths.saturating_mul(LEVELS_PER_SHARE) / 1_000_000;
    u32::try_from(level).unwrap_or(MAX_SHARE_LEVEL).min(MAX_SHARE_LEVEL)
}

/// Use of a workspace in millionths of its part of the capacity.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share in millionths"
)]
fn weighted_share(dominant_millionths: u64, weight: f64, total_weight: f64) -> u64 {
    let weight = effective_weight(weight);
    (dominant_millionths as f64 * total_weight.max(weight) / weight) as u64
}

fn effective_weight(weight: f64) -> f64 {
    // `max` returns the other value for one that is not a number.
    weight.max(MIN_WEIGHT)
}

/// What a workspace uses, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceUsage {
    /// Name of the workspace; `None` for the sum of the workspaces that are not reported by name.
    pub name: Option<WorkspaceName>,
    /// Declared needs of its runs.
    pub used: Resources,
    /// What a former leader may have started for it at runners that have not answered.
    pub inherited: Resources,
    /// Limit; `None` if it is not known or in a sum.
    pub limit: Option<Resources>,
    /// Use in millionths of the part of the capacity that its weight entitles it to; the largest one
    /// over the services. 0 in a sum.
    pub share_millionths: u64,
}

/// What all workspaces use and may use.
#[derive(Debug, Default)]
pub(super) struct Shares {
    workspaces: SlotMap<WorkspaceKey, WorkspaceState>,
    keys: HashMap<WorkspaceName, WorkspaceKey>,
    /// Whether the newest directory declares workspaces, so that work is ordered by share.
    is_ordering: bool,
    /// Number of runs of unknown jobs by runner.
    unattributed: HashMap<RunnerKey, u32>,
    /// Capacity of the runners with such runs.
    unattributed_capacity: Resources,
    /// Services of runners.
    services: Vec<String>,
    /// Capacity of the listed runners by service.
    capacities: Vec<Resources>,
    /// Sum of the weights of the workspaces that have work.
    total_weight: f64,
    /// Jobs that were not charged to the rate of their workspace yet.
    uncharged: Vec<JobKey>,
    /// Tasks of ended jobs that a former leader may have started and that may not have been stopped.
    departed: Vec<Departed>,
    /// Latest time in a record of a job, in Unix milliseconds.
    newest_unix_ms: u64,
    limit_log: LimitLog,
}

/// Bounds the log lines about limits.
#[derive(Debug, Default)]
struct LimitLog {
    since_ms: u64,
    count: u32,
}

impl LimitLog {
    fn allows(&mut self, now_ms: u64) -> bool {
        if now_ms >= self.since_ms + LIMIT_LOG_MS {
            *self = Self { since_ms: now_ms, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_LIMIT_LOGS
    }
}

impl Shares {
    /// Applies the workspaces of the newest directory. One that is no longer declared keeps its limit.
    pub(super) fn update(&mut self, declared: Option<&Workspaces>) {
        self.is_ordering = declared.is_some();
        for workspace in declared.into_iter().flat_map(Workspaces::iter) {
            let key = self.key_of(&workspace.name);
            let state = &mut self.workspaces[key];
            state.limit = Some(workspace.limit);
            state.weight = workspace.weight;
        }
    }

    fn key_of(&mut self, name: &WorkspaceName) -> WorkspaceKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.workspaces.insert(WorkspaceState::new(WorkspaceName::clone(name)));
        self.keys.insert(WorkspaceName::clone(name), key);
        key
    }

    /// Owner of the runs of a job of this workspace.
    pub(super) fn owner_of(&mut self, workspace: Option<&WorkspaceName>) -> Owner {
        workspace.map_or(Owner::Nobody, |name| Owner::Workspace(self.key_of(name)))
    }

    /// Takes note of a new job, which is charged to the rate of its workspace at the next pass.
    pub(super) fn expect_charge(&mut self, job: JobKey) {
        self.uncharged.push(job);
    }

    fn service_position(&mut self, service: &str) -> usize {
        let known = self.services.iter().position(|known| known == service);
        known.unwrap_or_else(|| {
            self.services.push(service.to_owned());
            self.services.len() - 1
        })
    }

    /// What a run at a runner of this service counts.
    pub(super) fn charge_for(&mut self, owner: Owner, need: Resources, service: &str) -> Charge {
        Charge { owner, need, service: self.service_position(service) }
    }

    fn charge(&mut self, runner: RunnerKey, charge: Charge) {
        match charge.owner {
            Owner::Nobody => {}
            Owner::Unknown => *self.unattributed.entry(runner).or_default() += 1,
            Owner::Workspace(key) => {
                let state = &mut self.workspaces[key];
                state.used = state.used.plus(charge.need);
                if state.used_by_service.len() <= charge.service {
                    state.used_by_service.resize(charge.service + 1, Resources::default());
                }
                let used = &mut state.used_by_service[charge.service];
                *used = used.plus(charge.need);
            }
        }
    }

    fn refund(&mut self, runner: RunnerKey, charge: Charge) {
        match charge.owner {
            Owner::Nobody => {}
            Owner::Unknown => {
                if let Some(count) = self.unattributed.get_mut(&runner) {
                    *count -= 1;
                    if *count == 0 {
                        self.unattributed.remove(&runner);
                    }
                }
            }
            Owner::Workspace(key) => {
                let state = &mut self.workspaces[key];
                state.used = state.used.minus(charge.need);
                if let Some(used) = state.used_by_service.get_mut(charge.service) {
                    *used = used.minus(charge.need);
                }
            }
        }
    }

    /// Number of tasks with these needs, at most `wanted`, that the limit of the workspace allows now.
    pub(super) fn allowed(&self, owner: Owner, need: Resources, wanted: usize) -> usize {
        let Owner::Workspace(key) = owner else { return wanted };
        let state = &self.workspaces[key];
        let Some(limit) = state.limit else { return wanted };
        let counted = state.used.plus(state.inherited).plus(self.unattributed_capacity);
        if !counted.fits(limit) {
            return 0;
        }
        let free = Resources {
            cpu_millis: free_amount(counted.cpu_millis, limit.cpu_millis),
            memory_bytes: free_amount(counted.memory_bytes, limit.memory_bytes),
            accelerators: if limit.accelerators == u32::MAX {
                u32::MAX
            } else {
                limit.accelerators - counted.accelerators
            },
        };
        usize::try_from(Runner::slots(free, need)).unwrap_or(usize::MAX).min(wanted)
    }

    /// Whether the runs of the workspace already need more than its limit, which was lowered.
    pub(super) fn is_above_limit(&self, owner: Owner) -> bool {
        let Owner::Workspace(key) = owner else { return false };
        let state = &self.workspaces[key];
        state.limit.is_some_and(|limit| !state.used.fits(limit))
    }

    /// Whether the limit of the workspace is lower than these needs.
    pub(super) fn is_too_large(&self, owner: Owner, need: Resources) -> bool {
        let Owner::Workspace(key) = owner else { return false };
        self.workspaces[key].limit.is_some_and(|limit| !need.fits(limit))
    }

    /// Share level of a workspace at a service.
    fn level(&self, owner: Owner, service: &str) -> u32 {
        let Owner::Workspace(key) = owner else { return 0 };
        let position = self.services.iter().position(|known| known == service);
        let Some(position) = position.filter(|position| *position < self.capacities.len()) else {
            return 0;
        };
        let state = &self.workspaces[key];
        let dominant = state.use_of(position).dominant_millionths(self.capacities[position]);
        share_level(dominant, state.weight, self.total_weight)
    }

    /// Recomputes the capacity of the services.
    fn sum_capacities(&mut self, runners: &SlotMap<RunnerKey, Runner>) {
        self.capacities.iter_mut().for_each(|capacity| *capacity = Resources::default());
        for runner in runners.values().filter(|runner| runner.is_listed) {
            let position = self.service_position(&runner.service);
            if self.capacities.len() <= position {
                self.capacities.resize(position + 1, Resources::default());
            }
            let capacity = &mut self.capacities[position];
            *capacity = capacity.plus(runner.capacity);
        }
    }

    /// Sums the weights of the workspaces that have runs or waiting steps.
    fn sum_weights(&mut self) {
        let working =
            self.workspaces.values().filter(|state| state.is_waiting || !state.used.is_zero());
        self.total_weight = working.map(|state| effective_weight(state.weight)).sum();
    }

    /// Use, limit and share of the workspaces with the largest use by name, and the sum of the others.
    fn usage(&self) -> Vec<WorkspaceUsage> {
        let total = self.capacities.iter().fold(Resources::default(), |sum, one| sum.plus(*one));
        let mut known: Vec<(u64, &WorkspaceState)> = self
            .workspaces
            .values()
            .map(|state| (state.used.dominant_millionths(total), state))
            .collect();
        known.sort_unstable_by(|(left, left_state), (right, right_state)| {
            right.cmp(left).then_with(|| left_state.name.cmp(&right_state.name))
        });
        let rest = known.split_off(known.len().min(REPORTED_WORKSPACES));
        let mut usage: Vec<WorkspaceUsage> =
            known.into_iter().map(|(_, state)| self.usage_of(state)).collect();
        if !rest.is_empty() {
            let sum = |of: fn(&WorkspaceState) -> Resources| {
                rest.iter().fold(Resources::default(), |sum, (_, state)| sum.plus(of(state)))
            };
            usage.push(WorkspaceUsage {
                name: None,
                used: sum(|state| state.used),
                inherited: sum(|state| state.inherited),
                limit: None,
                share_millionths: 0,
            });
        }
        usage
    }

    fn usage_of(&self, state: &WorkspaceState) -> WorkspaceUsage {
        let used = state.used_by_service.iter().zip(&self.capacities);
        let shares = used.map(|(used, capacity)| {
            let dominant = used.dominant_millionths(*capacity);
            weighted_share(dominant, state.weight, self.total_weight)
        });
        WorkspaceUsage {
            name: Some(WorkspaceName::clone(&state.name)),
            used: state.used,
            inherited: state.inherited,
            limit: state.limit,
            share_millionths: shares.max().unwrap_or_default(),
        }
    }
}

/// What is left of an amount below its limit, of which the largest value means no limit.
fn free_amount(used: u64, limit: u64) -> u64 {
    if limit == u64::MAX {
        return u64::MAX;
    }
    limit.saturating_sub(used)
}

/// What a former leader may have started for a workspace.
#[derive(Clone, Copy, Debug, Default)]
struct InheritedNeeds {
    /// Sum of what the tasks reserve, which the capacity of the runners bounds.
    reserved: Resources,
    /// Processor time of best-effort tasks, which reserve none.
    unreserved_cpu_millis: u64,
}

impl InheritedNeeds {
    /// Needs of the tasks of a job that `may_run`.
    fn of(job: &Job, may_run: impl Fn(&Step, &Task) -> bool) -> Self {
        let mut needs = Self::default();
        for (declared, step) in job.submission.steps.iter().zip(&job.steps) {
            let count = step.tasks.iter().filter(|task| may_run(declared, task)).count();
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            let reserved = declared.reservation();
            let unreserved = declared.need.minus(reserved).times(count);
            needs.reserved = needs.reserved.plus(reserved.times(count));
            needs.unreserved_cpu_millis =
                needs.unreserved_cpu_millis.saturating_add(unreserved.cpu_millis);
        }
        needs
    }

    fn plus(self, other: Self) -> Self {
        Self {
            reserved: self.reserved.plus(other.reserved),
            unreserved_cpu_millis: self
                .unreserved_cpu_millis
                .saturating_add(other.unreserved_cpu_millis),
        }
    }
}

/// Tasks of an ended job that may still run at runners that have not answered.
#[derive(Clone, Copy, Debug)]
struct Departed {
    owner: WorkspaceKey,
    needs: InheritedNeeds,
    ended_unix_ms: u64,
}

impl Scheduler {
    /// Use, limit and share of the workspaces; a bounded number of them by name.
    pub fn workspace_usage(&self) -> Vec<WorkspaceUsage> {
        self.shares.usage()
    }

    /// Brings what counts against limits and shares up to date, before a placement pass over `ready`.
    pub(super) fn update_shares(
        &mut self,
        ready: &[(JobKey, usize)],
        is_inherited_wait_over: bool,
        now_ms: u64,
    ) {
        self.charge_rates(now_ms);
        let shares = &mut self.shares;
        if shares.workspaces.is_empty() {
            return;
        }
        shares.unattributed_capacity = Resources::default();
        for key in shares.unattributed.keys() {
            let capacity = self.runners.get(*key).map_or(UNLIMITED, known_capacity);
            shares.unattributed_capacity = shares.unattributed_capacity.plus(capacity);
        }
        for state in shares.workspaces.values_mut() {
            state.is_waiting = false;
            state.inherited = Resources::default();
        }
        if shares.is_ordering {
            for (key, _) in ready {
                if let Owner::Workspace(key) = self.jobs[*key].owner {
                    shares.workspaces[key].is_waiting = true;
                }
            }
            shares.sum_capacities(&self.runners);
            shares.sum_weights();
        }
        if is_inherited_wait_over {
            shares.departed.clear();
        } else {
            self.count_inherited();
        }
    }

    /// Counts what a former leader may have started at runners that have not answered this one: at most
    /// what these can hold, and at most the tasks that may be inherited.
    fn count_inherited(&mut self) {
        let unread = self.runners.values().filter(|runner| !runner.is_fenced);
        let capacity =
            unread.fold(Resources::default(), |sum, runner| sum.plus(known_capacity(runner)));
        let mut needs: HashMap<WorkspaceKey, InheritedNeeds> = HashMap::default();
        for job in self.jobs.values() {
            let Owner::Workspace(owner) = job.owner else { continue };
            let sum = needs.entry(owner).or_default();
            *sum = sum.plus(InheritedNeeds::of(job, may_be_unread));
        }
        let last_ms = self.shares.newest_unix_ms.saturating_sub(self.config.max_run_lease_ms);
        for departed in self.shares.departed.iter().filter(|known| known.ended_unix_ms >= last_ms) {
            let sum = needs.entry(departed.owner).or_default();
            *sum = sum.plus(departed.needs);
        }
        for (owner, sum) in needs {
            let unreserved = Resources::new(sum.unreserved_cpu_millis, 0, 0);
            // A best-effort task needs a runner as well, even if it reserves no processor there.
            let has_unread = !capacity.is_zero();
            let unreserved = if has_unread { unreserved } else { Resources::default() };
            self.shares.workspaces[owner].inherited =
                sum.reserved.smaller(capacity).plus(unreserved);
        }
    }

    /// Counts the tasks of a job that this leader forgets as long as the inherited wait lasts.
    pub(super) fn keep_inherited(&mut self, job: &Job) {
        let Owner::Workspace(owner) = job.owner else { return };
        let needs = InheritedNeeds::of(job, may_be_unread);
        self.shares.departed.push(Departed { owner, needs, ended_unix_ms: u64::MAX });
    }

    /// Counts the tasks of a job that a former leader has ended, unless their leases have lapsed: it
    /// may not have stopped all of them.
    pub(super) fn keep_departed(&mut self, job: &Job, progress: &Progress) {
        let shares = &mut self.shares;
        shares.newest_unix_ms = shares.newest_unix_ms.max(progress.ended_unix_ms);
        let Owner::Workspace(owner) = job.owner else { return };
        let is_completed = progress.state == JobState::Completed;
        let needs = InheritedNeeds::of(job, |step, _| may_outlast_end(step) || !is_completed);
        let ended_unix_ms = progress.ended_unix_ms;
        shares.departed.push(Departed { owner, needs, ended_unix_ms });
    }

    /// Charges new jobs to the rates of their workspaces, in the order in which they were accepted.
    ///
    /// The times of acceptance come from the clocks of several hosts. Only their distance from the
    /// newest of the new jobs counts, so that a clock that is wrong has no lasting effect.
    fn charge_rates(&mut self, now_ms: u64) {
        let mut jobs: Vec<(u64, JobKey)> = std::mem::take(&mut self.shares.uncharged)
            .into_iter()
            .filter_map(|key| Some((self.jobs.get(key)?.submission.accepted_unix_ms, key)))
            .collect();
        jobs.sort_unstable();
        let Some((newest_unix_ms, _)) = jobs.last().copied() else { return };
        self.shares.newest_unix_ms = self.shares.newest_unix_ms.max(newest_unix_ms);
        for (accepted_unix_ms, key) in jobs {
            let job = &mut self.jobs[key];
            let age_ms = newest_unix_ms - accepted_unix_ms;
            job.shared_from_ms = now_ms.saturating_sub(age_ms);
            let Owner::Workspace(owner) = job.owner else { continue };
            let state = &mut self.shares.workspaces[owner];
            #[allow(clippy::cast_precision_loss, reason = "a time in milliseconds")]
            let at_ms = now_ms as f64 - age_ms as f64;
            job.exceeds_weight = state.rate.exceeds(state.weight, at_ms);
        }
    }

    /// Position of the job's workspace among the others: whether the job exceeds its weight, and its
    /// share level.
    pub(super) fn share_position(&self, key: JobKey, now_ms: u64) -> (bool, u32) {
        (self.exceeds_share(key, now_ms), self.share_level(key, now_ms))
    }

    /// Whether a job exceeds the weight of its workspace and has not waited for `share_delay_ms` yet.
    fn exceeds_share(&self, key: JobKey, now_ms: u64) -> bool {
        let job = &self.jobs[key];
        self.shares.is_ordering
            && job.exceeds_weight
            && now_ms < job.shared_from_ms + self.config.share_delay_ms
    }

    /// Share level of the job's workspace. It falls by one with each `share_delay_ms` that the job has
    /// waited, so that the use of its workspace does not hold it back for ever.
    pub(super) fn share_level(&self, key: JobKey, now_ms: u64) -> u32 {
        let job = &self.jobs[key];
        if !self.shares.is_ordering || job.owner == Owner::Nobody {
            return 0;
        }
        let level = self.shares.level(job.owner, self.service_name(key));
        let waited_ms = now_ms.saturating_sub(job.shared_from_ms);
        let aged = waited_ms.checked_div(self.config.share_delay_ms).unwrap_or(u64::MAX);
        level.saturating_sub(u32::try_from(aged).unwrap_or(u32::MAX))
    }

    /// Number of tasks of a step, at most `wanted`, that the limit of its workspace allows now.
    pub(super) fn allowed_starts(&self, key: JobKey, step: usize, wanted: usize) -> usize {
        let job = &self.jobs[key];
        let Some(declared) = job.submission.steps.get(step) else { return 0 };
        self.shares.allowed(job.owner, declared.need, wanted)
    }

    /// Whether the limit of the workspace allows no task of a step now, or not all of a gang.
    pub(super) fn is_held_back(&self, job: &Job, step: usize) -> bool {
        let Some(declared) = job.submission.steps.get(step) else { return true };
        let least = if declared.is_gang { declared.count as usize } else { 1 };
        self.shares.allowed(job.owner, declared.need, least) < least
    }

    /// Logs that the limit of its workspace holds a step back, at most once in [`LIMIT_LOG_MS`] for each
    /// workspace.
    pub(super) fn log_limit(&mut self, key: JobKey, step: usize, now_ms: u64) {
        let job = &self.jobs[key];
        let Owner::Workspace(owner) = job.owner else { return };
        let declared = &job.submission.steps[step];
        let count = if declared.is_gang { declared.count } else { 1 };
        let need = declared.need.times(count);
        let is_too_large = self.shares.is_too_large(job.owner, need);
        let shares = &mut self.shares;
        let state = &mut shares.workspaces[owner];
        if now_ms < state.limit_logged_ms + LIMIT_LOG_MS || !shares.limit_log.allows(now_ms) {
            return;
        }
        state.limit_logged_ms = now_ms;
        let reason = if is_too_large { "larger than the limit" } else { "the limit is in use" };
        decision_log::line("limit_reached")
            .with("workspace", &state.name)
            .with("step", job.step_id(step))
            .with("reason", reason)
            .with("need", format_args!("{need:?}"))
            .with("used", format_args!("{:?}", state.used))
            .with("inherited", format_args!("{:?}", state.inherited))
            .with("unattributed", format_args!("{:?}", shares.unattributed_capacity))
            .with("limit", format_args!("{:?}", state.limit.unwrap_or(UNLIMITED)))
            .end();
    }

    /// Assigns a run to a runner and counts it against the limit of its workspace.
    pub(super) fn assign_run(&mut self, key: RunnerKey, task: TaskId, assignment: Assignment) {
        self.shares.charge(key, assignment.charge);
        if let Some(former) = self.runners[key].assign(task, assignment) {
            self.shares.refund(key, former.charge);
        }
    }

    /// Releases a run that has certainly ended; it no longer counts.
    pub(super) fn release_run(&mut self, key: RunnerKey, task: TaskId) -> Option<Assignment> {
        let released = self.runners.get_mut(key)?.release(task)?;
        self.shares.refund(key, released.charge);
        Some(released)
    }

    /// Attributes a run to the workspace of its job, which has become known.
    pub(super) fn attribute_run(&mut self, key: RunnerKey, task: TaskId) {
        let Some(job) = self.job_keys.get(&task.step.job).and_then(|job| self.jobs.get(*job))
        else {
            return;
        };
        let Some(runner) = self.runners.get_mut(key) else { return };
        let capacity = runner.capacity;
        let Some(assignment) = runner.assignments.get_mut(&task) else { return };
        if assignment.charge.owner != Owner::Unknown {
            return;
        }
        let declared = job.submission.steps.get(task.step.step as usize);
        let need = declared.map_or(capacity, |declared| declared.need);
        let charge = self.shares.charge_for(job.owner, need, &runner.service);
        let former = std::mem::replace(&mut assignment.charge, charge);
        self.shares.refund(key, former);
        self.shares.charge(key, charge);
    }
}

/// Whether a former leader may have started the task at a runner that has not answered.
fn may_be_unread(step: &Step, task: &Task) -> bool {
    task.may_be_inherited && (may_outlast_end(step) || task.state == TaskState::Waiting)
}

/// Whether a run may go on although the task is done: another run of a copyable task, or one of a gang
/// of which another member has ended.
fn may_outlast_end(step: &Step) -> bool {
    step.may_copy || step.is_gang
}

/// Capacity of a runner; without bounds if its record has not been read.
fn known_capacity(runner: &Runner) -> Resources {
    if runner.capacity.is_zero() {
        return UNLIMITED;
    }
    runner.capacity
}
