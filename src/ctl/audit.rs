//! `history` and `audit`: show past changes of the declarations.

use clap::{Arg, ArgMatches, Command};

use crate::audit::{self, trail, AuditEntry, ChangeKind, Filter};
use crate::clock;
use crate::ctl::{self, Context, CtlError};
use crate::declarations::publish;

/// Entries that `audit` shows without `--limit`.
const DEFAULT_LIMIT: u64 = 50;

/// Attempts to read the trail: a segment that is replaced by a longer one during the read looks
/// damaged, and the next attempt starts from the new root record.
const MAX_READ_ATTEMPTS: usize = 3;

/// Defines the subcommand `audit` and its arguments.
pub fn command() -> Command {
    let number = clap::value_parser!(u64);
    Command::new("audit")
        .about("Shows the audit trail of declaration changes, newest first")
        .arg(
            Arg::new("who").long("who").value_name("NAME").help("Only changes made by this person"),
        )
        .arg(Arg::new("since").long("since").value_name("TIME").help(
            "Only changes of the last 30m, 12h or 7d, or since this Unix time in milliseconds",
        ))
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .value_parser(["apply", "rollback", "drain"])
                .help("Only changes of this kind"),
        )
        .arg(
            Arg::new("change").long("change").value_name("ID").help("Only the change with this id"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .value_parser(number)
                .help("Largest number of entries to show; 50 by default"),
        )
}

/// Defines the subcommand `history` and its arguments.
pub fn history_command() -> Command {
    Command::new("history")
        .about("Shows the revisions that are kept for rollback and get, newest first")
}

/// Prints the entries of the audit trail that match the arguments.
///
/// # Errors
/// The store cannot be reached, the trail is damaged, or `--since` is not a time.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let text = |name| arguments.get_one::<String>(name);
    let limit = ctl::number_argument(arguments, "limit").unwrap_or(DEFAULT_LIMIT);
    let filter = Filter {
        who: text("who").cloned(),
        since_unix_ms: text("since").map(|since| parse_since(since)).transpose()?,
        kind: text("kind").and_then(|kind| ChangeKind::parse(kind)),
        change: text("change").cloned(),
        limit: Some(usize::try_from(limit).unwrap_or(usize::MAX)),
    };
    let entries = read_trail(context, &filter).await?;
    context.print(&entries, &entry_lines(&entries));
    Ok(())
}

/// Prints the audit entries in the root record, newest first; `get` and `rollback` reach only
/// the revisions of these.
///
/// # Errors
/// The store cannot be reached.
pub async fn run_history(context: &Context, _arguments: &ArgMatches) -> Result<(), CtlError> {
    let root = publish::read_root(context.store.as_ref()).await?;
    let mut entries = root.map(|(root, _)| root.recent).unwrap_or_default();
    entries.reverse();
    context.print(&entries, &entry_lines(&entries));
    Ok(())
}

async fn read_trail(context: &Context, filter: &Filter) -> Result<Vec<AuditEntry>, CtlError> {
    let store = context.store.as_ref();
    let mut attempts = 0;
    loop {
        let Some((root, _)) = publish::read_root(store).await? else { return Ok(Vec::new()) };
        attempts += 1;
        match trail::read(store, &root.recent, root.sealed.as_ref(), filter).await {
            Err(trail::TrailError::Damaged(_)) if attempts < MAX_READ_ATTEMPTS => {}
            result => return Ok(result?),
        }
    }
}

/// Parses `--since` to Unix time in milliseconds. The text is an age such as `30m`, `12h` or `7d`,
/// or already such a time.
fn parse_since(text: &str) -> Result<u64, CtlError> {
    const UNITS: [(char, u64); 4] =
        [('s', 1_000), ('m', 60_000), ('h', 3_600_000), ('d', 86_400_000)];
    let invalid = || {
        CtlError::Refused(format!(
            "--since {text:?}: expected an age such as 30m, 12h or 7d, or Unix time in milliseconds"
        ))
    };
    let unit = UNITS.into_iter().find(|(unit, _)| text.ends_with(*unit));
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = number.parse().map_err(|_| invalid())?;
    match unit {
        Some((_, unit_ms)) if text.len() == number.to_string().len() + 1 => {
            Ok(clock::unix_ms().saturating_sub(number.saturating_mul(unit_ms)))
        }
        None if text.chars().all(|c| c.is_ascii_digit()) => Ok(number),
        _ => Err(invalid()),
    }
}

/// One line for each entry.
fn entry_lines(entries: &[audit::AuditEntry]) -> String {
    let mut text = String::new();
    for entry in entries {
        text += &format!(
            "{:>6} {} {:<8} {} from {}: {} [{} -> {}] {}\n",
            entry.revision,
            entry.at_unix_ms,
            entry.kind.as_str(),
            entry.who,
            entry.from,
            entry.why,
            short_digest(&entry.before),
            short_digest(&entry.after),
            entry.change
        );
    }
    text
}

/// The first characters of a digest, or `none` for the empty digest before the first change.
fn short_digest(digest: &str) -> &str {
    const SHOWN_CHARS: usize = 8;
    match digest.get(..SHOWN_CHARS) {
        Some(short) => short,
        None => "none",
    }
}
