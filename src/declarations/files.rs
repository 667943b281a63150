//! Reads declarations from files under version control and merges them.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};

use crate::declarations::{
    check, Declarations, EndpointDeclaration, RuleDeclaration, ServiceDeclaration, TeamDeclaration,
    WorkerDeclaration, ZoneDeclaration,
};
use crate::findings::{Findings, Position};
use crate::settings::{self, Document};

/// Largest file that is read, in bytes.
const FILE_LIMIT_BYTES: u64 = 8 * 1024 * 1024;

/// A file's name and text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name in findings.
    pub name: String,
    /// YAML text.
    pub text: String,
}

/// Where an item was declared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Index of the source.
    pub source: usize,
    /// Path of the item in its file, such as `workers[3]`.
    pub path: String,
}

/// The merged declarations, with the origin of each item.
#[derive(Debug, Default)]
pub struct Merged {
    /// The declarations.
    pub declarations: Declarations,
    /// Origins of zones, workers, services, teams and rules, in the order of the items.
    pub origins: Origins,
    documents: Vec<(String, Document)>,
}

/// Origins of the items of each section.
#[derive(Debug, Default)]
pub struct Origins {
    /// Of zones.
    pub zones: Vec<Origin>,
    /// Of workers.
    pub workers: Vec<Origin>,
    /// Of services.
    pub services: Vec<Origin>,
    /// Of teams.
    pub teams: Vec<Origin>,
    /// Of rules.
    pub rules: Vec<Origin>,
}

impl Merged {
    /// File and place of a field of an item.
    pub fn place(&self, origin: &Origin, field: &str) -> (&str, Position, String) {
        let path =
            if field.is_empty() { origin.path.clone() } else { format!("{}.{field}", origin.path) };
        match self.documents.get(origin.source) {
            Some((name, document)) => (name, place(document, &path), path),
            None => ("", Position::default(), path),
        }
    }
}

/// Position of a path, or of the first field within it, as maps have no place of their own.
fn place(document: &Document, path: &str) -> Position {
    let place = document.place(path);
    if place.line > 0 {
        return place;
    }
    let within = format!("{path}.");
    let inner = document.places.iter().filter(|(known, _)| known.starts_with(&within));
    inner.map(|(_, place)| *place).filter(|place| place.line > 0).min().unwrap_or(place)
}

/// Reads, merges and checks files.
///
/// # Errors
/// Every finding of every file, with its place.
pub fn load(paths: &[PathBuf]) -> Result<Declarations, Findings> {
    let mut findings = Findings::new();
    let mut sources = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        match read_file(path) {
            Ok(text) => sources.push(Source { name, text }),
            Err(message) => findings.push(name, Position::default(), "", message),
        }
    }
    let checked = merge_and_check(&sources);
    if let Err(more) = &checked {
        findings.items.extend(more.items.iter().cloned());
    }
    findings.into_result(checked.unwrap_or_default())
}

/// Merges and checks sources.
///
/// # Errors
/// Every finding of every source, with its place.
///
/// ```
/// use hemlockrock::declarations::files;
///
/// let source = files::Source { name: "cell.yaml".into(), text: "zones: [{name: mid-1}]".into() };
/// let declarations = files::merge_and_check(&[source]).unwrap();
/// assert_eq!(declarations.zones[0].name, "mid-1");
/// ```
pub fn merge_and_check(sources: &[Source]) -> Result<Declarations, Findings> {
    let mut findings = Findings::new();
    let mut merged = merge(sources, &mut findings);
    check::check(&merged, &mut findings);
    super::parts::sort(&mut merged.declarations);
    findings.into_result(merged.declarations)
}

fn read_file(path: &Path) -> Result<String, String> {
    let metadata = std::fs::metadata(path).map_err(|error| format!("cannot be read: {error}"))?;
    if metadata.len() > FILE_LIMIT_BYTES {
        return Err(format!("is larger than {FILE_LIMIT_BYTES} bytes"));
    }
    std::fs::read_to_string(path).map_err(|error| format!("cannot be read: {error}"))
}

/// Merges sources; what cannot be read is reported and left out.
pub fn merge(sources: &[Source], findings: &mut Findings) -> Merged {
    let mut merged = Merged::default();
    for source in sources {
        let document = match settings::parse_document(&source.name, &source.text) {
            Ok(document) => document,
            Err(more) => {
                findings.items.extend(more.items);
                Document::default()
            }
        };
        merged.documents.push((source.name.clone(), document));
    }
    for index in 0..merged.documents.len() {
        let (name, document) = std::mem::take(&mut merged.documents[index]);
        settings::check_shape(&document, &shape(), &name, findings);
        let mut reader = Reader { name: &name, document: &document, source: index, findings };
        let Merged { declarations, origins, .. } = &mut merged;
        reader.items("zones", &mut declarations.zones, &mut origins.zones);
        reader.items("workers", &mut declarations.workers, &mut origins.workers);
        reader.items("services", &mut declarations.services, &mut origins.services);
        reader.items("teams", &mut declarations.teams, &mut origins.teams);
        reader.items("rules", &mut declarations.rules, &mut origins.rules);
        merged.documents[index] = (name, document);
    }
    merged
}

/// The known keys with a sample of each list; labels may have any keys.
fn shape() -> Value {
    let mut worker = json!(WorkerDeclaration::default());
    worker["labels"] = Value::Null;
    let mut service = json!(ServiceDeclaration::default());
    service["endpoints"] = json!([EndpointDeclaration::default()]);
    json!({
        "zones": [ZoneDeclaration::default()],
        "workers": [worker],
        "services": [service],
        "teams": [TeamDeclaration::default()],
        "rules": [RuleDeclaration::default()],
    })
}

/// An item of the fields that can be read, so that its other faults are found as well.
fn readable_part<T: DeserializeOwned + Default>(value: &Value) -> T {
    let fields = value.as_object().into_iter().flatten();
    let sound = fields.filter(|(field, inner)| {
        let single = json!({ field.as_str(): inner });
        serde_json::from_value::<T>(single).is_ok()
    });
    let sound = sound.map(|(field, inner)| (field.clone(), inner.clone())).collect();
    serde_json::from_value(Value::Object(sound)).unwrap_or_default()
}

struct Reader<'a> {
    name: &'a str,
    document: &'a Document,
    source: usize,
    findings: &'a mut Findings,
}

impl Reader<'_> {
    fn items<T>(&mut self, section: &str, items: &mut Vec<T>, origins: &mut Vec<Origin>)
    where
        T: DeserializeOwned + Serialize + Default,
    {
        let Some(Value::Array(values)) = self.document.value.get(section) else { return };
        for (index, value) in values.iter().enumerate() {
            let path = format!("{section}[{index}]");
            match serde_json::from_value(value.clone()) {
                Ok(item) => {
                    items.push(item);
                    origins.push(Origin { source: self.source, path });
                }
                Err(error) => {
                    self.explain::<T>(value, &path, &error.to_string());
                    items.push(readable_part(value));
                    origins.push(Origin { source: self.source, path });
                }
            }
        }
    }

    /// Reports why an item cannot be read, at each field that is wrong by itself.
    fn explain<T: DeserializeOwned>(&mut self, value: &Value, path: &str, whole: &str) {
        if self.is_reported(path) {
            return;
        }
        let before = self.findings.items.len();
        for (field, inner) in value.as_object().into_iter().flatten() {
            let single = json!({ field: inner });
            if let Err(error) = serde_json::from_value::<T>(single) {
                self.push(&format!("{path}.{field}"), error.to_string());
            }
        }
        if self.findings.items.len() == before {
            self.push(path, whole.to_owned());
        }
    }

    /// Whether the comparison with the shape has found something in the item.
    fn is_reported(&self, path: &str) -> bool {
        self.findings.items.iter().any(|finding| {
            finding.file == self.name
                && finding
                    .path
                    .strip_prefix(path)
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        })
    }

    fn push(&mut self, path: &str, message: String) {
        self.findings.push(self.name, place(self.document, path), path, message);
    }
}
