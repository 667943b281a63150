//! The policy of the dispatcher, measured in virtual time.

mod driver;

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

/// Short work, and long work as the given part of all requests, at a utilisation of all slots.
fn mixed(
    policy: Policy,
    endpoints: u32,
    utilisation: f64,
    long_part: f64,
    has_long: bool,
) -> Report {
    let slots = f64::from(endpoints * 8);
    let mean_ms = (1.0 - long_part) * SHORT_RUN_MS + long_part * LONG_RUN_MS;
    let per_s = slots * utilisation / mean_ms * 1_000.0;
    let long_per_s = if has_long { per_s * long_part } else { 0.0 };
    Driver::new(config(policy), endpoints, 8, SEED)
        .with_stream(Stream::new(1, SHORT_RUN_MS, per_s * (1.0 - long_part)))
        .with_stream(Stream::new(2, LONG_RUN_MS, long_per_s))
        .run(90_000)
}

#[test]
fn short_work_does_not_wait_behind_long() {
    for endpoints in [50, 12, 6, 4] {
        for policy in [Policy::Baseline, Policy::Full] {
            let alone = mixed(policy, endpoints, 0.8, 0.02, false).between(20_000, 80_000);
            let with = mixed(policy, endpoints, 0.8, 0.02, true).between(20_000, 80_000);
            let (short, long) = (with.of(|s| s == SHORT), with.of(|s| s == LONG));
            println!(
                "{policy:?} {endpoints} endpoints: short p99 {:.2} ms alone {:.2}; p50 {:.2}; long p50 {:.1} p99 {:.1} ms, long done {} of {}",
                short.wait_ms(0.99), alone.wait_ms(0.99), short.wait_ms(0.5), long.wait_ms(0.5), long.wait_ms(0.99),
                long.good(), long.records.len(),
            );
        }
    }
}

/// Load at 0.3 of the capacity, then `times` the capacity for 20 s, then 0.3 again.
fn crest(policy: Policy, times: f64, deadline_ms: u64, callers: u32) -> Report {
    let capacity_per_s = 12.0 * 8.0 / SHORT_RUN_MS * 1_000.0 / f64::from(callers);
    let (calm, high) = (0.3 * capacity_per_s, times * capacity_per_s);
    let rates = [(0, calm), (10_000, (calm + high) / 2.0), (12_000, high), (32_000, calm)];
    let mut driver = Driver::new(config(policy), 12, 8, SEED);
    for caller in 0..callers {
        let stream = Stream::new(1, SHORT_RUN_MS, 0.0).with_rates(&rates);
        driver = driver.with_stream(stream.with_caller(caller).with_deadline_ms(deadline_ms));
    }
    driver.run(45_000)
}

#[test]
fn a_crest_is_served_at_capacity() {
    for deadline_ms in [100, 500, 2_000] {
        for callers in [1, 300] {
            for policy in [Policy::Baseline, Policy::Full] {
                let report = crest(policy, 3.0, deadline_ms, callers);
                let capacity_ms = 12.0 * 8.0 * 20_000.0;
                let during = report.between(12_000, 32_000);
                println!(
                    "{policy:?} deadline {deadline_ms} callers {callers}: goodput {:.3}, late {}, expired {}, refused {}, full {}; calm p99 {:.2}, p99 after 2 s {:.2}",
                    report.good_work_ended_ms(12_000, 32_000) / capacity_ms, during.late(),
                    during.count(Reason::Expired), during.count(Reason::DeadlineTooClose), during.count(Reason::QueueFull),
                    report.between(2_000, 10_000).wait_ms(0.99), report.between(34_000, 45_000).wait_ms(0.99),
                );
            }
        }
    }
}

#[test]
fn a_fast_failer_is_ejected() {
    for endpoints in [12, 4] {
        let per_s = f64::from(endpoints * 8) * 0.6 / SHORT_RUN_MS * 1_000.0;
        let report = Driver::new(config(Policy::Full), endpoints, 8, SEED)
            .with_stream(Stream::new(1, SHORT_RUN_MS, per_s))
            .with_change(0, 10_000, Behaviour::FailsAtOnce)
            .run(30_000);
        let after = report.between(12_000, 30_000);
        let touched = after.sends.iter().filter(|(_, endpoint)| endpoint.0 == 0).count();
        println!("{endpoints}: touched {touched} of {}", after.sends.len());
    }
}
