//! `hemlock-queue`: takes jobs into queues and runs their tasks on the users' runners; one process
//! runs on each queue host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::WrapErr as _;
use hemlockrock::configs::queue::QueueConfig;
use hemlockrock::platform::settings as platform;
use hemlockrock::queue::daemon;
use hemlockrock::{settings, telemetry};

fn main() -> ExitCode {
    telemetry::exit_code(start())
}

fn start() -> eyre::Result<()> {
    let arguments = command().get_matches();
    let config: QueueConfig = match arguments.get_one::<PathBuf>("settings") {
        Some(path) => settings::load(Path::new(path))?,
        None => QueueConfig::default(),
    };
    let site = site_path(&arguments)?;
    if arguments.get_flag("check") {
        let text =
            std::fs::read(&site).wrap_err_with(|| format!("cannot read {}", site.display()))?;
        platform::decode(&text).map_err(|error| eyre::eyre!("{}: {error}", site.display()))?;
        return Ok(());
    }
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    async_std::task::block_on(daemon::run(site, config))
}

/// Path of the platform's settings file: from `--site`, else from the environment.
fn site_path(arguments: &ArgMatches) -> eyre::Result<PathBuf> {
    if let Some(path) = arguments.get_one::<PathBuf>("site") {
        return Ok(path.clone());
    }
    let path = std::env::var_os(platform::PATH_VARIABLE);
    path.map(PathBuf::from).ok_or_else(|| {
        eyre::eyre!(
            "path of the platform's settings is unknown: give --site or set {}",
            platform::PATH_VARIABLE
        )
    })
}

fn command() -> Command {
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(clap::value_parser!(PathBuf))
            .help(help)
    };
    Command::new("hemlock-queue")
        .about("Takes jobs into queues and runs their tasks on runners")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(path("settings", "Settings of hemlock-queue, in YAML"))
        .arg(path(
            "site",
            "Settings file of the platform, instead of the one named by HEMLOCKROCK_CONFIG",
        ))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check both settings files and exit"),
        )
}
