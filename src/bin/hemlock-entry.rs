//! `hemlock-entry`: the entry host of a cell, which takes callers' requests and dispatches them to
//! endpoints.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use eyre::WrapErr as _;
use hemlockrock::configs::entry::EntryConfig;
use hemlockrock::entry::Entry;
use hemlockrock::{drain, settings, telemetry};

fn main() -> ExitCode {
    telemetry::exit_code(start())
}

fn start() -> eyre::Result<()> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let config: EntryConfig = settings::load(&path)?;
    if matches.get_flag("check") {
        writeln!(std::io::stdout(), "{}: no findings", path.display())?;
        return Ok(());
    }
    telemetry::start_log(&config.log)?;
    if config.traffic_threads > 0 {
        std::env::set_var("ASYNC_STD_THREAD_COUNT", config.traffic_threads.to_string());
    }
    run(config)
}

#[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
fn run(config: EntryConfig) -> eyre::Result<()> {
    async_std::task::block_on(async {
        let entry = Entry::start(config).await?;
        let mut out = std::io::stdout();
        writeln!(out, "listening {}", entry.address())?;
        out.flush()?;
        drain::wait_for_shutdown_signal().await.wrap_err("signals")?;
        entry.drain().await;
        Ok(())
    })
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Settings file, in YAML");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report every finding, and exit");
    Command::new("hemlock-entry")
        .about("Takes requests, dispatches them to endpoints and reports whether each one ran")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(check)
}
