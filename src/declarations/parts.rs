//! Cuts declarations into parts that are named by the digest of their content.
//!
//! Items are spread over the parts of their section by a hash of their name,
//! so that a change of one item changes one part, and daemons read that one.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::collections::{self, HashMap};
use crate::declarations::Declarations;

/// Prefix of the parts and manifests.
pub const PARTS: &str = "config/parts/";

/// Workers or teams in one part.
const ITEMS_PER_PART: usize = 128;

/// Services in one part; a service brings its endpoints.
const SERVICES_PER_PART: usize = 8;

/// Bytes of a digest that name a part.
const NAME_BYTES: usize = 16;

/// A part of the declarations, or the manifest that lists the parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Key in the store: [`PARTS`] and the digest of the value.
    pub key: String,
    /// Content.
    pub value: Bytes,
}

impl Part {
    /// A part of this content.
    pub fn new(value: impl Into<Bytes>) -> Self {
        let value = value.into();
        Self { key: part_key(&value), value }
    }
}

/// The parts of one document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// Keys of the parts, in order.
    pub parts: Vec<String>,
}

/// Declarations cut into parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// Digest of the whole document, which is that of its manifest.
    pub digest: String,
    /// The manifest.
    pub manifest: Part,
    /// The parts, in the order of the manifest.
    pub parts: Vec<Part>,
}

/// Why parts do not form a document.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PartsError {
    /// The content of a part is not what its key says.
    #[error("{0} holds other content than its name says")]
    Damaged(String),
    /// A part is missing.
    #[error("{0} is missing")]
    Missing(String),
    /// The content cannot be read or written.
    #[error("cannot be read: {0}")]
    Unreadable(String),
}

/// Cuts declarations into parts; equal declarations give equal parts.
///
/// # Errors
/// [`PartsError::Unreadable`] when a value cannot be written.
///
/// ```
/// use hemlockrock::declarations::{parts, Declarations, TeamDeclaration};
///
/// let mut declarations = Declarations::default();
/// declarations.teams.push(TeamDeclaration { name: "shops".into(), ..Default::default() });
/// let packed = parts::pack(&declarations)?;
/// assert_eq!(parts::unpack(&packed.manifest.value, |key| {
///     packed.parts.iter().find(|part| part.key == key).map(|part| part.value.clone())
/// })?, declarations);
/// # Ok::<(), parts::PartsError>(())
/// ```
pub fn pack(declarations: &Declarations) -> Result<Packed, PartsError> {
    let mut fragments = vec![Declarations {
        zones: declarations.zones.clone(),
        rules: declarations.rules.clone(),
        ..Declarations::default()
    }];
    let workers = spread(&declarations.workers, ITEMS_PER_PART, |worker| &worker.name);
    fragments.extend(
        workers.into_iter().map(|workers| Declarations { workers, ..Declarations::default() }),
    );
    let services = spread(&declarations.services, SERVICES_PER_PART, |service| &service.name);
    fragments.extend(
        services.into_iter().map(|services| Declarations { services, ..Declarations::default() }),
    );
    let teams = spread(&declarations.teams, ITEMS_PER_PART, |team| &team.name);
    fragments
        .extend(teams.into_iter().map(|teams| Declarations { teams, ..Declarations::default() }));
    let parts = fragments.iter().map(write).collect::<Result<Vec<Part>, PartsError>>()?;
    let manifest = Manifest { parts: parts.iter().map(|part| part.key.clone()).collect() };
    let manifest = Part::new(serde_json::to_vec(&manifest).map_err(|error| unreadable(&error))?);
    Ok(Packed { digest: digest(&manifest.value), manifest, parts })
}

/// Puts parts together; workers, services and teams come in the order of their names.
///
/// # Errors
/// [`PartsError`] when a part is missing, damaged or cannot be read.
pub fn unpack(
    manifest: &[u8],
    mut part: impl FnMut(&str) -> Option<Bytes>,
) -> Result<Declarations, PartsError> {
    let mut whole = Declarations::default();
    for key in read_manifest(manifest)?.parts {
        let value = part(&key).ok_or_else(|| PartsError::Missing(key.clone()))?;
        verify(&key, &value)?;
        let fragment: Declarations =
            serde_json::from_slice(&value).map_err(|error| unreadable(&error))?;
        whole.zones.extend(fragment.zones);
        whole.workers.extend(fragment.workers);
        whole.services.extend(fragment.services);
        whole.teams.extend(fragment.teams);
        whole.rules.extend(fragment.rules);
    }
    sort(&mut whole);
    Ok(whole)
}

/// Puts workers, services and teams in the order of their names.
pub fn sort(declarations: &mut Declarations) {
    declarations.workers.sort_by(|left, right| left.name.cmp(&right.name));
    declarations.services.sort_by(|left, right| left.name.cmp(&right.name));
    declarations.teams.sort_by(|left, right| left.name.cmp(&right.name));
}

/// Reads a manifest.
///
/// # Errors
/// [`PartsError::Unreadable`].
pub fn read_manifest(manifest: &[u8]) -> Result<Manifest, PartsError> {
    serde_json::from_slice(manifest).map_err(|error| unreadable(&error))
}

/// Checks that the content of a part is what its key says.
///
/// # Errors
/// [`PartsError::Damaged`].
pub fn verify(key: &str, value: &[u8]) -> Result<(), PartsError> {
    if part_key(value) == key {
        return Ok(());
    }
    Err(PartsError::Damaged(key.to_owned()))
}

/// Digest of bytes, in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

fn part_key(value: &[u8]) -> String {
    format!("{PARTS}{}", &digest(value)[..NAME_BYTES * 2])
}

/// Spreads items over a number of parts that is a power of two, so that it seldom changes.
fn spread<T: Clone>(items: &[T], per_part: usize, name: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
    let count = items.len().div_ceil(per_part).next_power_of_two() as u64;
    let mut buckets: HashMap<u64, Vec<T>> = HashMap::default();
    for item in items {
        let bucket = collections::stable_hash(name(item)) % count;
        buckets.entry(bucket).or_default().push(item.clone());
    }
    let mut buckets: Vec<(u64, Vec<T>)> = buckets.into_iter().collect();
    buckets.sort_by_key(|(bucket, _)| *bucket);
    for (_, items) in &mut buckets {
        items.sort_by(|left, right| name(left).cmp(name(right)));
    }
    buckets.into_iter().map(|(_, items)| items).collect()
}

/// Writes a fragment with its keys in order, so that equal content gives equal bytes.
fn write(fragment: &Declarations) -> Result<Part, PartsError> {
    let value = serde_json::to_value(fragment).map_err(|error| unreadable(&error))?;
    Ok(Part::new(serde_json::to_vec(&value).map_err(|error| unreadable(&error))?))
}

fn unreadable(error: &serde_json::Error) -> PartsError {
    PartsError::Unreadable(error.to_string())
}
