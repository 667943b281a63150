//! Runs a whole cell in one process from one file and prints what happened.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{value_parser, Arg, Command};
use eyre::WrapErr as _;
use hemlockrock::configs::demo::DemoConfig;
use hemlockrock::{demo, settings, telemetry};

/// Exit code when a promise was broken.
const BROKEN: u8 = 1;

/// Exit code when the settings have findings.
const FINDINGS: u8 = 2;

fn main() -> eyre::Result<ExitCode> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let mut config: DemoConfig = match settings::load(&path) {
        Ok(config) => config,
        Err(findings) => {
            writeln!(std::io::stderr(), "{findings}")?;
            return Ok(ExitCode::from(FINDINGS));
        }
    };
    if let Some(seed) = matches.get_one::<u64>("seed") {
        config.seed = *seed;
    }
    telemetry::start_log(&config.log)?;
    #[allow(clippy::disallowed_methods, reason = "the top of a binary")]
    let report = async_std::task::block_on(demo::run(&config))?;
    writeln!(std::io::stdout(), "{report}")?;
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(file, text).wrap_err_with(|| file.display().to_string())?;
    }
    Ok(if report.is_kept() { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) })
}

fn command() -> Command {
    Command::new("hemlock-demo")
        .about("Runs a whole cell in one process on loopback and prints what happened")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Cell to run, such as examples/trentvale.yaml"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also writes the report as JSON"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Replaces the seed of the settings"),
        )
}
