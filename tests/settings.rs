//! Settings, charts and findings: bad input is reported whole and never panics.

use hemlockrock::{charts, configs, settings};
use proptest::prelude::*;

fn log(text: &str) -> Result<configs::log::LogConfig, hemlockrock::findings::Findings> {
    settings::parse("log.yaml", text)
}

#[test]
fn every_finding_has_its_place() {
    let found = log("level: loud\nformat: xml\n").unwrap_err();
    let lines: Vec<u32> = found.items.iter().map(|item| item.place.line).collect();
    assert_eq!(lines, [1, 2], "{found}");
}

#[test]
fn unknown_keys_and_wrong_kinds_are_reported_together() {
    let found = log("lvel: info\nformat: [json]\n").unwrap_err();
    let paths: Vec<&str> = found.items.iter().map(|item| item.path.as_str()).collect();
    assert_eq!(paths, ["lvel", "format"], "{found}");
}

/// A rule that is broken is reported beside keys of the wrong kind, not after they are mended.
#[test]
fn kinds_and_rules_are_reported_together() {
    let found = log("level: loud\nformat: 3\n").unwrap_err();
    let paths: Vec<&str> = found.items.iter().map(|item| item.path.as_str()).collect();
    assert_eq!(paths, ["level", "format"], "{found}");
}

#[test]
fn empty_text_gives_the_defaults() {
    assert_eq!(log("").unwrap().level, "info");
}

#[test]
fn builtin_charts_are_sound() {
    assert_eq!(charts::builtin().task.initial, "waiting");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_read_or_refused(text in "[ -~\n\t]{0,200}") {
        let _ = log(&text);
        let _ = charts::Chart::new(&text);
    }
}
