//! Splits declarations into content-addressed parts: each is stored under the digest of its value.
//!
//! Items are distributed over the parts of their section by a hash of their name. A change of one
//! item therefore changes one part, and daemons read only that part again.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::collections::{self, HashMap};
use crate::declarations::Declarations;

/// Key prefix of parts and manifests in the store.
pub const PARTS: &str = "config/parts/";

/// Largest mean number of workers or teams per part.
const ITEMS_PER_PART: usize = 128;

/// Largest mean number of services per part; each brings its endpoints.
const SERVICES_PER_PART: usize = 8;

/// Bytes of the digest that are used in the key of a part.
const KEY_DIGEST_BYTES: usize = 16;

/// A part of the declarations, or the manifest that lists the parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Key in the store: [`PARTS`] and the start of the hexadecimal digest of the value.
    pub key: String,
    /// JSON of a fragment of the declarations, or of the [`Manifest`].
    pub value: Bytes,
}

impl Part {
    /// Creates a part with this value and the key that follows from it.
    pub fn new(value: impl Into<Bytes>) -> Self {
        let value = value.into();
        Self { key: part_key(&value), value }
    }
}

/// Lists the parts of one document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Manifest {
    /// Keys of the parts.
    pub parts: Vec<String>,
}

/// Declarations split into parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packed {
    /// Digest of the manifest, which identifies the whole document.
    pub digest: String,
    /// The manifest, as a part of its own.
    pub manifest: Part,
    /// The parts, in the order of the manifest.
    pub parts: Vec<Part>,
}

/// Why parts cannot be assembled into declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PartsError {
    /// The value of the part with this key does not match the digest in the key.
    #[error("part {0} is damaged: its content does not match its digest")]
    Damaged(String),
    /// The part with this key is missing.
    #[error("part {0} is missing")]
    Missing(String),
    /// A value cannot be decoded or encoded as JSON.
    #[error("invalid JSON: {0}")]
    Unreadable(String),
}

/// Splits declarations into parts; equal declarations give equal parts.
///
/// # Errors
/// [`PartsError::Unreadable`] when a value cannot be encoded.
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
    let workers = distribute(&declarations.workers, ITEMS_PER_PART, |worker| &worker.name);
    fragments.extend(
        workers.into_iter().map(|workers| Declarations { workers, ..Declarations::default() }),
    );
    let services = distribute(&declarations.services, SERVICES_PER_PART, |service| &service.name);
    fragments.extend(
        services.into_iter().map(|services| Declarations { services, ..Declarations::default() }),
    );
    let teams = distribute(&declarations.teams, ITEMS_PER_PART, |team| &team.name);
    fragments
        .extend(teams.into_iter().map(|teams| Declarations { teams, ..Declarations::default() }));
    let parts = fragments.iter().map(encode_fragment).collect::<Result<Vec<Part>, PartsError>>()?;
    let manifest = Manifest { parts: parts.iter().map(|part| part.key.clone()).collect() };
    let manifest = Part::new(serde_json::to_vec(&manifest).map_err(|error| unreadable(&error))?);
    Ok(Packed { digest: digest(&manifest.value), manifest, parts })
}

/// Assembles declarations from a manifest and its parts, which `part` returns by key. Workers,
/// services and teams are sorted by name.
///
/// # Errors
/// [`PartsError`] when a part is missing, damaged or not valid JSON.
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

/// Sorts workers, services and teams by name; zones and rules keep their order.
pub fn sort(declarations: &mut Declarations) {
    declarations.workers.sort_by(|left, right| left.name.cmp(&right.name));
    declarations.services.sort_by(|left, right| left.name.cmp(&right.name));
    declarations.teams.sort_by(|left, right| left.name.cmp(&right.name));
}

/// Decodes the value of a manifest.
///
/// # Errors
/// [`PartsError::Unreadable`] when it is not a manifest in JSON.
pub fn read_manifest(manifest: &[u8]) -> Result<Manifest, PartsError> {
    serde_json::from_slice(manifest).map_err(|error| unreadable(&error))
}

/// Checks that the value of a part matches the digest in its key.
///
/// # Errors
/// [`PartsError::Damaged`] when it does not.
pub fn verify(key: &str, value: &[u8]) -> Result<(), PartsError> {
    if part_key(value) == key {
        return Ok(());
    }
    Err(PartsError::Damaged(key.to_owned()))
}

/// SHA-256 digest, in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

fn part_key(value: &[u8]) -> String {
    format!("{PARTS}{}", &digest(value)[..KEY_DIGEST_BYTES * 2])
}

/// Distributes items over parts by a hash of their name. The number of parts is a power of two, so
/// that it seldom changes.
fn distribute<T: Clone>(items: &[T], per_part: usize, name: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
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

/// Encodes a fragment with sorted object keys, so that equal content gives equal bytes.
fn encode_fragment(fragment: &Declarations) -> Result<Part, PartsError> {
    let value = serde_json::to_value(fragment).map_err(|error| unreadable(&error))?;
    Ok(Part::new(serde_json::to_vec(&value).map_err(|error| unreadable(&error))?))
}

fn unreadable(error: &serde_json::Error) -> PartsError {
    PartsError::Unreadable(error.to_string())
}
