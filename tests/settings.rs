//! Settings and state charts: all faults of an input are reported together, and no input panics.

use hemlockrock::{charts, configs, settings};
use proptest::prelude::*;

fn parse_log_settings(
    text: &str,
) -> Result<configs::log::LogConfig, hemlockrock::findings::Findings> {
    settings::parse("log.yaml", text)
}

#[test]
fn every_finding_has_its_line() {
    let found = parse_log_settings("level: loud\nformat: xml\n").unwrap_err();
    let lines: Vec<u32> = found.items.iter().map(|item| item.place.line).collect();
    assert_eq!(lines, [1, 2], "{found}");
}

#[test]
fn unknown_keys_and_wrong_types_are_reported_together() {
    let found = parse_log_settings("lvel: info\nformat: [json]\n").unwrap_err();
    let paths: Vec<&str> = found.items.iter().map(|item| item.path.as_str()).collect();
    assert_eq!(paths, ["lvel", "format"], "{found}");
}

/// A violated rule is reported together with values of the wrong type, not only after those are
/// corrected.
#[test]
fn wrong_types_and_violated_rules_are_reported_together() {
    let found = parse_log_settings("level: loud\nformat: 3\n").unwrap_err();
    let paths: Vec<&str> = found.items.iter().map(|item| item.path.as_str()).collect();
    assert_eq!(paths, ["level", "format"], "{found}");
}

#[test]
fn empty_text_gives_the_defaults() {
    assert_eq!(parse_log_settings("").unwrap().level, "info");
}

#[test]
fn builtin_charts_are_valid() {
    assert_eq!(charts::builtin().task.initial, "waiting");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_does_not_panic(text in "[ -~\n\t]{0,200}") {
        let _ = parse_log_settings(&text);
        let _ = charts::Chart::new(&text);
    }
}
