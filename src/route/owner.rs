//! Assignment of each endpoint to one entry host of its zone.

use serde::{Deserialize, Serialize};

use crate::collections;

/// An entry host that can own endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the host, unique in its zone.
    pub name: String,
    /// Number of the process start, by which a restarted host differs from its predecessor.
    pub incarnation: u64,
    /// Whether it is shutting down and must not own endpoints.
    pub is_leaving: bool,
}

/// Selects the owner of an endpoint among `candidates`, by rendezvous hashing.
///
/// `None` if no candidate stays. All hosts that see the same candidates select
/// the same owner, regardless of their order. When a candidate joins or leaves,
/// only the endpoints that it gains or loses change their owner. The incarnation
/// is not hashed, so that a restarted host gets its previous endpoints back.
///
/// ```
/// use hemlockrock::route::owner::{self, Candidate};
///
/// let host = |name: &str| Candidate { name: name.into(), incarnation: 1, is_leaving: false };
/// let hosts = [host("entry-1"), host("entry-2")];
/// let chosen = owner::select(&hosts, "store-ordering/runner-7").unwrap();
/// let reversed = [host("entry-2"), host("entry-1")];
/// assert_eq!(owner::select(&reversed, "store-ordering/runner-7"), Some(chosen));
/// assert!(owner::select(&[], "store-ordering/runner-7").is_none());
/// ```
pub fn select<'a>(
    candidates: impl IntoIterator<Item = &'a Candidate>,
    endpoint: &str,
) -> Option<&'a Candidate> {
    let staying = candidates.into_iter().filter(|candidate| !candidate.is_leaving);
    staying.max_by(|left, right| {
        let left = (rendezvous_weight(&left.name, endpoint), &left.name, left.incarnation);
        left.cmp(&(rendezvous_weight(&right.name, endpoint), &right.name, right.incarnation))
    })
}

fn rendezvous_weight(name: &str, endpoint: &str) -> u64 {
    const SEPARATOR: char = '\u{1f}';
    collections::stable_hash(format!("{name}{SEPARATOR}{endpoint}"))
}
