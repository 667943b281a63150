//! `hemlock-standin`: runs a fake of one external system, for tests and for running the daemons
//! by hand.

use std::io::Write as _;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use eyre::WrapErr as _;
use futures_lite::future;
use hemlockrock::place::spec::Resources;
use hemlockrock::standin::{hosts, proxy, runner, store, worker};
use hemlockrock::telemetry;

fn main() -> ExitCode {
    telemetry::exit_code(start())
}

fn start() -> eyre::Result<()> {
    let matches = command().get_matches();
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    async_std::task::block_on(run(&matches))
}

fn command() -> Command {
    Command::new("hemlock-standin")
        .about("Runs a fake of one external system, for tests")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("store").about("The platform's key-value service").arg(listen()))
        .subcommand(
            Command::new("runner")
                .about("An endpoint with slots that records what it runs")
                .arg(listen())
                .arg(
                    Arg::new("name")
                        .long("name")
                        .default_value("runner")
                        .help("Name of the endpoint"),
                )
                .arg(
                    Arg::new("slots")
                        .long("slots")
                        .default_value("8")
                        .value_parser(clap::value_parser!(u32).range(1..))
                        .help("Number of requests that run at the same time"),
                ),
        )
        .subcommand(
            Command::new("hosts")
                .about("The platform's host list, which shows changes with a delay")
                .arg(listen())
                .arg(
                    Arg::new("lag-ms")
                        .long("lag-ms")
                        .default_value("1000")
                        .value_parser(clap::value_parser!(u64))
                        .help("Time until a change shows in the list, in milliseconds"),
                ),
        )
        .subcommand(worker_command())
        .subcommand(
            Command::new("proxy")
                .about("Forwards TCP connections and injects faults")
                .arg(listen())
                .arg(
                    Arg::new("target")
                        .long("target")
                        .required(true)
                        .value_parser(clap::value_parser!(std::net::SocketAddr))
                        .help("Address that connections are forwarded to, IP:port"),
                )
                .arg(
                    Arg::new("control")
                        .long("control")
                        .default_value("127.0.0.1:0")
                        .value_parser(clap::value_parser!(std::net::SocketAddr))
                        .help("Address that accepts the faults to inject, IP:port"),
                ),
        )
}

fn worker_command() -> Command {
    let amount = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = clap::value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    Command::new("worker")
        .about("The platform's agents of one or more workers, on a single address")
        .arg(listen())
        .arg(
            Arg::new("name")
                .long("name")
                .action(clap::ArgAction::Append)
                .default_value("worker-1")
                .help("Name of a worker; may be repeated"),
        )
        .arg(amount("cpu-millis", "16000", "CPU of each worker, in thousandths of a core"))
        .arg(amount("memory-bytes", "32000000000", "Memory of each worker, in bytes"))
        .arg(amount("accelerators", "0", "Number of accelerators of each worker"))
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .value_parser(clap::value_parser!(std::net::SocketAddr))
        .help("Address to listen on, IP:port; port 0 takes a free one")
}

async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("store", matches)) => run_store(matches).await,
        Some(("runner", matches)) => run_runner(matches).await,
        Some(("hosts", matches)) => run_hosts(matches).await,
        Some(("worker", matches)) => run_worker(matches).await,
        Some(("proxy", matches)) => run_proxy(matches).await,
        _ => eyre::bail!("no such stand-in; see --help"),
    }
}

async fn run_store(matches: &ArgMatches) -> eyre::Result<()> {
    let address = address(matches, "listen")?;
    let standin = store::StoreStandin::start(&address).await.wrap_err(address)?;
    announce(&standin.address())?;
    future::pending().await
}

async fn run_runner(matches: &ArgMatches) -> eyre::Result<()> {
    let config = runner::RunnerConfig {
        name: matches.get_one::<String>("name").cloned().unwrap_or_default(),
        listen: address(matches, "listen")?,
        slots: matches.get_one::<u32>("slots").copied().unwrap_or(1),
        ..runner::RunnerConfig::default()
    };
    let standin = runner::RunnerStandin::start(config).await?;
    announce(&standin.address())?;
    future::pending().await
}

async fn run_hosts(matches: &ArgMatches) -> eyre::Result<()> {
    let lag_ms = matches.get_one::<u64>("lag-ms").copied().unwrap_or_default();
    let standin = hosts::HostsStandin::start(&address(matches, "listen")?).await?;
    standin.change(hosts::HostsChange { lag_ms: Some(lag_ms), hosts: Vec::new() });
    announce(&standin.address())?;
    future::pending().await
}

async fn run_worker(matches: &ArgMatches) -> eyre::Result<()> {
    let amount = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let accelerators = u32::try_from(amount("accelerators"))?;
    let capacity = Resources::new(amount("cpu-millis"), amount("memory-bytes"), accelerators);
    let names = matches.get_many::<String>("name").unwrap_or_default();
    let config = worker::WorkerConfig {
        address: address(matches, "listen")?,
        workers: names.map(|name| worker::HostedWorker::new(name, capacity)).collect(),
        ..worker::WorkerConfig::default()
    };
    let standin = worker::WorkerStandin::start(config).await?;
    announce(&standin.address())?;
    future::pending().await
}

async fn run_proxy(matches: &ArgMatches) -> eyre::Result<()> {
    let listen_address = address(matches, "listen")?;
    let target = address(matches, "target")?;
    let standin = proxy::ProxyStandin::start(&listen_address, target).await?;
    let control = standin.serve_control(&address(matches, "control")?).await?;
    announce(&standin.address())?;
    writeln!(std::io::stdout(), "control {}", control.address())?;
    future::pending().await
}

fn address(matches: &ArgMatches, name: &str) -> eyre::Result<String> {
    let address = matches.get_one::<std::net::SocketAddr>(name);
    address.map(ToString::to_string).ok_or_else(|| eyre::eyre!("argument --{name} is missing"))
}

/// Prints the listening address on standard output; tests and scripts wait for this line.
fn announce(address: &str) -> eyre::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    Ok(())
}
