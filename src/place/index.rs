//! Index of workers by free resources, to find good candidates without a full scan.
//!
//! Each worker that takes tasks is in one cell of a grid over its free accelerators, processor
//! time and memory. The grid is fine for small amounts and coarse for large ones. Workers of one
//! cell are nearly alike, so a search examines only a few of each cell.

use super::scoring::TaskShape;
use super::spec::Resources;
use crate::inventory::WorkerKey;

/// Position of a worker in the index; reused after its removal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Row(pub(crate) u32);

/// Number of grid levels for processor time and for memory: 8 single steps, then 4 for each of 5
/// octaves, and one for the largest capacity. See `level`.
const GRID_LEVELS: usize = 29;

/// Number of grid levels for accelerators: 0, 1, 2 to 3, 4 to 7, 8 and more.
const ACCELERATOR_LEVELS: usize = 5;

/// Workers examined in a cell of which every worker has enough room.
const MAX_EXAMINED_INTERIOR: usize = 4;

/// Workers examined in a cell of which some workers may lack room.
const MAX_EXAMINED_EDGE: usize = 16;

/// Placeholder cell of a worker that takes no tasks.
const NO_CELL: usize = usize::MAX;

/// Index entry of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) worker: WorkerKey,
    pub(crate) room: Resources,
    pub(crate) capacity: Resources,
    /// Grid cell of the worker, or `NO_CELL`.
    cell: usize,
    /// Position within the cell.
    position: usize,
}

/// Grid index of the workers by the room they have left.
#[derive(Clone, Debug)]
pub(crate) struct RoomIndex {
    entries: Vec<Entry>,
    /// Rows of removed workers, to be reused.
    unused: Vec<Row>,
    /// Workers of each grid cell.
    cells: Vec<Vec<Row>>,
    /// For each accelerator and processor level, a bit mask of the memory levels that have workers.
    masks: [[u32; GRID_LEVELS]; ACCELERATOR_LEVELS],
    /// Largest capacity of each resource over all workers, which sets the scale of the grid.
    scale: Resources,
    /// Sum of the room of all workers that take tasks.
    total_room: Resources,
}

impl Default for RoomIndex {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            unused: Vec::new(),
            cells: vec![Vec::new(); ACCELERATOR_LEVELS * GRID_LEVELS * GRID_LEVELS],
            masks: [[0; GRID_LEVELS]; ACCELERATOR_LEVELS],
            scale: Resources::new(1, 1, 1),
            total_room: Resources::default(),
        }
    }
}

impl RoomIndex {
    /// Adds a worker that takes no tasks yet.
    pub(crate) fn add(&mut self, worker: WorkerKey) -> Row {
        let room = Resources::default();
        let entry = Entry { worker, room, capacity: room, cell: NO_CELL, position: 0 };
        if let Some(row) = self.unused.pop() {
            self.entries[row.0 as usize] = entry;
            return row;
        }
        self.entries.push(entry);
        Row(u32::try_from(self.entries.len() - 1).unwrap_or(u32::MAX))
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, row: Row) {
        self.remove_from_cell(row);
        self.unused.push(row);
    }

    /// Sets the capacity and the room of a worker; with `None`, the worker takes no tasks.
    pub(crate) fn set(&mut self, row: Row, capacity: Resources, room: Option<Resources>) {
        if !capacity.fits(self.scale) {
            self.rescale(self.scale.larger(capacity));
        }
        self.entries[row.0 as usize].capacity = capacity;
        let Some(room) = room else {
            self.remove_from_cell(row);
            return;
        };
        let cell = self.cell_for(room);
        if self.entries[row.0 as usize].cell != cell {
            self.remove_from_cell(row);
            self.insert_into_cell(row, cell);
        } else {
            self.total_room = self.total_room.minus(self.entries[row.0 as usize].room);
        }
        self.entries[row.0 as usize].room = room;
        self.total_room = self.total_room.plus(room);
    }

    /// Returns whether a worker takes tasks.
    pub(crate) fn is_open(&self, row: Row) -> bool {
        self.entries[row.0 as usize].cell != NO_CELL
    }

    pub(crate) fn entry(&self, row: Row) -> &Entry {
        &self.entries[row.0 as usize]
    }

    /// Returns the sum of the room of all workers that take tasks.
    pub(crate) fn total_room(&self) -> Resources {
        self.total_room
    }

    /// Returns the largest capacity of each resource over all workers.
    pub(crate) fn scale(&self) -> Resources {
        self.scale
    }

    /// Returns the workers that take tasks, in row order.
    pub(crate) fn open(&self) -> impl Iterator<Item = (Row, &Entry)> {
        let rows = self.entries.iter().enumerate();
        rows.filter(|(_, entry)| entry.cell != NO_CELL)
            .map(|(row, entry)| (Row(u32::try_from(row).unwrap_or(u32::MAX)), entry))
    }

    /// Returns the best-scored worker among a few of each cell that may hold the task, or `None`
    /// after examining all workers.
    pub(crate) fn find_best(
        &self,
        shape: &TaskShape,
        mut admits: impl FnMut(Row, &Entry) -> bool,
    ) -> Option<Row> {
        let (best, is_complete) = self.search(shape, false, &mut admits);
        if best.is_some() || is_complete {
            return best;
        }
        self.search(shape, true, &mut admits).0
    }

    /// Returns the best worker, and whether all workers that may fit were examined.
    fn search(
        &self,
        shape: &TaskShape,
        is_exhaustive: bool,
        admits: &mut impl FnMut(Row, &Entry) -> bool,
    ) -> (Option<Row>, bool) {
        let need = self.levels(shape.size);
        let mut best: Option<(f32, Row)> = None;
        let mut is_complete = true;
        for accelerators in need.0..ACCELERATOR_LEVELS {
            for cpu in need.1..GRID_LEVELS {
                let mut mask = self.masks[accelerators][cpu] & (u32::MAX << need.2);
                while mask != 0 {
                    let memory = mask.trailing_zeros() as usize;
                    mask &= mask - 1;
                    let is_edge = accelerators == need.0 || cpu == need.1 || memory == need.2;
                    let limit = match (is_exhaustive, is_edge) {
                        (true, _) => usize::MAX,
                        (false, true) => MAX_EXAMINED_EDGE,
                        (false, false) => MAX_EXAMINED_INTERIOR,
                    };
                    let cell = &self.cells[cell_number(accelerators, cpu, memory)];
                    is_complete &= cell.len() <= limit;
                    for &row in cell.iter().take(limit) {
                        let entry = &self.entries[row.0 as usize];
                        if !shape.size.fits(entry.room) || !admits(row, entry) {
                            continue;
                        }
                        let score = shape.score(entry.room, entry.capacity);
                        if best.is_none_or(|known| (score, row) < known) {
                            best = Some((score, row));
                        }
                    }
                }
            }
        }
        (best.map(|(_, row)| row), is_complete)
    }

    fn insert_into_cell(&mut self, row: Row, cell: usize) {
        let entry = &mut self.entries[row.0 as usize];
        entry.cell = cell;
        entry.position = self.cells[cell].len();
        self.cells[cell].push(row);
        let (accelerators, cpu, memory) = cell_levels(cell);
        self.masks[accelerators][cpu] |= 1 << memory;
    }

    fn remove_from_cell(&mut self, row: Row) {
        let entry = &mut self.entries[row.0 as usize];
        let (cell, position) = (entry.cell, entry.position);
        if cell == NO_CELL {
            return;
        }
        entry.cell = NO_CELL;
        self.total_room = self.total_room.minus(entry.room);
        self.cells[cell].swap_remove(position);
        if let Some(&moved) = self.cells[cell].get(position) {
            self.entries[moved.0 as usize].position = position;
        }
        if self.cells[cell].is_empty() {
            let (accelerators, cpu, memory) = cell_levels(cell);
            self.masks[accelerators][cpu] &= !(1 << memory);
        }
    }

    /// Sets the scale of the grid and moves all workers to their new cells.
    fn rescale(&mut self, scale: Resources) {
        self.scale = scale;
        for number in 0..self.entries.len() {
            let row = Row(u32::try_from(number).unwrap_or(u32::MAX));
            let entry = &self.entries[number];
            if entry.cell == NO_CELL {
                continue;
            }
            let room = entry.room;
            self.remove_from_cell(row);
            let cell = self.cell_for(room);
            self.insert_into_cell(row, cell);
            self.total_room = self.total_room.plus(room);
        }
    }

    fn cell_for(&self, room: Resources) -> usize {
        let (accelerators, cpu, memory) = self.levels(room);
        cell_number(accelerators, cpu, memory)
    }

    /// Grid levels of accelerators, processor time and memory.
    fn levels(&self, room: Resources) -> (usize, usize, usize) {
        let accelerators = match room.accelerators {
            0 => 0,
            count => (count.ilog2() as usize + 1).min(ACCELERATOR_LEVELS - 1),
        };
        let cpu = level(room.cpu_millis, self.scale.cpu_millis);
        (accelerators, cpu, level(room.memory_bytes, self.scale.memory_bytes))
    }
}

/// Grid level of `amount` relative to `scale`, in steps of 1/256 of the scale: one level for each
/// of the first 8 steps, then four levels for each octave.
fn level(amount: u64, scale: u64) -> usize {
    const STEPS: u128 = 256;
    let steps = u128::from(amount) * STEPS / u128::from(scale.max(1));
    let steps = u32::try_from(steps.min(STEPS)).unwrap_or(0);
    if steps < 8 {
        return steps as usize;
    }
    let octave = steps.ilog2();
    let quarter = (steps >> (octave - 2)) & 3;
    (8 + (octave - 3) * 4 + quarter) as usize
}

const fn cell_number(accelerators: usize, cpu: usize, memory: usize) -> usize {
    (accelerators * GRID_LEVELS + cpu) * GRID_LEVELS + memory
}

const fn cell_levels(cell: usize) -> (usize, usize, usize) {
    (cell / GRID_LEVELS / GRID_LEVELS, cell / GRID_LEVELS % GRID_LEVELS, cell % GRID_LEVELS)
}
