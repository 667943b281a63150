//! Reads YAML settings and reports all faults with their positions before a program starts.
//!
//! The `Default` of a settings struct defines the known keys and the type of
//! each value. A file is first compared with that shape, so that all unknown
//! keys and wrong types are reported together. [`Validate`] then checks the
//! values. A key that is absent takes its default.

use std::path::Path;

use saphyr::{LoadableYamlNode, MarkedYamlOwned, ScalarOwned, YamlDataOwned};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::collections;
use crate::findings::{Findings, Position};

/// Largest valid settings file, in bytes.
const SETTINGS_LIMIT_BYTES: u64 = 4 * 1024 * 1024;

/// Deepest valid nesting of maps and lists.
const DEPTH_LIMIT: usize = 32;

/// Rules on values beyond their type, such as ranges and relations between fields.
pub trait Validate {
    /// Reports each violated rule to `report` under the path of its field.
    fn validate(&self, report: &mut Report<'_>);
}

/// Collects violated rules as findings and adds their positions in the file.
#[derive(Debug)]
pub struct Report<'a> {
    file: &'a str,
    positions: &'a collections::HashMap<String, Position>,
    /// Path of the part of the settings that is validated; empty for the whole.
    prefix: String,
    findings: &'a mut Findings,
}

impl Report<'_> {
    /// Reports that the field at `path` violates a rule.
    pub fn push(&mut self, path: &str, message: impl Into<String>) {
        let path = join(&self.prefix, path);
        let position = nearest_position(self.positions, &path);
        self.findings.push(self.file, position, path, message);
    }

    /// Reports `message` for the field at `path` unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.push(path, message);
        }
    }

    /// Validates the part of the settings at `path`.
    pub fn nested(&mut self, path: &str, part: &impl Validate) {
        let prefix = join(&self.prefix, path);
        let mut report = Report {
            file: self.file,
            positions: self.positions,
            prefix,
            findings: &mut *self.findings,
        };
        part.validate(&mut report);
    }
}

/// Reads and validates a settings file.
///
/// # Errors
/// All findings together: an unreadable or too large file, invalid YAML,
/// unknown keys, wrong types and violated rules.
pub fn load<T>(path: &Path) -> Result<T, Findings>
where
    T: DeserializeOwned + Serialize + Default + Validate,
{
    let file = path.display().to_string();
    let text = read_limited(path).map_err(|message| single_finding(&file, "", message))?;
    parse(&file, &text)
}

/// Parses and validates the text of a settings file; findings refer to it as `file`.
///
/// # Errors
/// All findings together, as for [`load`].
///
/// ```
/// use hemlockrock::{configs, settings};
///
/// let found = settings::parse::<configs::log::LogConfig>("log.yaml", "levle: info\nformat: 3\n");
/// assert_eq!(found.unwrap_err().items.len(), 2);
/// ```
pub fn parse<T>(file: &str, text: &str) -> Result<T, Findings>
where
    T: DeserializeOwned + Serialize + Default + Validate,
{
    let mut document = parse_document(file, text)?;
    let defaults = serde_json::to_value(T::default())
        .map_err(|error| single_finding(file, "", error.to_string()))?;
    let mut findings = Findings::new();
    check_shape(&document, &defaults, file, &mut findings);
    for finding in &findings.items {
        remove_path(&mut document.value, &finding.path);
    }
    let settings: T = match deserialize(&document, &defaults, file) {
        Ok(settings) => settings,
        Err(more) => {
            findings.items.extend(more.items);
            return findings.into_result(T::default());
        }
    };
    let mut report = Report {
        file,
        positions: &document.positions,
        prefix: String::new(),
        findings: &mut findings,
    };
    settings.validate(&mut report);
    findings.into_result(settings)
}

/// Removes the value at `path`, so that the rest can be validated; removes the whole list if the
/// value is in one.
fn remove_path(value: &mut Value, path: &str) {
    let Some(map) = value.as_object_mut() else { return };
    let (name, rest) = path.split_once('.').unwrap_or((path, ""));
    let (name, is_list) = name.split_once('[').map_or((name, false), |(name, _)| (name, true));
    if is_list || rest.is_empty() {
        map.remove(name);
    } else if let Some(inner) = map.get_mut(name) {
        remove_path(inner, rest);
    }
}

/// A parsed YAML document with the position of every value.
#[derive(Debug, Default)]
pub struct Document {
    /// Root of the parsed values; an empty map for an empty text.
    pub value: Value,
    /// Position of each path, such as `workers[3].zone`.
    pub positions: collections::HashMap<String, Position>,
}

impl Document {
    /// Position of `path`, or of its nearest ancestor in the file.
    pub fn position(&self, path: &str) -> Position {
        nearest_position(&self.positions, path)
    }
}

/// Parses YAML text into values and positions without checking keys or types.
///
/// # Errors
/// Invalid YAML, repeated keys, tags, aliases and too deep nesting, each with its position.
pub fn parse_document(file: &str, text: &str) -> Result<Document, Findings> {
    let nodes = MarkedYamlOwned::load_from_str(text).map_err(|error| {
        let position = position_of(error.marker().line(), error.marker().col());
        let mut findings = Findings::new();
        findings.push(file, position, "", format!("not valid YAML: {}", error.info()));
        findings
    })?;
    let mut document = Document { value: Value::Object(Map::new()), ..Document::default() };
    let mut findings = Findings::new();
    match nodes.as_slice() {
        [] => {}
        [node] => {
            let mut reader = Reader { file, document: &mut document, findings: &mut findings };
            let value = reader.read(node, "", 0);
            document.value = if value.is_null() { Value::Object(Map::new()) } else { value };
        }
        _ => findings.push(file, Position::default(), "", "expected a single YAML document"),
    }
    findings.into_result(document)
}

/// Converts YAML nodes to values and records the position of each.
struct Reader<'a> {
    file: &'a str,
    document: &'a mut Document,
    findings: &'a mut Findings,
}

impl Reader<'_> {
    fn read(&mut self, node: &MarkedYamlOwned, path: &str, depth: usize) -> Value {
        let position = position_of(node.span.start.line(), node.span.start.col());
        self.document.positions.insert(path.to_owned(), position);
        if depth > DEPTH_LIMIT {
            self.findings.push(
                self.file,
                position,
                path,
                format!("nested more than {DEPTH_LIMIT} levels deep"),
            );
            return Value::Null;
        }
        match &node.data {
            YamlDataOwned::Value(scalar) => self.scalar(scalar, position, path),
            YamlDataOwned::Sequence(items) => self.sequence(items, path, depth),
            YamlDataOwned::Mapping(entries) => {
                let mut map = Map::new();
                for (key, item) in entries {
                    self.entry(&mut map, key, item, path, depth);
                }
                Value::Object(map)
            }
            _ => {
                self.findings.push(self.file, position, path, "tags and aliases are not supported");
                Value::Null
            }
        }
    }

    fn scalar(&mut self, scalar: &ScalarOwned, position: Position, path: &str) -> Value {
        match scalar {
            ScalarOwned::Null => Value::Null,
            ScalarOwned::Boolean(flag) => Value::Bool(*flag),
            ScalarOwned::Integer(number) => Value::from(*number),
            ScalarOwned::String(text) => Value::String(text.clone()),
            ScalarOwned::FloatingPoint(number) => {
                let finite = serde_json::Number::from_f64(number.into_inner());
                if finite.is_none() {
                    self.findings.push(self.file, position, path, "expected a finite number");
                }
                finite.map_or(Value::Null, Value::Number)
            }
        }
    }

    fn sequence(&mut self, items: &[MarkedYamlOwned], path: &str, depth: usize) -> Value {
        let values = items
            .iter()
            .enumerate()
            .map(|(index, item)| self.read(item, &format!("{path}[{index}]"), depth + 1))
            .collect();
        Value::Array(values)
    }

    fn entry(
        &mut self,
        map: &mut Map<String, Value>,
        key: &MarkedYamlOwned,
        item: &MarkedYamlOwned,
        path: &str,
        depth: usize,
    ) {
        let position = position_of(key.span.start.line(), key.span.start.col());
        let YamlDataOwned::Value(scalar) = &key.data else {
            self.findings.push(self.file, position, path, "expected a scalar as the key");
            return;
        };
        let name = match self.scalar(scalar, position, path) {
            Value::String(name) => name,
            other => other.to_string(),
        };
        let path = join(path, &name);
        let value = self.read(item, &path, depth + 1);
        self.document.positions.insert(path.clone(), position);
        if map.insert(name, value).is_some() {
            self.findings.push(self.file, position, path, "the key is repeated");
        }
    }
}

/// Reports unknown keys, and values of another type than in `defaults`. The first item of a list in
/// `defaults` is the sample for all items; null in `defaults` allows any value, and an empty list
/// any items.
pub fn check_shape(document: &Document, defaults: &Value, file: &str, findings: &mut Findings) {
    let mut check = ShapeCheck { document, file, findings };
    check.check(&document.value, defaults, "");
}

struct ShapeCheck<'a> {
    document: &'a Document,
    file: &'a str,
    findings: &'a mut Findings,
}

impl ShapeCheck<'_> {
    fn check(&mut self, value: &Value, expected: &Value, path: &str) {
        match (value, expected) {
            (_, Value::Null) => {}
            (Value::Object(map), Value::Object(known)) => self.check_keys(map, known, path),
            (Value::Array(items), Value::Array(samples)) => {
                let Some(sample) = samples.first() else { return };
                for (index, item) in items.iter().enumerate() {
                    self.check(item, sample, &format!("{path}[{index}]"));
                }
            }
            (value, expected) if is_same_type(value, expected) => {}
            (value, expected) => {
                let message =
                    format!("expected {}, found {}", type_name(expected), type_name(value));
                self.push(path, message);
            }
        }
    }

    fn check_keys(&mut self, map: &Map<String, Value>, known: &Map<String, Value>, path: &str) {
        for (name, value) in map {
            let child = join(path, name);
            match known.get(name) {
                Some(expected) => self.check(value, expected, &child),
                None => {
                    let names: Vec<&str> = known.keys().map(String::as_str).collect();
                    self.push(
                        &child,
                        format!("unknown key, expected one of: {}", names.join(", ")),
                    );
                }
            }
        }
    }

    fn push(&mut self, path: &str, message: String) {
        self.findings.push(self.file, self.document.position(path), path, message);
    }
}

/// Deserializes the document over `defaults`. If that fails, tries each field by itself, so that
/// each failure is reported with its path.
fn deserialize<T: DeserializeOwned>(
    document: &Document,
    defaults: &Value,
    file: &str,
) -> Result<T, Findings> {
    let mut merged = defaults.clone();
    merge(&mut merged, &document.value);
    let error = match serde_json::from_value(merged) {
        Ok(settings) => return Ok(settings),
        Err(error) => error,
    };
    let mut findings = Findings::new();
    for path in leaf_paths(&document.value, "") {
        let mut only = defaults.clone();
        let mut single = defaults.clone();
        merge(&mut single, &extract_path(&document.value, &path));
        merge(&mut only, &single);
        if let Err(error) = serde_json::from_value::<T>(only) {
            findings.push(file, document.position(&path), path.clone(), error.to_string());
        }
    }
    if findings.is_empty() {
        findings.push(file, Position::default(), "", error.to_string());
    }
    Err(findings)
}

/// Paths of all values that are not maps; a list counts as one value.
fn leaf_paths(value: &Value, path: &str) -> Vec<String> {
    match value {
        Value::Object(map) => {
            map.iter().flat_map(|(name, item)| leaf_paths(item, &join(path, name))).collect()
        }
        _ => vec![path.to_owned()],
    }
}

/// Extracts the value at `path`, within the maps that lead to it.
fn extract_path(value: &Value, path: &str) -> Value {
    let Some((name, rest)) = path.split_once('.').or(Some((path, ""))) else {
        return value.clone();
    };
    let Some(item) = value.get(name) else { return Value::Object(Map::new()) };
    let inner = if rest.is_empty() { item.clone() } else { extract_path(item, rest) };
    let mut map = Map::new();
    map.insert(name.to_owned(), inner);
    Value::Object(map)
}

/// Overrides values of `base` by those of `overrides`; maps are merged, other values replaced.
fn merge(base: &mut Value, overrides: &Value) {
    match (base, overrides) {
        (Value::Object(base), Value::Object(overrides)) => {
            for (name, value) in overrides {
                merge(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, overrides) => *base = overrides.clone(),
    }
}

/// Whether a value has the expected type; a whole number is valid for a float, not vice versa.
fn is_same_type(value: &Value, expected: &Value) -> bool {
    match (value, expected) {
        (Value::Number(value), Value::Number(expected)) => expected.is_f64() || !value.is_f64(),
        _ => std::mem::discriminant(value) == std::mem::discriminant(expected),
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(number) if number.is_f64() => "a number",
        Value::Number(_) => "a whole number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a map",
    }
}

/// Appends a field name or a list index, such as `[3]`, to a path; either may be empty.
fn join(prefix: &str, name: &str) -> String {
    match (prefix.is_empty(), name.is_empty()) {
        (true, _) => name.to_owned(),
        (_, true) => prefix.to_owned(),
        _ if name.starts_with('[') => format!("{prefix}{name}"),
        _ => format!("{prefix}.{name}"),
    }
}

/// Position of `path` or of its nearest ancestor with one.
fn nearest_position(positions: &collections::HashMap<String, Position>, path: &str) -> Position {
    let mut current = path;
    loop {
        if let Some(position) = positions.get(current) {
            return *position;
        }
        let Some(end) = current.rfind(['.', '[']) else {
            return positions.get("").copied().unwrap_or_default();
        };
        current = &current[..end];
    }
}

fn position_of(line: usize, column_from_zero: usize) -> Position {
    Position {
        line: u32::try_from(line).unwrap_or(u32::MAX),
        column: u32::try_from(column_from_zero + 1).unwrap_or(u32::MAX),
    }
}

/// Reads a UTF-8 file of at most [`SETTINGS_LIMIT_BYTES`].
///
/// # Errors
/// A message that says why the file cannot be read.
fn read_limited(path: &Path) -> Result<String, String> {
    let metadata = std::fs::metadata(path).map_err(|error| format!("cannot be read: {error}"))?;
    if metadata.len() > SETTINGS_LIMIT_BYTES {
        return Err(format!("is larger than {SETTINGS_LIMIT_BYTES} bytes"));
    }
    std::fs::read_to_string(path).map_err(|error| format!("cannot be read: {error}"))
}

fn single_finding(file: &str, path: &str, message: impl Into<String>) -> Findings {
    let mut findings = Findings::new();
    findings.push(file, Position::default(), path, message);
    findings
}
