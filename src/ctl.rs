//! `hemlockctl`, the command-line tool for operators: subcommands, shared context, output and
//! exit codes.

pub mod apply;
pub mod audit;
pub mod change;
pub mod check;
pub mod collect;
pub mod drain;
pub mod get;
pub mod jobs;
pub mod plan;
pub mod rollback;
pub mod status;

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use crate::audit::trail::TrailError;
use crate::configs::ctl::CtlConfig;
use crate::configs::secret::Secret;
use crate::declarations::feed::FeedError;
use crate::declarations::publish::PublishError;
use crate::findings::Findings;
use crate::http::client::Pool;
use crate::settings;
use crate::store::client::HttpStore;
use crate::store::{Store, StoreError};

/// Why a command failed; each variant maps to an exit code and to a `code` in JSON output.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CtlError {
    /// The settings or declaration files are invalid; holds every finding.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// The command cannot be carried out as asked, or a daemon rejected it.
    #[error("{0}")]
    Refused(String),
    /// Another change was accepted first, or `--expect` names another revision than the current
    /// one; nothing was changed.
    #[error("{0}")]
    Conflict(String),
    /// The store or a daemon could not be reached; nothing was changed.
    #[error("{0}")]
    Unavailable(String),
    /// The change is accepted, but some daemon did not apply it within `apply_wait_ms`.
    #[error("{0}")]
    Lagging(String),
    /// No answer came: the change may or may not have been accepted.
    #[error("{0}")]
    InDoubt(String),
}

impl CtlError {
    /// Exit code of `hemlockctl` for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Refused(_) => 1,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Lagging(_) => 5,
            Self::InDoubt(_) => 6,
        }
    }

    /// Value of `code` in JSON output.
    fn code(&self) -> &'static str {
        match self {
            Self::Findings(_) => "findings",
            Self::Refused(_) => "refused",
            Self::Conflict(_) => "raced",
            Self::Unavailable(_) => "away",
            Self::Lagging(_) => "lagging",
            Self::InDoubt(_) => "in_doubt",
        }
    }
}

impl From<FeedError> for CtlError {
    fn from(error: FeedError) -> Self {
        match error {
            FeedError::Store(error) => Self::from(error),
            other => Self::Refused(other.to_string()),
        }
    }
}

impl From<PublishError> for CtlError {
    fn from(error: PublishError) -> Self {
        match error {
            PublishError::Conflict(_) | PublishError::RevisionMismatch { .. } => {
                Self::Conflict(error.to_string())
            }
            PublishError::NotAccepted(_) | PublishError::TrailUnreadable(TrailError::Store(_)) => {
                Self::Unavailable(error.to_string())
            }
            PublishError::InDoubt { .. } => Self::InDoubt(error.to_string()),
            PublishError::TrailUnreadable(_) | PublishError::Unreadable(_) => {
                Self::Refused(error.to_string())
            }
        }
    }
}

impl From<TrailError> for CtlError {
    fn from(error: TrailError) -> Self {
        match error {
            TrailError::Store(error) => Self::from(error),
            damaged @ TrailError::Damaged(_) => Self::Refused(damaged.to_string()),
        }
    }
}

impl From<StoreError> for CtlError {
    fn from(error: StoreError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

/// Settings, connections and output format that all subcommands share.
#[derive(Clone, Debug)]
pub struct Context {
    /// Settings; command-line arguments override the settings file.
    pub config: CtlConfig,
    /// Client of the platform's key-value store.
    pub store: Arc<dyn Store>,
    /// Connection pool for calls to entry and placer daemons.
    pub pool: Pool,
    /// Token sent to daemons with each call; empty to send none.
    pub token: Secret,
    /// Whether results and errors are printed as JSON.
    pub is_json: bool,
}

impl Context {
    /// Creates the store client and the connection pool, and reads the token file.
    ///
    /// # Errors
    /// The token file cannot be read.
    pub fn new(config: CtlConfig, is_json: bool) -> Result<Self, CtlError> {
        let pool = Pool::new(config.http.clone());
        let store = Arc::new(HttpStore::new(config.store.clone(), pool.clone()));
        let token = Secret::read(&config.token_file)
            .map_err(|error| CtlError::Refused(error.to_string()))?;
        Ok(Self { config, store, pool, token, is_json })
    }

    /// Prints a result on standard output: `value` with `--json`, else `text`.
    pub fn print(&self, value: &impl Serialize, text: &str) {
        let mut stdout = std::io::stdout().lock();
        let line = if self.is_json {
            serde_json::to_string(value).unwrap_or_default()
        } else {
            text.trim_end().to_owned()
        };
        let _ = writeln!(stdout, "{line}");
    }
}

/// The arguments and subcommands of `hemlockctl`.
pub fn command() -> Command {
    Command::new("hemlockctl")
        .about("Checks, applies and shows the declarations of a cell, and shows its state")
        .subcommand_required(true)
        .arg(global_option("settings", "FILE", "Settings file"))
        .arg(global_option("store", "IP:PORT", "Address of the platform's store"))
        .arg(global_option(
            "entry",
            "IP:PORT",
            "Address of an entry daemon, for job and worker commands",
        ))
        .arg(global_option(
            "placer",
            "IP:PORT",
            "Address of a placer daemon, for plan; job and worker commands prefer it to --entry",
        ))
        .arg(global_option("token-file", "FILE", "File with the token for calls to daemons"))
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print results and errors as JSON"),
        )
        .subcommands([
            check::command(),
            plan::command(),
            apply::command(),
            rollback::command(),
            drain::command(),
            get::command(),
            audit::history_command(),
            audit::command(),
            status::command(),
            collect::command(),
        ])
        .subcommands(jobs::commands())
}

/// An option that is accepted before and after the subcommand.
fn global_option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).global(true).help(help)
}

/// Runs the subcommand in `arguments`, prints its error if it fails, and returns the exit code.
pub async fn run(arguments: &ArgMatches) -> u8 {
    let is_json = arguments.get_flag("json");
    match run_command(arguments, is_json).await {
        Ok(()) => 0,
        Err(error) => {
            print_error(&error, is_json);
            error.exit_code()
        }
    }
}

async fn run_command(arguments: &ArgMatches, is_json: bool) -> Result<(), CtlError> {
    let Some((name, inner)) = arguments.subcommand() else {
        return Err(CtlError::Refused("no subcommand given; see --help".to_owned()));
    };
    let context = Context::new(load_config(arguments)?, is_json)?;
    match name {
        "check" => check::run(&context, inner),
        "plan" => plan::run(&context, inner).await,
        "apply" => apply::run(&context, inner).await,
        "rollback" => rollback::run(&context, inner).await,
        "drain" => drain::run(&context, inner).await,
        "get" => get::run(&context, inner).await,
        "history" => audit::run_history(&context, inner).await,
        "audit" => audit::run(&context, inner).await,
        "status" => status::run(&context).await,
        "collect" => collect::run(&context).await,
        _ => match jobs::run(&context, name, inner).await {
            Some(result) => result,
            None => Err(CtlError::Refused(format!("unknown subcommand {name:?}"))),
        },
    }
}

/// Loads the settings file, if one is given, and overrides it with the arguments.
fn load_config(arguments: &ArgMatches) -> Result<CtlConfig, CtlError> {
    let mut config = match arguments.get_one::<String>("settings") {
        Some(path) => settings::load(Path::new(path))?,
        None => CtlConfig::default(),
    };
    let text = |name| arguments.get_one::<String>(name).cloned();
    config.store.address = text("store").unwrap_or(config.store.address);
    config.entry_address = text("entry").unwrap_or(config.entry_address);
    config.placer_address = text("placer").unwrap_or(config.placer_address);
    config.token_file = text("token-file").unwrap_or(config.token_file);
    Ok(config)
}

/// Prints an error on standard error, as text or JSON.
fn print_error(error: &CtlError, is_json: bool) {
    let mut stderr = std::io::stderr().lock();
    if !is_json {
        let _ = writeln!(stderr, "{error}");
        return;
    }
    let findings = match error {
        CtlError::Findings(findings) => findings.items.as_slice(),
        _ => &[],
    };
    let body = serde_json::json!({
        "code": error.code(),
        "message": error.to_string(),
        "findings": findings,
    });
    let _ = writeln!(stderr, "{body}");
}

/// The positional argument that takes one or more declaration files.
fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .num_args(1..)
        .required(true)
        .help("Declaration files in YAML, merged into one set")
}

/// Paths given in [`files_argument`].
fn file_paths(arguments: &ArgMatches) -> Vec<PathBuf> {
    arguments.get_many::<String>("files").into_iter().flatten().map(PathBuf::from).collect()
}

/// Value of a numeric argument, or `None` if it is not given.
fn number_argument(arguments: &ArgMatches, name: &str) -> Option<u64> {
    arguments.get_one::<u64>(name).copied()
}
