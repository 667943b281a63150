//! Random jobs.

use bytes::Bytes;
use hemlockrock::place::spec::Resources;
use hemlockrock::queue::model::{JobId, RunEnd, Step, Submission};
use rand::rngs::SmallRng;
use rand::RngExt as _;

/// Shortest and longest duration of a run, in milliseconds.
pub(super) const RUN_MS: (u64, u64) = (50, 800);

/// Duration of a run of a long-running task that lasts until it is stopped, in milliseconds.
const LASTING_MS: u64 = 3_600_000;

/// Shortest and longest duration of a run of a long-running task that ends by itself, in
/// milliseconds.
const BROKEN_OFF_MS: (u64, u64) = (300, 6_000);

/// Number of the first long-running job.
const FIRST_LONG_RUNNING: u64 = 101;

/// A job with its arrival and the behaviour of its tasks.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) submission: Submission,
    pub(super) arrives_ms: u64,
    /// Time of its cancellation; `None` if it is not cancelled.
    pub(super) canceled_ms: Option<u64>,
    /// Share of the runs that fail, in percent.
    pub(super) failed_percent: u32,
}

/// Generates the jobs of a world, which arrive between the two times.
pub(super) fn jobs(rng: &mut SmallRng, (from_ms, until_ms): (u64, u64)) -> Vec<Plan> {
    let count = rng.random_range(5..=14_u64);
    (1..=count).map(|id| job(rng, JobId(id), (from_ms, until_ms))).collect()
}

/// Generates jobs with long-running tasks, which arrive between the first two times and are
/// cancelled between the other two.
pub(super) fn long_running_jobs(
    rng: &mut SmallRng,
    (from_ms, until_ms): (u64, u64),
    (cancel_from_ms, cancel_until_ms): (u64, u64),
) -> Vec<Plan> {
    let count = rng.random_range(1..=2_u64);
    let ids = FIRST_LONG_RUNNING..FIRST_LONG_RUNNING + count;
    let plan = |id: u64| Plan {
        submission: Submission {
            id: JobId(id),
            queue: "q".to_owned(),
            spec: Bytes::from_static(b"spec"),
            steps: long_running_steps(rng),
            accepted_unix_ms: 0,
            workspace: None,
            terms: None,
        },
        arrives_ms: rng.random_range(from_ms..until_ms),
        canceled_ms: Some(rng.random_range(cancel_from_ms..cancel_until_ms)),
        failed_percent: 4,
    };
    ids.map(plan).collect()
}

/// A long-running step, behind another one now and then.
fn long_running_steps(rng: &mut SmallRng) -> Vec<Step> {
    let mut steps = Vec::new();
    if rng.random_ratio(1, 3) {
        steps.push(step(rng, 0));
    }
    let after = if steps.is_empty() { Vec::new() } else { vec![0] };
    steps.push(Step {
        count: rng.random_range(1..=3),
        need: Resources::new(500, 1, 0),
        after,
        is_long_running: true,
        ..Step::default()
    });
    steps
}

/// Names of the workspaces.
pub(super) const WORKSPACES: [&str; 2] = ["a", "b"];

/// Processor that each workspace may use at the same time, in thousandths of a core: less than the
/// smallest world has.
pub(super) const WORKSPACE_LIMIT_MILLIS: u64 = 3_000;

/// Makes the job one of a workspace.
pub(super) fn add_workspace(plan: &mut Plan) {
    let name = if plan.submission.id.0 % 3 == 0 { WORKSPACES[1] } else { WORKSPACES[0] };
    plan.submission.workspace = Some(name.into());
}

/// Draws how long a run of a long-running task lasts, in milliseconds, and how it ends.
pub(super) fn long_run(rng: &mut SmallRng) -> (u64, RunEnd) {
    let end = if rng.random_ratio(1, 2) { RunEnd::Done } else { RunEnd::Failed };
    if rng.random_ratio(1, 6) {
        (rng.random_range(BROKEN_OFF_MS.0..=BROKEN_OFF_MS.1), end)
    } else {
        (LASTING_MS, end)
    }
}

fn job(rng: &mut SmallRng, id: JobId, (from_ms, until_ms): (u64, u64)) -> Plan {
    let count = rng.random_range(1..=3_u32);
    let steps = (0..count).map(|number| step(rng, number)).collect();
    let arrives_ms = rng.random_range(from_ms..until_ms);
    let canceled_ms =
        rng.random_ratio(1, 12).then(|| arrives_ms + rng.random_range(10..=3_000_u64));
    Plan {
        submission: Submission {
            id,
            queue: "q".to_owned(),
            spec: Bytes::from_static(b"spec"),
            steps,
            accepted_unix_ms: 0,
            workspace: None,
            terms: None,
        },
        arrives_ms,
        canceled_ms,
        failed_percent: if rng.random_ratio(1, 5) { 60 } else { 4 },
    }
}

fn step(rng: &mut SmallRng, number: u32) -> Step {
    let after = match number {
        0 => Vec::new(),
        _ if rng.random_ratio(1, 4) => vec![0],
        _ => vec![number - 1],
    };
    Step {
        count: rng.random_range(1..=3),
        need: Resources::new(500 * rng.random_range(1..=4_u64), 1, 0),
        estimate_ms: u64::midpoint(RUN_MS.0, RUN_MS.1),
        after,
        ..Step::default()
    }
}
