//! `hemlock-demo`: runs a whole cell in one process from one settings file and prints a report.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use eyre::WrapErr as _;
use hemlockrock::configs::demo::DemoConfig;
use hemlockrock::{demo, settings, telemetry};

/// Exit code when a guarantee was violated, or the cell did not settle after a storm.
const EXIT_VIOLATION: u8 = 1;

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code when the cell could not be started or the report could not be written.
const EXIT_FAILED: u8 = 3;

/// Shortest duration of `--storm`, in seconds.
const MIN_STORM_S: u64 = 15;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run() -> eyre::Result<ExitCode> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let mut config: DemoConfig = match settings::load(&path) {
        Ok(config) => config,
        Err(findings) => {
            writeln!(std::io::stderr(), "{findings}")?;
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    if let Some(seed) = matches.get_one::<u64>("seed") {
        config.seed = *seed;
    }
    telemetry::start_log(&config.log)?;
    if matches.get_flag("storm") {
        return run_storm(&config, &matches);
    }
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    let report = async_std::task::block_on(demo::run(&config))?;
    writeln!(std::io::stdout(), "{report}")?;
    write_json(&matches, &report)?;
    Ok(exit_code(report.is_kept()))
}

fn run_storm(config: &DemoConfig, matches: &ArgMatches) -> eyre::Result<ExitCode> {
    const MS_PER_S: u64 = 1_000;
    let duration_s = matches.get_one::<u64>("duration-s").copied().unwrap_or(MIN_STORM_S);
    let storm = demo::storm::run(config, duration_s * MS_PER_S);
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    let report = async_std::task::block_on(storm)?;
    writeln!(std::io::stdout(), "{}", report.text())?;
    write_json(matches, &report)?;
    Ok(exit_code(report.is_kept()))
}

fn write_json(matches: &ArgMatches, report: &impl serde::Serialize) -> eyre::Result<()> {
    let Some(file) = matches.get_one::<PathBuf>("json") else { return Ok(()) };
    let text = serde_json::to_string_pretty(report)?;
    std::fs::write(file, text).wrap_err_with(|| format!("cannot write {}", file.display()))
}

fn exit_code(is_kept: bool) -> ExitCode {
    if is_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATION)
    }
}

fn command() -> Command {
    Command::new("hemlock-demo")
        .about("Runs a whole cell in one process on loopback and prints a report")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the cell, such as examples/trentvale.yaml"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write the report as JSON to this file as well"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed to use instead of the one in the settings"),
        )
        .arg(
            Arg::new("storm")
                .long("storm")
                .action(ArgAction::SetTrue)
                .help("Inject every kind of fault under load, then check that the cell settles"),
        )
        .arg(
            Arg::new("duration-s")
                .long("duration-s")
                .default_value("30")
                .requires("storm")
                .value_parser(value_parser!(u64).range(MIN_STORM_S..=3_600))
                .help("Duration of the storm, in seconds"),
        )
}
