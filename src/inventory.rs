//! Inventory of a zone: its workers and racks, built from the declarations and stored in slot maps
//! with stable keys.

use slotmap::{new_key_type, SlotMap};

use crate::collections::HashMap;
use crate::declarations::{Declarations, WorkerDeclaration};
use crate::place::spec::Resources;

new_key_type! {
    /// Key of a worker in an [`Inventory`].
    pub struct WorkerKey;
    /// Key of a rack in an [`Inventory`].
    pub struct RackKey;
}

/// A declared worker and its capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Declared name, unique in the zone.
    pub name: String,
    /// Address for calls to the worker, `IP:port`.
    pub address: String,
    /// Rack of the worker.
    pub rack: RackKey,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Whether the worker is declared as draining: its tasks are moved away and it gets no new
    /// ones.
    pub is_draining: bool,
    /// Whether the worker is no longer declared; it stays in the inventory until its tasks have
    /// ended.
    pub is_removed: bool,
    /// Labels that constraints refer to.
    pub labels: HashMap<String, String>,
}

/// A rack, which groups the workers that are declared in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rack {
    /// Name of the rack, as given in the worker declarations.
    pub name: String,
}

/// Effect of new declarations on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker is new, or declared again after its removal.
    Added(WorkerKey),
    /// The capacity, labels, rack, address or drain flag changed.
    Changed(WorkerKey),
    /// The worker is no longer declared.
    Removed(WorkerKey),
}

/// Workers and racks of one zone.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    zone: String,
    workers: SlotMap<WorkerKey, Worker>,
    racks: SlotMap<RackKey, Rack>,
    by_name: HashMap<String, WorkerKey>,
    racks_by_name: HashMap<String, RackKey>,
}

impl Inventory {
    /// Creates an empty inventory of `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Self { zone: zone.into(), ..Self::default() }
    }

    /// Zone of the workers.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The worker with this key; `None` once it was forgotten.
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// The rack with this key. Racks are never removed.
    pub fn rack(&self, key: RackKey) -> Option<&Rack> {
        self.racks.get(key)
    }

    /// Key of the worker with this name; `None` if there is no such worker.
    pub fn key(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// All workers, in slot order, including removed ones that were not forgotten yet.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Number of workers, including removed ones that were not forgotten yet.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether the inventory contains no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Applies new declarations and returns the changes: added and changed workers in the order of
    /// the declarations, then removed ones.
    ///
    /// ```
    /// use hemlockrock::declarations::{Declarations, WorkerDeclaration};
    /// use hemlockrock::inventory::{Inventory, WorkerChange};
    ///
    /// let worker = WorkerDeclaration { name: "w1".into(), zone: "mid-1".into(), ..Default::default() };
    /// let declared = Declarations { workers: vec![worker], ..Default::default() };
    /// let mut inventory = Inventory::new("mid-1");
    /// assert!(matches!(inventory.apply(&declared)[..], [WorkerChange::Added(_)]));
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

    /// Deletes a removed worker on which no tasks run any more.
    pub fn forget(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_name.remove(&worker.name);
        }
    }

    fn apply_worker(&mut self, declared: &WorkerDeclaration) -> Option<WorkerChange> {
        let rack = self.rack_key(&declared.rack);
        let updated = Worker {
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
            let key = self.workers.insert(updated);
            self.by_name.insert(declared.name.clone(), key);
            return Some(WorkerChange::Added(key));
        };
        let current = self.workers.get_mut(key)?;
        if *current == updated {
            return None;
        }
        let was_removed = current.is_removed;
        *current = updated;
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
