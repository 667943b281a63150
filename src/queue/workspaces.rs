//! Workspaces, which share the runners of a deployment, and the API keys that admit their callers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::collections::{HashMap, HashSet};
use crate::place::spec::Resources;

/// Name of a workspace; cheap to clone.
pub type WorkspaceName = Arc<str>;

/// Longest API key that is looked up, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Whom a job belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobOwner {
    /// No workspace: the queue of the job is public, or the deployment had no workspaces when the job
    /// was submitted.
    Nobody,
    /// The workspace whose key submitted the job.
    Workspace(WorkspaceName),
}

impl JobOwner {
    /// Workspace of the owner, as in the record of a job.
    pub fn workspace(&self) -> Option<WorkspaceName> {
        match self {
            Self::Nobody => None,
            Self::Workspace(name) => Some(Arc::clone(name)),
        }
    }
}

impl From<Option<WorkspaceName>> for JobOwner {
    fn from(workspace: Option<WorkspaceName>) -> Self {
        workspace.map_or(Self::Nobody, Self::Workspace)
    }
}

/// A workspace, as the operator declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, which is unique in the deployment.
    pub name: WorkspaceName,
    /// Share of the workspace when all runners are full, in jobs a second.
    pub weight: f64,
    /// Resources that its tasks may use at the same time over all runners; the largest value of an
    /// amount means that it is not limited.
    pub limit: Resources,
}

/// Digest of an API key. Keys are kept and compared as digests, so that neither debug output nor the
/// duration of a lookup reveals one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

impl KeyDigest {
    fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(not shown)")
    }
}

/// All workspaces of a deployment, found by name or by API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    list: Vec<Workspace>,
    by_name: HashMap<WorkspaceName, usize>,
    /// Position in `list` by key; `None` for a key that is declared in two workspaces.
    by_key: HashMap<KeyDigest, Option<usize>>,
}

impl Workspaces {
    /// Creates the list from declared workspaces and their keys. Returns what is wrong with them, too:
    /// of two workspaces of one name only the first counts, and a key in two workspaces admits nobody.
    ///
    /// ```
    /// use hemlockrock::place::spec::Resources;
    /// use hemlockrock::queue::workspaces::{Workspace, Workspaces};
    ///
    /// let limit = Resources::new(8_000, u64::MAX, u32::MAX);
    /// let print = Workspace { name: "print".into(), weight: 2.0, limit };
    /// let (workspaces, findings) = Workspaces::new([(print, ["key-1"])]);
    /// assert!(findings.is_empty());
    /// assert_eq!(&*workspaces.with_key(b"key-1").unwrap().name, "print");
    /// assert!(workspaces.with_key(b"key-2").is_none());
    /// ```
    pub fn new<Key: AsRef<[u8]>>(
        declared: impl IntoIterator<Item = (Workspace, impl IntoIterator<Item = Key>)>,
    ) -> (Self, Vec<String>) {
        let mut workspaces = Self::default();
        let mut findings = Vec::new();
        for (workspace, keys) in declared {
            let position = workspaces.list.len();
            if workspaces.by_name.contains_key(&workspace.name) {
                findings.push(format!("workspace {} is declared twice", workspace.name));
                continue;
            }
            let mut own = HashSet::default();
            for key in keys {
                let key = key.as_ref();
                if key.is_empty() || key.len() > MAX_KEY_BYTES {
                    findings.push(format!(
                        "a key of workspace {} is empty or longer than {MAX_KEY_BYTES} bytes",
                        workspace.name
                    ));
                    continue;
                }
                let digest = KeyDigest::of(key);
                if !own.insert(digest) {
                    continue;
                }
                let owner = workspaces.by_key.entry(digest).and_modify(|owner| *owner = None);
                if owner.or_insert(Some(position)).is_none() {
                    findings.push(format!(
                        "a key of workspace {} belongs to another workspace as well",
                        workspace.name
                    ));
                }
            }
            workspaces.by_name.insert(Arc::clone(&workspace.name), position);
            workspaces.list.push(workspace);
        }
        (workspaces, findings)
    }

    /// The workspace that an API key admits to.
    pub fn with_key(&self, key: &[u8]) -> Option<&Workspace> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let position = (*self.by_key.get(&KeyDigest::of(key))?)?;
        self.list.get(position)
    }

    /// The workspace of this name.
    pub fn named(&self, name: &str) -> Option<&Workspace> {
        self.list.get(*self.by_name.get(name)?)
    }

    /// All workspaces, in the order of their declaration.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.list.iter()
    }
}
