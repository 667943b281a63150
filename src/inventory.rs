//! The workers of a zone and their racks, kept in arenas and built from the declarations.

use slotmap::{new_key_type, SlotMap};

use crate::collections::HashMap;
use crate::declarations::{Declarations, WorkerDeclaration};
use crate::place::spec::Resources;

new_key_type! {
    /// A worker in the inventory.
    pub struct WorkerKey;
    /// A rack in the inventory.
    pub struct RackKey;
}

/// A worker and its means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Address, `IP:port`.
    pub address: String,
    /// Rack that it is in.
    pub rack: RackKey,
    /// What it can hold.
    pub capacity: Resources,
    /// Whether it is to be emptied.
    pub is_draining: bool,
    /// Whether the operators removed it; it stays here until its tasks have ended.
    pub is_removed: bool,
    /// Labels that constraints refer to.
    pub labels: HashMap<String, String>,
}

/// A rack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rack {
    /// Name.
    pub name: String,
}

/// What a change of the declarations did to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// It is new, or is back after a removal.
    Added(WorkerKey),
    /// Its means, labels, rack, address or drain mark changed.
    Changed(WorkerKey),
    /// It was removed.
    Removed(WorkerKey),
}

/// The workers of one zone and their racks.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    zone: String,
    workers: SlotMap<WorkerKey, Worker>,
    racks: SlotMap<RackKey, Rack>,
    by_name: HashMap<String, WorkerKey>,
    racks_by_name: HashMap<String, RackKey>,
}

impl Inventory {
    /// An empty inventory of `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Self { zone: zone.into(), ..Self::default() }
    }

    /// Zone that the workers are in.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// A worker, unless it was forgotten.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// A rack, unless it was forgotten.
    pub fn rack(&self, key: RackKey) -> Option<&Rack> {
        self.racks.get(key)
    }

    /// The key of the worker called `name`.
    pub fn key(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// All workers in the order of the arena.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Takes in new declarations and returns what changed, in the order of the declarations.
    ///
    /// ```
    /// use hemlockrock::declarations::{Declarations, WorkerDeclaration};
    /// use hemlockrock::inventory::{Change, Inventory};
    ///
    /// let worker = WorkerDeclaration { name: "w1".into(), zone: "mid-1".into(), ..Default::default() };
    /// let declared = Declarations { workers: vec![worker], ..Default::default() };
    /// let mut inventory = Inventory::new("mid-1");
    /// assert!(matches!(inventory.apply(&declared)[..], [Change::Added(_)]));
    /// assert!(inventory.apply(&declared).is_empty());
    /// ```
    pub fn apply(&mut self, declarations: &Declarations) -> Vec<WorkerChange> {
        let mut changes = Vec::new();
        let mut declared = HashMap::default();
        for worker in &declarations.workers {
            if worker.zone != self.zone {
                continue;
            }
            declared.insert(worker.name.as_str(), ());
            changes.extend(self.apply_worker(worker));
        }
        for (key, worker) in &mut self.workers {
            if !worker.is_removed && !declared.contains_key(worker.name.as_str()) {
                worker.is_removed = true;
                changes.push(WorkerChange::Removed(key));
            }
        }
        changes
    }

    /// Forgets a worker that was removed and runs nothing.
    pub fn forget(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.name);
        }
    }

    fn apply_worker(&mut self, declared: &WorkerDeclaration) -> Option<WorkerChange> {
        let rack = self.rack_key(&declared.rack);
        let wanted = Worker {
            name: declared.name.clone(),
            address: declared.address.clone(),
            rack,
            capacity: Resources::new(
                declared.cpu_millis,
                declared.memory_bytes,
                declared.accelerators,
            ),
            is_draining: declared.drain,
            is_removed: false,
            labels: declared.labels.clone(),
        };
        let Some(key) = self.key(&declared.name) else {
            let key = self.workers.insert(wanted);
            self.by_name.insert(declared.name.clone(), key);
            return Some(WorkerChange::Added(key));
        };
        let known = self.workers.get_mut(key)?;
        if *known == wanted {
            return None;
        }
        let was_removed = known.is_removed;
        *known = wanted;
        Some(if was_removed { WorkerChange::Added(key) } else { WorkerChange::Changed(key) })
    }

    fn rack_key(&mut self, name: &str) -> RackKey {
        if let Some(key) = self.racks_by_name.get(name) {
            return *key;
        }
        let key = self.racks.insert(Rack { name: name.to_owned() });
        self.racks_by_name.insert(name.to_owned(), key);
        key
    }
}
