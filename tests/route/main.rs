//! Simulations of the dispatch policy in virtual time, and tests of its single rules.

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

/// Runs short work, and with `has_long` 2 % of work 200 times as long, at 80 % utilisation.
fn run_mixed_load(config: &RouteConfig, endpoints: u32, has_long: bool) -> Report {
    const LONG_SHARE: f64 = 0.02;
    let slots = f64::from(endpoints * 8);
    let mean_ms = (1.0 - LONG_SHARE) * SHORT_RUN_MS + LONG_SHARE * LONG_RUN_MS;
    let per_s = slots * 0.8 / mean_ms * 1_000.0;
    let long_per_s = if has_long { per_s * LONG_SHARE } else { 0.0 };
    let report = Driver::new(config, endpoints, 8, SEED)
        .with_stream(Stream::new(1, SHORT_RUN_MS, per_s * (1.0 - LONG_SHARE)))
        .with_stream(Stream::new(2, LONG_RUN_MS, long_per_s))
        .run(90_000);
    report.between(20_000, 80_000)
}

/// Limit of the p99 wait of short work where it is 0 without long work: a quarter of a run.
const SHORT_WAIT_BOUND_MS: f64 = 0.25 * SHORT_RUN_MS;

#[test]
fn short_work_does_not_wait_behind_long_work() {
    for endpoints in [50, 12, 6, 4] {
        let alone = run_mixed_load(&config(Policy::Full), endpoints, false).wait_ms(0.99);
        let baseline = run_mixed_load(&config(Policy::Baseline), endpoints, true);
        let full = run_mixed_load(&config(Policy::Full), endpoints, true);
        let (short, long) =
            (full.of_streams(|index| index == SHORT), full.of_streams(|index| index == LONG));
        let baseline_done = baseline.of_streams(|index| index == LONG).in_time();
        println!(
            "{endpoints} endpoints: short p99 wait {:.2} ms, alone {alone:.2}, baseline {:.2}; \
             long p50 {:.0}, p99 {:.0} ms, done {} of {baseline_done}",
            short.wait_ms(0.99),
            baseline.of_streams(|index| index == SHORT).wait_ms(0.99),
            long.wait_ms(0.5),
            long.wait_ms(0.99),
            long.in_time(),
        );
        assert!(short.wait_ms(0.99) <= (2.0 * alone).max(SHORT_WAIT_BOUND_MS));
        assert!(long.in_time() as f64 >= 0.8 * baseline_done as f64);
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
        let in_time_ms =
            report.of_streams(|index| index == stream).in_time_work_ms(30_000, 120_000);
        in_time_ms / (slots * 90_000.0)
    };
    println!(
        "each class demands all slots: short gets {:.3}, long {:.3}",
        share(SHORT),
        share(LONG)
    );
    assert!(share(LONG) >= 0.8 * HALF);
    assert!(share(SHORT) + share(LONG) >= 0.95);
}

#[test]
fn short_waits_do_not_depend_on_the_prior_run_time() {
    for prior_run_ms in [1, 100] {
        let config = RouteConfig { prior_run_ms, ..RouteConfig::default() };
        let short = run_mixed_load(&config, 6, true).of_streams(|index| index == SHORT);
        println!("prior {prior_run_ms} ms: short p99 wait {:.2} ms", short.wait_ms(0.99));
        assert!(short.wait_ms(0.99) <= SHORT_WAIT_BOUND_MS);
    }
}

const SURGE_FROM_MS: u64 = 12_000;
const SURGE_TO_MS: u64 = 32_000;

/// Runs load at 0.3 of the capacity, then three times the capacity for 20 s, then 0.3 again.
fn run_surge(policy: Policy, deadline_ms: u64, callers: u32) -> Report {
    let capacity_per_s = 12.0 * 8.0 / SHORT_RUN_MS * 1_000.0 / f64::from(callers);
    let (normal_per_s, surge_per_s) = (0.3 * capacity_per_s, 3.0 * capacity_per_s);
    let rates = [
        (0, normal_per_s),
        (10_000, (normal_per_s + surge_per_s) / 2.0),
        (SURGE_FROM_MS, surge_per_s),
        (SURGE_TO_MS, normal_per_s),
    ];
    let mut driver = Driver::new(&config(policy), 12, 8, SEED);
    for caller in 0..callers {
        let stream = Stream::new(1, SHORT_RUN_MS, 0.0).with_rates(&rates);
        driver = driver.with_stream(stream.with_caller(caller).with_deadline_ms(deadline_ms));
    }
    driver.run(40_000)
}

fn goodput(report: &Report) -> f64 {
    let span_ms = (SURGE_TO_MS - SURGE_FROM_MS) as f64;
    report.in_time_work_ms(SURGE_FROM_MS, SURGE_TO_MS) / (12.0 * 8.0 * span_ms)
}

#[test]
fn goodput_stays_near_capacity_in_a_surge() {
    let baseline = goodput(&run_surge(Policy::Baseline, 500, 1));
    for (deadline_ms, callers) in [(100, 1), (500, 1), (500, 300)] {
        let report = run_surge(Policy::Full, deadline_ms, callers);
        let during = report.between(SURGE_FROM_MS, SURGE_TO_MS);
        let before_ms = report.between(2_000, 10_000).wait_ms(0.99);
        let after_ms = report.between(SURGE_TO_MS + 2_000, 40_000).wait_ms(0.99);
        println!(
            "deadline {deadline_ms} ms, {callers} callers: goodput {:.3} (baseline {baseline:.3}), \
             late {}, expired {}, rejected {}; p99 wait before {before_ms:.2}, after {after_ms:.2} ms",
            goodput(&report),
            during.done_late(),
            during.count(Reason::Expired),
            during.count(Reason::DeadlineTooClose),
        );
        assert!(goodput(&report) >= 0.95);
        assert!(after_ms <= 1.2 * before_ms);
    }
}

#[test]
fn callers_under_their_fair_share_are_served_in_an_overload() {
    for fair_quantum_ms in [RouteConfig::default().fair_quantum_ms, 1_000_000_000] {
        let is_fair = fair_quantum_ms < 1_000_000_000;
        let config = RouteConfig { fair_quantum_ms, ..RouteConfig::default() };
        let capacity_per_s = 6.0 * 8.0 / SHORT_RUN_MS * 1_000.0;
        let mut driver = Driver::new(&config, 6, 8, SEED);
        let heavy = Stream::new(1, SHORT_RUN_MS, 3.0 * capacity_per_s).with_deadline_ms(500);
        driver = driver.with_stream(heavy);
        for caller in 1..=9 {
            let light = Stream::new(1, SHORT_RUN_MS, 0.08 * capacity_per_s).with_caller(caller);
            let deadline_ms = if caller < 5 { 100 } else { 1_000 };
            driver = driver.with_stream(light.with_deadline_ms(deadline_ms));
        }
        let report = driver.run(20_000).between(5_000, 20_000);
        let light = report.of_streams(|index| index > 0);
        let served_share = light.in_time() as f64 / light.records.len() as f64;
        let goodput = report.in_time_work_ms(5_000, 20_000) / (6.0 * 8.0 * 15_000.0);
        println!(
            "quantum {fair_quantum_ms} ms: {served_share:.4} of light callers served, p99 wait {:.1} ms, \
             goodput {goodput:.3}, expired {}, late {}",
            light.wait_ms(0.99),
            report.count(Reason::Expired),
            report.done_late(),
        );
        assert!(goodput >= 0.95);
        assert!(!is_fair || served_share >= 0.99, "callers under their fair share are served");
    }
}

#[test]
fn an_endpoint_that_fails_immediately_is_ejected() {
    for (endpoints, behaviour) in [
        (12, Behaviour::FailsImmediately),
        (4, Behaviour::FailsImmediately),
        (12, Behaviour::Declines),
    ] {
        let per_s = f64::from(endpoints * 8) * 0.6 / SHORT_RUN_MS * 1_000.0;
        let report = Driver::new(&config(Policy::Full), endpoints, 8, SEED)
            .with_stream(Stream::new(1, SHORT_RUN_MS, per_s))
            .with_change(0, 10_000, behaviour)
            .with_change(0, 20_000, Behaviour::Runs)
            .run(60_000);
        let after = report.between(12_000, 20_000).sends;
        let sends_to_failing = after.iter().filter(|(_, endpoint)| endpoint.0 == 0).count();
        let sends_after = report.between(55_000, 60_000).sends;
        let sends_to_recovered = sends_after.iter().filter(|(_, endpoint)| endpoint.0 == 0).count();
        println!(
            "{endpoints} endpoints, {behaviour:?}: {sends_to_failing} of {} sends",
            after.len()
        );
        assert!(
            sends_to_failing * 50 < after.len(),
            "the endpoint gets less than 2 % of the sends"
        );
        assert!(
            sends_to_recovered * endpoints as usize * 2 > sends_after.len(),
            "the recovered endpoint gets its share again"
        );
    }
}

#[test]
fn a_pool_that_refuses_all_connections_opens_the_circuit() {
    let mut driver = Driver::new(&config(Policy::Full), 6, 8, SEED);
    driver = driver.with_stream(Stream::new(1, SHORT_RUN_MS, 1_000.0).with_deadline_ms(500));
    for endpoint in 0..6 {
        driver = driver.with_change(endpoint, 5_000, Behaviour::Refuses);
        driver = driver.with_change(endpoint, 15_000, Behaviour::Runs);
    }
    let report = driver.run(60_000);
    let sends = report.between(6_000, 15_000).sends.len();
    println!("{sends} sends while all endpoints refuse connections");
    assert!(sends < 200, "the circuit limits the sends");
    let after = report.between(50_000, 60_000);
    assert_eq!(after.in_time(), after.records.len(), "all requests are served after the recovery");
}

#[test]
fn dispatchers_forward_requests_to_peers_with_free_slots() {
    let all_per_s = 12.0 * 8.0 / SHORT_RUN_MS * 1_000.0;
    for hosts in [2, 4] {
        for utilisation in [0.6, 0.85] {
            let run = |hosts: u32, skewed: bool| {
                let mut stream = Stream::new(1, SHORT_RUN_MS, all_per_s * utilisation);
                if skewed {
                    stream = stream.with_host(0);
                }
                Driver::with_hosts(hosts, &config(Policy::Full), 12, 8, SEED)
                    .with_stream(stream.with_deadline_ms(2_000))
                    .run(20_000)
                    .between(5_000, 19_000)
            };
            let (single, balanced, skewed) = (run(1, false), run(hosts, false), run(hosts, true));
            println!(
                "{hosts} dispatchers, utilisation {utilisation}: p99 wait {:.1} ms balanced, \
                 {:.1} ms all at one, {:.1} ms with one dispatcher; {} and {} of {} forwarded",
                balanced.wait_ms(0.99),
                skewed.wait_ms(0.99),
                single.wait_ms(0.99),
                balanced.forward_count,
                skewed.forward_count,
                balanced.records.len(),
            );
            assert!(balanced.wait_ms(0.99) <= SHORT_RUN_MS, "p99 wait of at most one run");
            assert!(skewed.wait_ms(0.99) <= 5.0 * SHORT_RUN_MS, "p99 wait of at most five runs");
            for report in [&balanced, &skewed] {
                assert_eq!(report.in_time(), report.records.len());
            }
        }
    }
}
