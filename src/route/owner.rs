//! Says which entry host of a zone dispatches to which endpoint.

use serde::{Deserialize, Serialize};

use crate::collections;

/// An entry host that may own endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the host, unique in its zone.
    pub name: String,
    /// Start of the process, so that a restarted host is a new candidate.
    pub incarnation: u64,
    /// Whether it is shutting down and takes no endpoints.
    pub is_leaving: bool,
}

/// The owner of an endpoint among `candidates`, by rendezvous hashing.
///
/// All hosts that see the same candidates name the same owner, in whatever
/// order they list them. When a candidate comes or goes, only the endpoints
/// that it gains or loses change hands. The incarnation is not hashed: a host
/// that restarts gets back the endpoints that it had.
///
/// ```
/// use hemlockrock::route::owner::{self, Candidate};
///
/// let host = |name: &str| Candidate { name: name.into(), incarnation: 1, is_leaving: false };
/// let hosts = [host("entry-1"), host("entry-2")];
/// let chosen = owner::owner(&hosts, "store-ordering/runner-7").unwrap();
/// let reversed = [host("entry-2"), host("entry-1")];
/// assert_eq!(owner::owner(&reversed, "store-ordering/runner-7"), Some(chosen));
/// assert!(owner::owner(&[], "store-ordering/runner-7").is_none());
/// ```
pub fn owner<'a>(
    candidates: impl IntoIterator<Item = &'a Candidate>,
    endpoint: &str,
) -> Option<&'a Candidate> {
    let staying = candidates.into_iter().filter(|candidate| !candidate.is_leaving);
    staying.max_by(|left, right| {
        let left = (weight(&left.name, endpoint), &left.name, left.incarnation);
        left.cmp(&(weight(&right.name, endpoint), &right.name, right.incarnation))
    })
}

fn weight(name: &str, endpoint: &str) -> u64 {
    const SEPARATOR: char = '\u{1f}';
    collections::stable_hash(format!("{name}{SEPARATOR}{endpoint}"))
}
