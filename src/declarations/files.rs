//! Reads declarations from YAML files, merges them into one document and checks it.

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

/// Name and text of a declarations file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name by which findings refer to the file.
    pub name: String,
    /// YAML text.
    pub text: String,
}

/// File and path at which an item was declared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Index of the file among the merged sources.
    pub source: usize,
    /// Path of the item in its file, such as `workers[3]`.
    pub path: String,
}

/// Declarations merged from several files, with the origin of each item.
#[derive(Debug, Default)]
pub struct Merged {
    /// Items of all files, by section.
    pub declarations: Declarations,
    /// Origin of each item of `declarations`, in the same order.
    pub origins: Origins,
    /// Name and parsed document of each source.
    documents: Vec<(String, Document)>,
}

/// Origins of the items of each section, in the order of the items.
#[derive(Debug, Default)]
pub struct Origins {
    /// Origins of the zones.
    pub zones: Vec<Origin>,
    /// Origins of the workers.
    pub workers: Vec<Origin>,
    /// Origins of the services.
    pub services: Vec<Origin>,
    /// Origins of the teams.
    pub teams: Vec<Origin>,
    /// Origins of the rules.
    pub rules: Vec<Origin>,
}

impl Merged {
    /// File name, position and path of a field of an item; an empty `field` means the item itself.
    pub fn position(&self, origin: &Origin, field: &str) -> (&str, Position, String) {
        let path =
            if field.is_empty() { origin.path.clone() } else { format!("{}.{field}", origin.path) };
        match self.documents.get(origin.source) {
            Some((name, document)) => (name, position(document, &path), path),
            None => ("", Position::default(), path),
        }
    }
}

/// Position of the value at a path, or of the first field within it if the value itself has none.
fn position(document: &Document, path: &str) -> Position {
    let position = document.position(path);
    if position.line > 0 {
        return position;
    }
    let within = format!("{path}.");
    let inner = document.positions.iter().filter(|(known, _)| known.starts_with(&within));
    inner
        .map(|(_, position)| *position)
        .filter(|position| position.line > 0)
        .min()
        .unwrap_or(position)
}

/// Reads, merges and checks declarations files.
///
/// # Errors
/// All findings of all files, with their positions.
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

/// Merges and checks the texts of declarations files.
///
/// # Errors
/// All findings of all sources, with their positions.
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

/// Merges sources into one document. Faults are reported to `findings`; fields that cannot be read
/// keep their default, so that the rest can still be checked.
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
        settings::check_shape(&document, &expected_shape(), &name, findings);
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

/// The known keys, with one sample item per list; the labels of a worker may have any keys.
fn expected_shape() -> Value {
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

/// Deserializes the fields of an item that are valid by themselves; the others keep their default.
fn deserialize_valid_fields<T: DeserializeOwned + Default>(value: &Value) -> T {
    let fields = value.as_object().into_iter().flatten();
    let valid = fields.filter(|(field, inner)| {
        let single = json!({ field.as_str(): inner });
        serde_json::from_value::<T>(single).is_ok()
    });
    let valid = valid.map(|(field, inner)| (field.clone(), inner.clone())).collect();
    serde_json::from_value(Value::Object(valid)).unwrap_or_default()
}

/// Reads the items of one source and reports those that cannot be deserialized.
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
                    self.report_invalid_fields::<T>(value, &path, &error.to_string());
                    items.push(deserialize_valid_fields(value));
                    origins.push(Origin { source: self.source, path });
                }
            }
        }
    }

    /// Reports why an item cannot be deserialized: at each field that is invalid by itself or, if
    /// there is none, at the item with `item_error`.
    fn report_invalid_fields<T: DeserializeOwned>(
        &mut self,
        value: &Value,
        path: &str,
        item_error: &str,
    ) {
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
            self.push(path, item_error.to_owned());
        }
    }

    /// Whether the item at `path` already has a finding from the shape check.
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
        self.findings.push(self.name, position(self.document, path), path, message);
    }
}
