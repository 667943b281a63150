//! The policy of the dispatcher, measured in virtual time, and its single rules.

mod driver;
mod rules;

use driver::{Behaviour, Driver, Report, Stream};
use hemlockrock::configs::route::{Policy, RouteConfig};
use hemlockrock::outcome::Reason;

const SEED: u64 = 41;
const SHORT: usize = 0;
const LONG: usize = 1;
const SHORT_RUN_MS: f64 = 10.0;
const LONG_RUN_MS: f64 = 2_000.0;

fn config(policy: Policy) -> RouteConfig {
    RouteConfig { policy, ..RouteConfig::default() }
}

/// Short work, and 2 % long work 200 times as long, at 80 % utilisation of all slots.
fn mixed(config: &RouteConfig, endpoints: u32, has_long: bool) -> Report {
    const LONG_PART: f64 = 0.02;
    let slots = f64::from(endpoints * 8);
    let mean_ms = (1.0 - LONG_PART) * SHORT_RUN_MS + LONG_PART * LONG_RUN_MS;
    let per_s = slots * 0.8 / mean_ms * 1_000.0;
    let long_per_s = if has_long { per_s * LONG_PART } else { 0.0 };
    let report = Driver::new(config, endpoints, 8, SEED)
        .with_stream(Stream::new(1, SHORT_RUN_MS, per_s * (1.0 - LONG_PART)))
        .with_stream(Stream::new(2, LONG_RUN_MS, long_per_s))
        .run(90_000);
    report.between(20_000, 80_000)
}

/// Part of a short run that the p99 wait may grow by where it is 0 without long work.
const SHORT_WAIT_BOUND_MS: f64 = 0.25 * SHORT_RUN_MS;

#[test]
fn short_work_does_not_wait_behind_long() {
    for endpoints in [50, 12, 6, 4] {
        let alone = mixed(&config(Policy::Full), endpoints, false).wait_ms(0.99);
        let baseline = mixed(&config(Policy::Baseline), endpoints, true);
        let full = mixed(&config(Policy::Full), endpoints, true);
        let (short, long) = (full.of(|at| at == SHORT), full.of(|at| at == LONG));
        let fair = baseline.of(|at| at == LONG).good();
        println!(
            "{endpoints} endpoints: short p99 wait {:.2} ms, alone {alone:.2}, baseline {:.2}; \
             long p50 {:.0}, p99 {:.0} ms, done {} of {fair}",
            short.wait_ms(0.99),
            baseline.of(|at| at == SHORT).wait_ms(0.99),
            long.wait_ms(0.5),
            long.wait_ms(0.99),
            long.good(),
        );
        assert!(short.wait_ms(0.99) <= (2.0 * alone).max(SHORT_WAIT_BOUND_MS));
        assert!(long.good() as f64 >= 0.8 * fair as f64);
    }
}

#[test]
fn long_work_keeps_its_share_in_an_overload() {
    const HALF: f64 = 0.5;
    let slots = 12.0 * 8.0;
    let short = Stream::new(1, SHORT_RUN_MS, slots / SHORT_RUN_MS * 1_000.0);
    let long = Stream::new(2, LONG_RUN_MS, slots / LONG_RUN_MS * 1_000.0);
    let report = Driver::new(&config(Policy::Full), 12, 8, SEED)
        .with_stream(short.with_deadline_ms(1_000))
        .with_stream(long.with_deadline_ms(30_000))
        .run(120_000);
    let share = |stream: usize| {
        let good_ms = report.of(|at| at == stream).good_work_ended_ms(30_000, 120_000);
        good_ms / (slots * 90_000.0)
    };
    println!("each asks for all slots: short gets {:.3}, long {:.3}", share(SHORT), share(LONG));
    assert!(share(LONG) >= 0.8 * HALF);
    assert!(share(SHORT) + share(LONG) >= 0.95);
}

#[test]
fn a_wrong_prior_does_not_matter() {
    for prior_run_ms in [1, 100] {
        let config = RouteConfig { prior_run_ms, ..RouteConfig::default() };
        let short = mixed(&config, 6, true).of(|at| at == SHORT);
        println!("prior {prior_run_ms} ms: short p99 wait {:.2} ms", short.wait_ms(0.99));
        assert!(short.wait_ms(0.99) <= SHORT_WAIT_BOUND_MS);
    }
}

const CREST_FROM_MS: u64 = 12_000;
const CREST_TO_MS: u64 = 32_000;

/// Load at 0.3 of the capacity, then three times the capacity for 20 s, then 0.3 again.
fn crest(policy: Policy, deadline_ms: u64, callers: u32) -> Report {
    let capacity_per_s = 12.0 * 8.0 / SHORT_RUN_MS * 1_000.0 / f64::from(callers);
    let (calm, high) = (0.3 * capacity_per_s, 3.0 * capacity_per_s);
    let rates =
        [(0, calm), (10_000, (calm + high) / 2.0), (CREST_FROM_MS, high), (CREST_TO_MS, calm)];
    let mut driver = Driver::new(&config(policy), 12, 8, SEED);
    for caller in 0..callers {
        let stream = Stream::new(1, SHORT_RUN_MS, 0.0).with_rates(&rates);
        driver = driver.with_stream(stream.with_caller(caller).with_deadline_ms(deadline_ms));
    }
    driver.run(40_000)
}

fn goodput(report: &Report) -> f64 {
    let span_ms = (CREST_TO_MS - CREST_FROM_MS) as f64;
    report.good_work_ended_ms(CREST_FROM_MS, CREST_TO_MS) / (12.0 * 8.0 * span_ms)
}

#[test]
fn a_crest_is_served_at_capacity() {
    let baseline = goodput(&crest(Policy::Baseline, 500, 1));
    for (deadline_ms, callers) in [(100, 1), (500, 1), (500, 300)] {
        let report = crest(Policy::Full, deadline_ms, callers);
        let during = report.between(CREST_FROM_MS, CREST_TO_MS);
        let calm_ms = report.between(2_000, 10_000).wait_ms(0.99);
        let after_ms = report.between(CREST_TO_MS + 2_000, 40_000).wait_ms(0.99);
        println!(
            "deadline {deadline_ms} ms, {callers} callers: goodput {:.3} (baseline {baseline:.3}), \
             late {}, expired {}, refused {}; p99 wait calm {calm_ms:.2}, after {after_ms:.2} ms",
            goodput(&report),
            during.late(),
            during.count(Reason::Expired),
            during.count(Reason::DeadlineTooClose),
        );
        assert!(goodput(&report) >= 0.95);
        assert!(after_ms <= 1.2 * calm_ms);
    }
}

#[test]
fn callers_share_a_crest_fairly() {
    for fair_quantum_ms in [RouteConfig::default().fair_quantum_ms, 1_000_000_000] {
        let is_fair = fair_quantum_ms < 1_000_000_000;
        let config = RouteConfig { fair_quantum_ms, ..RouteConfig::default() };
        let capacity_per_s = 6.0 * 8.0 / SHORT_RUN_MS * 1_000.0;
        let mut driver = Driver::new(&config, 6, 8, SEED);
        let greedy = Stream::new(1, SHORT_RUN_MS, 3.0 * capacity_per_s).with_deadline_ms(500);
        driver = driver.with_stream(greedy);
        for caller in 1..=9 {
            let modest = Stream::new(1, SHORT_RUN_MS, 0.08 * capacity_per_s).with_caller(caller);
            let deadline_ms = if caller < 5 { 100 } else { 1_000 };
            driver = driver.with_stream(modest.with_deadline_ms(deadline_ms));
        }
        let report = driver.run(20_000).between(5_000, 20_000);
        let modest = report.of(|at| at > 0);
        let part = modest.good() as f64 / modest.records.len() as f64;
        let goodput = report.good_work_ended_ms(5_000, 20_000) / (6.0 * 8.0 * 15_000.0);
        println!(
            "quantum {fair_quantum_ms} ms: {part:.4} of modest callers served, p99 wait {:.1} ms, \
             goodput {goodput:.3}, expired {}, late {}",
            modest.wait_ms(0.99),
            report.count(Reason::Expired),
            report.late(),
        );
        assert!(goodput >= 0.95);
        assert!(!is_fair || part >= 0.99, "callers under their share are served");
    }
}

#[test]
fn a_fast_failer_is_ejected() {
    for (endpoints, behaviour) in
        [(12, Behaviour::FailsAtOnce), (4, Behaviour::FailsAtOnce), (12, Behaviour::Declines)]
    {
        let per_s = f64::from(endpoints * 8) * 0.6 / SHORT_RUN_MS * 1_000.0;
        let report = Driver::new(&config(Policy::Full), endpoints, 8, SEED)
            .with_stream(Stream::new(1, SHORT_RUN_MS, per_s))
            .with_change(0, 10_000, behaviour)
            .with_change(0, 20_000, Behaviour::Runs)
            .run(60_000);
        let after = report.between(12_000, 20_000).sends;
        let touched = after.iter().filter(|(_, endpoint)| endpoint.0 == 0).count();
        let back = report.between(55_000, 60_000).sends;
        let share = back.iter().filter(|(_, endpoint)| endpoint.0 == 0).count();
        println!("{endpoints} endpoints, {behaviour:?}: {touched} of {} sends", after.len());
        assert!(touched * 50 < after.len(), "under 2 %");
        assert!(share * endpoints as usize * 2 > back.len(), "it serves again once it is well");
    }
}

#[test]
fn a_pool_that_refuses_all_is_left_alone() {
    let mut driver = Driver::new(&config(Policy::Full), 6, 8, SEED);
    driver = driver.with_stream(Stream::new(1, SHORT_RUN_MS, 1_000.0).with_deadline_ms(500));
    for endpoint in 0..6 {
        driver = driver.with_change(endpoint, 5_000, Behaviour::Refuses);
        driver = driver.with_change(endpoint, 15_000, Behaviour::Runs);
    }
    let report = driver.run(60_000);
    let sends = report.between(6_000, 15_000).sends.len();
    println!("{sends} sends while all refuse");
    assert!(sends < 200, "the circuit holds back sends");
    let after = report.between(50_000, 60_000);
    assert_eq!(after.good(), after.records.len(), "all is served again");
}

#[test]
fn dispatchers_that_share_the_endpoints_forward_to_free_slots() {
    let all_per_s = 12.0 * 8.0 / SHORT_RUN_MS * 1_000.0;
    for hosts in [2, 4] {
        for utilisation in [0.6, 0.85] {
            let run = |hosts: u32, at_one: bool| {
                let mut stream = Stream::new(1, SHORT_RUN_MS, all_per_s * utilisation);
                if at_one {
                    stream = stream.with_host(0);
                }
                Driver::with_hosts(hosts, &config(Policy::Full), 12, 8, SEED)
                    .with_stream(stream.with_deadline_ms(2_000))
                    .run(20_000)
                    .between(5_000, 19_000)
            };
            let (together, spread, at_one) = (run(1, false), run(hosts, false), run(hosts, true));
            println!(
                "{hosts} dispatchers, utilisation {utilisation}: p99 wait {:.1} ms in turn, \
                 {:.1} ms all at one, {:.1} ms with one dispatcher; {} and {} of {} forwarded",
                spread.wait_ms(0.99),
                at_one.wait_ms(0.99),
                together.wait_ms(0.99),
                spread.forwards,
                at_one.forwards,
                spread.records.len(),
            );
            assert!(spread.wait_ms(0.99) <= SHORT_RUN_MS, "no longer than one run");
            assert!(at_one.wait_ms(0.99) <= 5.0 * SHORT_RUN_MS, "no longer than a few runs");
            for report in [&spread, &at_one] {
                assert_eq!(report.good(), report.records.len());
            }
        }
    }
}
