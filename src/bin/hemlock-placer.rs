//! `hemlock-placer`: takes jobs and places their tasks on the workers of one availability zone.

use std::io::Write as _;
use std::path::Path;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use hemlockrock::configs::placer::PlacerConfig;
use hemlockrock::placer::PlacerDaemon;
use hemlockrock::{drain, settings, telemetry};

fn main() -> ExitCode {
    telemetry::exit_code(start())
}

fn start() -> eyre::Result<()> {
    let arguments = command().get_matches();
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    async_std::task::block_on(run(&arguments))
}

async fn run(arguments: &ArgMatches) -> eyre::Result<()> {
    let config: PlacerConfig = match arguments.get_one::<String>("settings") {
        Some(path) => settings::load(Path::new(path))?,
        None => PlacerConfig::default(),
    };
    if arguments.get_flag("check") {
        writeln!(std::io::stdout(), "no findings")?;
        return Ok(());
    }
    telemetry::start_log(&config.log)?;
    let daemon = PlacerDaemon::start(config).await?;
    writeln!(std::io::stdout(), "listening {}", daemon.address())?;
    drain::wait_for_shutdown_signal().await?;
    let drained = daemon.drain().await;
    eyre::ensure!(drained.is_complete, "the drain did not complete within drain_timeout_ms");
    Ok(())
}

fn command() -> Command {
    Command::new("hemlock-placer")
        .about("Takes jobs and places their tasks on the workers of one availability zone")
        .arg(
            Arg::new("settings").long("settings").value_name("FILE").help("Settings file, in YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, report every finding, and exit"),
        )
}
