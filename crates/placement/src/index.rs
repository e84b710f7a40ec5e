//! Index of workers by free capacity.
//!
//! Workers with similar free amounts share a cell of a table whose size does not depend
//! on the number of workers. A search visits occupied cells only, which it finds
//! through bit sets, and examines a bounded number of workers in each.

use kernel::work;

const SIZE_CLASSES: usize = 128;
const ACCELERATOR_CLASSES: usize = 8;
/// Partitions of the table: one for busy and one for idle workers per class of accelerators.
const PARTITIONS: usize = 2 * ACCELERATOR_CLASSES;
/// Workers examined in one cell before a search moves on to the next cell.
const MAX_SCANNED_PER_CELL: usize = 32;

/// Order in which a search visits cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchOrder {
    /// Workers with the least free capacity first.
    LeastFree,
    /// Workers with the most free capacity first.
    MostFree,
}

/// Response of a search callback to an offered worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResponse {
    /// The worker is a candidate; continue the search.
    Accepted,
    /// The worker cannot be used; continue the search.
    Rejected,
    /// The worker is a candidate; end the search.
    Stop,
}

#[derive(Clone, Copy, Debug)]
struct CellPosition {
    row: u32,
    column: u32,
    offset: u32,
}

#[derive(Clone, Debug, Default)]
struct Row {
    occupied: u128,
    columns: Vec<Vec<u32>>,
}

/// Workers by free CPU, memory and accelerators.
#[derive(Debug)]
pub struct FreeIndex {
    rows: Vec<Row>,
    occupied: [u128; PARTITIONS],
    positions: Vec<Option<CellPosition>>,
    free: Vec<work::Resources>,
}

/// Returns the size class of an amount: four classes for each power of two.
fn size_class(amount: u64) -> usize {
    if amount < 4 {
        return amount as usize;
    }
    let log = amount.ilog2() as usize;
    let quarter = (amount >> (log - 2)) as usize & 3;
    ((log - 1) * 4 + quarter).min(SIZE_CLASSES - 1)
}

fn accelerator_class(amount: u64) -> usize {
    size_class(amount).min(ACCELERATOR_CLASSES - 1)
}

fn bits_from(bit: usize) -> u128 {
    u128::MAX << bit
}

fn pop_bit(bits: &mut u128, order: SearchOrder) -> Option<usize> {
    if *bits == 0 {
        return None;
    }
    let bit = match order {
        SearchOrder::LeastFree => bits.trailing_zeros(),
        SearchOrder::MostFree => 127 - bits.leading_zeros(),
    };
    *bits &= !(1 << bit);
    Some(bit as usize)
}

impl Default for FreeIndex {
    fn default() -> Self {
        Self {
            rows: vec![Row::default(); PARTITIONS * SIZE_CLASSES],
            occupied: [0; PARTITIONS],
            positions: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl FreeIndex {
    /// Inserts a worker, or moves it to the cell of its new free amounts.
    ///
    /// Idle workers have partitions of their own. Otherwise a worker with one small
    /// task would share a cell with idle workers, and a search for an idle one could
    /// miss them.
    pub fn set(&mut self, worker: u32, free: work::Resources, idle: bool) {
        let needed = worker as usize + 1;
        if self.positions.len() < needed {
            self.positions.resize(needed, None);
            self.free.resize(needed, work::Resources::default());
        }
        let partition = 2 * accelerator_class(free.accelerators) + usize::from(idle);
        let cpu = size_class(free.cpu_milli);
        let row = partition * SIZE_CLASSES + cpu;
        let column = size_class(free.memory_mb);
        self.free[worker as usize] = free;
        if let Some(position) = self.positions[worker as usize]
            && position.row as usize == row
            && position.column as usize == column
        {
            return;
        }
        self.remove(worker);
        let cells = &mut self.rows[row];
        if cells.columns.len() <= column {
            cells.columns.resize(column + 1, Vec::new());
        }
        cells.columns[column].push(worker);
        cells.occupied |= 1 << column;
        self.occupied[partition] |= 1 << cpu;
        self.positions[worker as usize] = Some(CellPosition {
            row: row as u32,
            column: column as u32,
            offset: (cells.columns[column].len() - 1) as u32,
        });
    }

    /// Removes a worker, if it is present.
    pub fn remove(&mut self, worker: u32) {
        let Some(position) = self
            .positions
            .get_mut(worker as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let row = &mut self.rows[position.row as usize];
        let cell = &mut row.columns[position.column as usize];
        cell.swap_remove(position.offset as usize);
        if let Some(&moved) = cell.get(position.offset as usize)
            && let Some(moved) = &mut self.positions[moved as usize]
        {
            moved.offset = position.offset;
        }
        if cell.is_empty() {
            row.occupied &= !(1 << position.column);
            if row.occupied == 0 {
                let row = position.row as usize;
                self.occupied[row / SIZE_CLASSES] &= !(1 << (row % SIZE_CLASSES));
            }
        }
    }

    /// Offers workers on which `demand` fits until `offer` ends the search.
    ///
    /// A bounded number of workers is examined in each cell, starting at `offset`. If
    /// none was accepted, the cells are searched again without that bound.
    pub fn search(
        &self,
        demand: work::Resources,
        order: SearchOrder,
        offset: usize,
        mut offer: impl FnMut(u32) -> OfferResponse,
    ) {
        let mut accepted = false;
        for limit in [MAX_SCANNED_PER_CELL, usize::MAX] {
            let mut truncated = false;
            let stopped = self.visit_cells(demand, order, |cell| {
                truncated |= cell.len() > limit;
                let first = offset % cell.len();
                let scan = cell[first..].iter().chain(&cell[..first]);
                for &worker in scan.take(limit) {
                    if demand.fits_in(self.free[worker as usize]) {
                        match offer(worker) {
                            OfferResponse::Accepted => accepted = true,
                            OfferResponse::Rejected => {}
                            OfferResponse::Stop => return false,
                        }
                    }
                }
                true
            });
            if stopped || accepted || !truncated {
                return;
            }
        }
    }

    /// Visits occupied cells whose workers may have room. Returns whether `visit` ended
    /// the search.
    fn visit_cells(
        &self,
        demand: work::Resources,
        order: SearchOrder,
        mut visit: impl FnMut(&[u32]) -> bool,
    ) -> bool {
        let cpu = bits_from(size_class(demand.cpu_milli));
        let memory = bits_from(size_class(demand.memory_mb));
        // Ascending order keeps workers with accelerators for tasks that need them.
        for accelerators in accelerator_class(demand.accelerators)..ACCELERATOR_CLASSES {
            let idle_first = usize::from(order == SearchOrder::MostFree);
            let partitions = [idle_first, 1 - idle_first].map(|idle| 2 * accelerators + idle);
            for partition in partitions {
                if self.visit_partition(partition, (cpu, memory), order, &mut visit) {
                    return true;
                }
            }
        }
        false
    }

    /// Visits the cells of one partition that match the masks. Returns whether `visit`
    /// ended the search.
    fn visit_partition(
        &self,
        partition: usize,
        (cpu, memory): (u128, u128),
        order: SearchOrder,
        visit: &mut impl FnMut(&[u32]) -> bool,
    ) -> bool {
        let mut rows = self.occupied[partition] & cpu;
        while let Some(row) = pop_bit(&mut rows, order) {
            let row = &self.rows[partition * SIZE_CLASSES + row];
            let mut columns = row.occupied & memory;
            while let Some(column) = pop_bit(&mut columns, order) {
                if !visit(&row.columns[column]) {
                    return true;
                }
            }
        }
        false
    }
}
