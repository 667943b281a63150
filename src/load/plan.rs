//! The plan of a load: rates over time, kinds of requests and their callers.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// A period in which the request rate changes linearly from one value to another.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Rate at the start of the phase, in requests per second.
    pub from_per_s: f64,
    /// Rate at the end of the phase, in requests per second.
    pub to_per_s: f64,
}

/// A kind of request: how often it is sent and how its requests behave.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindPlan {
    /// Name of the kind, sent in the `Hemlock-Kind` header.
    pub name: String,
    /// Weight of the kind among all kinds of the plan; with a sum of 1, its share of all requests.
    pub share: f64,
    /// Time that the endpoint takes to run a request, in milliseconds.
    pub run_ms: u64,
    /// Share of its requests that are sent as idempotent, which may run more than once; 0 to 1.
    pub idempotent_share: f64,
    /// Time from sending within which the caller needs its answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A load: when requests are sent, and of which kind, by which caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Service that the requests are sent to.
    pub service: String,
    /// Seed of the random choice of arrival times, kinds and callers.
    pub seed: u64,
    /// Request rate over time: phases that follow one another.
    pub phases: Vec<Phase>,
    /// Kinds of requests, chosen at random by their shares.
    pub kinds: Vec<KindPlan>,
    /// Number of distinct callers; each request comes from a random one.
    pub callers: u32,
    /// Simulated one-way network latency between callers and entry hosts, in milliseconds.
    pub caller_trip_ms: f64,
    /// Smallest length of a request's body, in bytes; a text unique to the request is padded to it.
    pub body_bytes: usize,
}

impl Plan {
    /// Duration of the load, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        self.phases.iter().map(|phase| phase.for_ms).sum()
    }

    /// The requests of the load in order of time; the same for the same plan.
    ///
    /// Arrivals are a Poisson process. Candidates are drawn at the peak rate and kept with the
    /// probability of the current rate over the peak rate (thinning).
    ///
    /// ```
    /// use hemlockrock::load::plan;
    ///
    /// let kind = plan::KindPlan { name: "order".into(), share: 1.0, run_ms: 5, idempotent_share: 0.5, deadline_ms: 500 };
    /// let phase = plan::Phase { for_ms: 1_000, from_per_s: 100.0, to_per_s: 100.0 };
    /// let plan = plan::Plan { service: "orders".into(), seed: 1, phases: vec![phase], kinds: vec![kind], callers: 4, caller_trip_ms: 0.0, body_bytes: 64 };
    /// assert_eq!(plan.arrivals(), plan.arrivals());
    /// assert!((60..150).contains(&plan.arrivals().len()));
    /// ```
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let peak = self.phases.iter().map(|phase| phase.from_per_s.max(phase.to_per_s));
        let peak_per_s = peak.fold(0.0, f64::max);
        let mut arrivals = Vec::new();
        if peak_per_s <= 0.0 || self.kinds.is_empty() {
            return arrivals;
        }
        let end_us = self.duration_ms() * US_PER_MS;
        let mut at_us = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at_us -= uniform.ln() * US_PER_S / peak_per_s;
            if at_us >= end_us as f64 {
                return arrivals;
            }
            let is_kept = random.random_range(0.0..1.0) * peak_per_s < self.rate_at(at_us);
            if is_kept {
                arrivals.push(self.arrival(arrivals.len(), at_us as u64, &mut random));
            }
        }
    }

    fn arrival(&self, index: usize, at_us: u64, random: &mut StdRng) -> Arrival {
        let kind = self.kind_index(random.random_range(0.0..1.0));
        let share = self.kinds[kind].idempotent_share;
        Arrival {
            number: index as u64,
            at_us,
            kind,
            caller: random.random_range(0..self.callers.max(1)),
            is_idempotent: random.random_range(0.0..1.0) < share,
        }
    }

    /// Index of the kind that a number from 0 to 1 selects, by the shares of the kinds.
    fn kind_index(&self, mut drawn: f64) -> usize {
        let total: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        drawn *= total;
        for (index, kind) in self.kinds.iter().enumerate() {
            if drawn < kind.share {
                return index;
            }
            drawn -= kind.share;
        }
        self.kinds.len() - 1
    }

    /// Rate at a time from the start of the load, in requests per second; 0 after the last phase.
    fn rate_at(&self, at_us: f64) -> f64 {
        let mut phase_start_us = 0.0;
        for phase in &self.phases {
            let length_us = (phase.for_ms * US_PER_MS) as f64;
            if at_us < phase_start_us + length_us {
                let progress = (at_us - phase_start_us) / length_us;
                return phase.from_per_s + (phase.to_per_s - phase.from_per_s) * progress;
            }
            phase_start_us += length_us;
        }
        0.0
    }
}

/// One request of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Position in the load, from 0.
    pub number: u64,
    /// Scheduled time of sending, in microseconds from the start of the load.
    pub at_us: u64,
    /// Index of its kind in [`Plan::kinds`].
    pub kind: usize,
    /// Number of the caller that sends it, below [`Plan::callers`].
    pub caller: u32,
    /// Whether it is sent as idempotent and may run more than once.
    pub is_idempotent: bool,
}
