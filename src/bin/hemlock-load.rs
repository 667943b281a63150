//! `hemlock-load`: generates seeded open-loop load and reports outcomes and latency as callers see
//! them.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use eyre::WrapErr as _;
use hemlockrock::configs::load::{JobLoadConfig, RequestLoadConfig};
use hemlockrock::configs::log::LogConfig;
use hemlockrock::load::results::{Results, Run, Window};
use hemlockrock::load::suite::{self, Case};
use hemlockrock::load::{connections, driver, jobs, usage};
use hemlockrock::{clock, settings, telemetry};

fn main() -> ExitCode {
    telemetry::exit_code(start())
}

fn start() -> eyre::Result<()> {
    let matches = command().get_matches();
    if let Some(paths) = matches.get_many::<PathBuf>("compare") {
        return compare(paths.collect());
    }
    telemetry::start_log(&LogConfig { level: "warn".to_owned(), ..LogConfig::default() })?;
    #[allow(clippy::disallowed_methods, reason = "main blocks on the async runtime")]
    async_std::task::block_on(run(&matches))
}

fn command() -> Command {
    let json = Arg::new("json")
        .long("json")
        .value_name("FILE")
        .global(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Write the report as JSON to this file as well");
    let compare = Arg::new("compare")
        .long("compare")
        .num_args(2)
        .value_names(["A.json", "B.json"])
        .value_parser(clap::value_parser!(PathBuf))
        .help("Compare two JSON reports and exit");
    Command::new("hemlock-load")
        .about("Generates seeded open-loop load and reports outcomes and latency")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(json)
        .arg(compare)
        .subcommand(
            Command::new("requests")
                .about("Sends requests to entry hosts")
                .arg(settings_arg())
                .arg(pid_arg()),
        )
        .subcommand(connections_command())
        .subcommand(
            Command::new("jobs")
                .about("Submits jobs and follows them to their end")
                .arg(settings_arg()),
        )
        .subcommand(suite_command())
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Settings file of the load, in YAML")
}

fn pid_arg() -> Arg {
    Arg::new("pid")
        .long("pid")
        .value_parser(clap::value_parser!(u32))
        .help("Process whose CPU time and memory are reported as well")
}

fn connections_command() -> Command {
    Command::new("connections")
        .about("Opens connections to an entry host and reports the memory they use there")
        .arg(
            Arg::new("target")
                .long("target")
                .required(true)
                .value_parser(clap::value_parser!(std::net::SocketAddr))
                .help("Address of the entry host, IP:port"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .default_value("10000")
                .value_parser(clap::value_parser!(u32))
                .help("Connections"),
        )
        .arg(pid_arg().required(true))
}

fn suite_command() -> Command {
    let names = Case::ALL.map(Case::name);
    Command::new("suite")
        .about("Benchmarks the request path, starting a cell on loopback for each measurement")
        .arg(
            Arg::new("only")
                .long("only")
                .value_delimiter(',')
                .value_parser(clap::builder::PossibleValuesParser::new(names))
                .help("Measurements to run, separated by commas; all by default"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(clap::value_parser!(u64))
                .help("Seed of the arrival times, kinds and callers"),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .default_value("1.0")
                .value_parser(clap::value_parser!(f64))
                .help("Factor that the duration of each measurement is multiplied by"),
        )
}

async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let started_at_ms = clock::unix_ms();
    let (seed, runs) = match matches.subcommand() {
        Some(("requests", matches)) => run_requests(matches).await?,
        Some(("connections", matches)) => run_connections(matches).await?,
        Some(("jobs", matches)) => run_jobs(matches).await?,
        Some(("suite", matches)) => run_suite(matches).await?,
        _ => eyre::bail!("no subcommand given; see --help"),
    };
    let mut results = Results::new(std::env::args().collect(), seed, started_at_ms);
    results.runs = runs;
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&results)?;
        std::fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    write!(std::io::stdout(), "{}", results.to_text())?;
    eyre::ensure!(results.is_met(), "at least one target was missed; see the lines marked MISSED");
    Ok(())
}

async fn run_requests(matches: &ArgMatches) -> eyre::Result<(u64, Vec<Run>)> {
    let config: RequestLoadConfig = read_settings(matches)?;
    let pid = matches.get_one::<u32>("pid").copied();
    let before = pid.map(usage::read).transpose()?;
    let results = driver::run(&config.plan, &config.targets).await;
    let window = Window::new("all", &config.plan, &results, 0..u64::MAX);
    let name = "requests".to_owned();
    let mut run = Run { name, windows: vec![window], ..Run::default() };
    if let (Some(pid), Some(before)) = (pid, before) {
        usage::read(pid)?.add_figures(&before, &mut run);
    }
    Ok((config.plan.seed, vec![run]))
}

async fn run_connections(matches: &ArgMatches) -> eyre::Result<(u64, Vec<Run>)> {
    let target = matches.get_one::<std::net::SocketAddr>("target").map(ToString::to_string);
    let count = matches.get_one::<u32>("count").copied().unwrap_or_default() as usize;
    let pid = matches.get_one::<u32>("pid").copied().unwrap_or_default();
    Ok((0, vec![connections::run(&target.unwrap_or_default(), count, pid).await?]))
}

async fn run_jobs(matches: &ArgMatches) -> eyre::Result<(u64, Vec<Run>)> {
    let config: JobLoadConfig = read_settings(matches)?;
    let name = format!("load-{}", clock::unix_ms());
    let run = jobs::run(&config, &name).await;
    Ok((config.seed, vec![Run { name: "jobs".to_owned(), ..run }]))
}

async fn run_suite(matches: &ArgMatches) -> eyre::Result<(u64, Vec<Run>)> {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let scale = matches.get_one::<f64>("scale").copied().unwrap_or(1.0);
    let only: Vec<Case> = matches
        .get_many::<String>("only")
        .map(|names| names.filter_map(|name| Case::parse(name)).collect())
        .unwrap_or_else(|| Case::ALL.to_vec());
    let mut runs = Vec::new();
    for case in only {
        runs.extend(suite::run(case, seed, scale).await?);
    }
    Ok((seed, runs))
}

fn read_settings<T>(matches: &ArgMatches) -> eyre::Result<T>
where
    T: serde::de::DeserializeOwned + serde::Serialize + Default + settings::Validate,
{
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    Ok(settings::load(&path)?)
}

fn compare(paths: Vec<&PathBuf>) -> eyre::Result<()> {
    let mut reports = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        reports.push(
            Results::parse(&text)
                .wrap_err_with(|| format!("{} is not a report", path.display()))?,
        );
    }
    if let [first, second] = &reports[..] {
        write!(std::io::stdout(), "{}", first.compare(second))?;
    }
    Ok(())
}
