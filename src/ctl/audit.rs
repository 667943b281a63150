//! `history` and `audit`: show the changes of the declarations.

use clap::{Arg, ArgMatches, Command};

use crate::audit::{self, trail, AuditEntry, Filter, Kind};
use crate::clock;
use crate::ctl::{self, Context, CtlError};
use crate::declarations::publish;

/// Entries shown without a limit of one's own.
const LIMIT: u64 = 50;

/// Tries when a segment is replaced by a longer one while it is read.
const TRIES: usize = 3;

/// The subcommand `audit`.
pub fn command() -> Command {
    let number = clap::value_parser!(u64);
    Command::new("audit")
        .about("Shows the audit trail of changes, newest first")
        .arg(Arg::new("who").long("who").value_name("NAME").help("Changes by this person"))
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("TIME")
                .help("Changes of the last 30m, 12h or 7d, or since milliseconds of Unix time"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .value_parser(["apply", "rollback", "drain"])
                .help("Changes of this kind"),
        )
        .arg(Arg::new("change").long("change").value_name("ID").help("The change with this id"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .value_parser(number)
                .help("Entries at most, 50 by default"),
        )
}

/// The subcommand `history`.
pub fn history_command() -> Command {
    Command::new("history").about("Shows the revisions that rollback and get can still reach")
}

/// Runs `audit`.
///
/// # Errors
/// The store is away, or the trail is damaged.
pub async fn run(context: &Context, arguments: &ArgMatches) -> Result<(), CtlError> {
    let text = |name| arguments.get_one::<String>(name);
    let limit = ctl::number(arguments, "limit").unwrap_or(LIMIT);
    let filter = Filter {
        who: text("who").cloned(),
        since_unix_ms: text("since").map(|since| since_unix_ms(since)).transpose()?,
        kind: text("kind").and_then(|kind| Kind::parse(kind)),
        change: text("change").cloned(),
        limit: Some(usize::try_from(limit).unwrap_or(usize::MAX)),
    };
    let entries = read(context, &filter).await?;
    context.print(&entries, &lines(&entries));
    Ok(())
}

/// Runs `history`.
///
/// # Errors
/// The store is away.
pub async fn run_history(context: &Context, _arguments: &ArgMatches) -> Result<(), CtlError> {
    let root = publish::read_root(context.store.as_ref()).await?;
    let mut entries = root.map(|(root, _)| root.recent).unwrap_or_default();
    entries.reverse();
    context.print(&entries, &lines(&entries));
    Ok(())
}

async fn read(context: &Context, filter: &Filter) -> Result<Vec<AuditEntry>, CtlError> {
    let store = context.store.as_ref();
    let mut tries = 0;
    loop {
        let Some((root, _)) = publish::read_root(store).await? else { return Ok(Vec::new()) };
        tries += 1;
        match trail::read(store, &root.recent, root.sealed.as_ref(), filter).await {
            Err(trail::TrailError::Damaged(_)) if tries < TRIES => {}
            result => return Ok(result?),
        }
    }
}

/// Reads a time: an age such as `30m`, `12h` or `7d`, or milliseconds of Unix time.
fn since_unix_ms(text: &str) -> Result<u64, CtlError> {
    const UNITS: [(char, u64); 4] =
        [('s', 1_000), ('m', 60_000), ('h', 3_600_000), ('d', 86_400_000)];
    let refused =
        || CtlError::Refused(format!("--since {text}: expected 30m, 12h, 7d or a number"));
    let unit = UNITS.into_iter().find(|(unit, _)| text.ends_with(*unit));
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = number.parse().map_err(|_| refused())?;
    match unit {
        Some((_, unit_ms)) if text.len() == number.to_string().len() + 1 => {
            Ok(clock::unix_ms().saturating_sub(number.saturating_mul(unit_ms)))
        }
        None if text.chars().all(|c| c.is_ascii_digit()) => Ok(number),
        _ => Err(refused()),
    }
}

fn lines(entries: &[audit::AuditEntry]) -> String {
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
            short(&entry.before),
            short(&entry.after),
            entry.change
        );
    }
    text
}

fn short(digest: &str) -> &str {
    const SHOWN: usize = 8;
    match digest.get(..SHOWN) {
        Some(short) => short,
        None => "none",
    }
}
