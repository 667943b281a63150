//! Differences between two sets of declarations, and the workers whose tasks a change displaces.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::collections::HashMap;
use crate::declarations::{Declarations, WorkerDeclaration};

/// How an item differs between the old and the new declarations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// Only the new declarations have it.
    Added,
    /// Only the old declarations have it.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

/// One item that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// Type of the item: `zone`, `worker`, `service`, `team` or `rule`.
    pub section: String,
    /// Name of the item.
    pub name: String,
    /// How it differs.
    pub kind: DifferenceKind,
    /// Names of the fields that differ; empty for an added or removed item.
    pub fields: Vec<String>,
}

/// Why a change may displace the tasks on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisplacementCause {
    /// The worker is no longer declared.
    Removed,
    /// The worker is newly marked as drained.
    Drained,
    /// The worker is declared with less of a resource.
    Shrunk,
    /// The worker is declared in another zone or rack, or at another address.
    Moved,
}

/// A worker whose tasks a change may displace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AffectedWorker {
    /// Name of the worker.
    pub worker: String,
    /// Zone of the worker before the change.
    pub zone: String,
    /// Why the tasks may be displaced.
    pub cause: DisplacementCause,
}

/// Lists the items that differ, ordered by section and name.
///
/// ```
/// use hemlockrock::declarations::{diff, Declarations, TeamDeclaration};
///
/// let mut after = Declarations::default();
/// after.teams.push(TeamDeclaration { name: "shops".into(), ..Default::default() });
/// let found = diff::differences(&Declarations::default(), &after);
/// assert_eq!(found[0].kind, diff::DifferenceKind::Added);
/// ```
pub fn differences(before: &Declarations, after: &Declarations) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("zone", &before.zones, &after.zones, |zone| &zone.name, &mut found);
    compare("worker", &before.workers, &after.workers, |worker| &worker.name, &mut found);
    compare("service", &before.services, &after.services, |service| &service.name, &mut found);
    compare("team", &before.teams, &after.teams, |team| &team.name, &mut found);
    compare("rule", &before.rules, &after.rules, |rule| &rule.name, &mut found);
    found
}

fn compare<T: Serialize + PartialEq>(
    section: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &str,
    found: &mut Vec<Difference>,
) {
    let begin = found.len();
    let mut push = |item: &T, kind, fields| {
        let (section, name) = (section.to_owned(), name(item).to_owned());
        found.push(Difference { section, name, kind, fields });
    };
    let old: HashMap<&str, &T> = before.iter().map(|item| (name(item), item)).collect();
    let new: HashMap<&str, &T> = after.iter().map(|item| (name(item), item)).collect();
    for item in before.iter().filter(|item| !new.contains_key(name(item))) {
        push(item, DifferenceKind::Removed, Vec::new());
    }
    for item in after {
        match old.get(name(item)) {
            None => push(item, DifferenceKind::Added, Vec::new()),
            Some(old) if *old != item => {
                push(item, DifferenceKind::Changed, differing_fields(*old, item));
            }
            Some(_) => {}
        }
    }
    found[begin..].sort_by(|left, right| left.name.cmp(&right.name));
}

/// Names of the fields whose values differ.
fn differing_fields(before: &impl Serialize, after: &impl Serialize) -> Vec<String> {
    let map = |item: Result<Value, serde_json::Error>| match item {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    };
    let (before, after) = (map(serde_json::to_value(before)), map(serde_json::to_value(after)));
    let differing = after.iter().filter(|(key, value)| before.get(*key) != Some(*value));
    differing.map(|(key, _)| key.clone()).collect()
}

/// Lists the workers whose tasks a change may displace, in the order of `before`.
pub fn affected_workers(before: &Declarations, after: &Declarations) -> Vec<AffectedWorker> {
    let new: HashMap<&str, &WorkerDeclaration> =
        after.workers.iter().map(|worker| (worker.name.as_str(), worker)).collect();
    let affected = before.workers.iter().filter_map(|worker| {
        let cause = displacement_cause(worker, new.get(worker.name.as_str()).copied())?;
        Some(AffectedWorker { worker: worker.name.clone(), zone: worker.zone.clone(), cause })
    });
    affected.collect()
}

fn displacement_cause(
    before: &WorkerDeclaration,
    after: Option<&WorkerDeclaration>,
) -> Option<DisplacementCause> {
    let Some(after) = after else { return Some(DisplacementCause::Removed) };
    let location = |worker: &WorkerDeclaration| {
        (worker.zone.clone(), worker.rack.clone(), worker.address.clone())
    };
    if location(before) != location(after) {
        return Some(DisplacementCause::Moved);
    }
    if after.drain && !before.drain {
        return Some(DisplacementCause::Drained);
    }
    let is_less = after.cpu_millis < before.cpu_millis
        || after.memory_bytes < before.memory_bytes
        || after.accelerators < before.accelerators;
    is_less.then_some(DisplacementCause::Shrunk)
}
