//! Index of workers by free capacity.
//!
//! Workers with similar free amounts share a cell of a table whose size does not depend
//! on the number of workers. A search visits occupied cells only, which it finds
//! through bit sets, and examines a bounded number of workers in each.

use kernel::work;

const CLASSES: usize = 128;
const ACCELERATOR_CLASSES: usize = 8;
/// Partitions of the table: one for busy and one for idle workers per class of accelerators.
const PARTS: usize = 2 * ACCELERATOR_CLASSES;
/// Workers examined in one cell before a search moves on to the next cell.
const SCAN_LIMIT: usize = 32;

/// Order in which a search visits cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Workers with the least free capacity first.
    Tight,
    /// Workers with the most free capacity first.
    Loose,
}

/// Response of a search callback to an offered worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The worker is a candidate; continue the search.
    Taken,
    /// The worker cannot be used; continue the search.
    Rejected,
    /// The worker is a candidate; end the search.
    Enough,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    row: u32,
    column: u32,
    position: u32,
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
    occupied: [u128; PARTS],
    places: Vec<Option<Place>>,
    amounts: Vec<work::Resources>,
}

/// Returns the size class of an amount: four classes for each power of two.
fn class(amount: u64) -> usize {
    if amount < 4 {
        return amount as usize;
    }
    let log = amount.ilog2() as usize;
    let quarter = (amount >> (log - 2)) as usize & 3;
    ((log - 1) * 4 + quarter).min(CLASSES - 1)
}

fn accelerator_class(amount: u64) -> usize {
    class(amount).min(ACCELERATOR_CLASSES - 1)
}

fn from_bit(bit: usize) -> u128 {
    u128::MAX << bit
}

fn take_bit(bits: &mut u128, order: Order) -> Option<usize> {
    if *bits == 0 {
        return None;
    }
    let bit = match order {
        Order::Tight => bits.trailing_zeros(),
        Order::Loose => 127 - bits.leading_zeros(),
    };
    *bits &= !(1 << bit);
    Some(bit as usize)
}

impl Default for FreeIndex {
    fn default() -> Self {
        Self {
            rows: vec![Row::default(); PARTS * CLASSES],
            occupied: [0; PARTS],
            places: Vec::new(),
            amounts: Vec::new(),
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
        if self.places.len() < needed {
            self.places.resize(needed, None);
            self.amounts.resize(needed, work::Resources::default());
        }
        let part = 2 * accelerator_class(free.accelerators) + usize::from(idle);
        let cpu = class(free.cpu_milli);
        let row = part * CLASSES + cpu;
        let column = class(free.memory_mb);
        self.amounts[worker as usize] = free;
        if let Some(place) = self.places[worker as usize]
            && place.row as usize == row
            && place.column as usize == column
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
        self.occupied[part] |= 1 << cpu;
        self.places[worker as usize] = Some(Place {
            row: row as u32,
            column: column as u32,
            position: (cells.columns[column].len() - 1) as u32,
        });
    }

    /// Removes a worker, if it is present.
    pub fn remove(&mut self, worker: u32) {
        let Some(place) = self.places.get_mut(worker as usize).and_then(Option::take) else {
            return;
        };
        let row = &mut self.rows[place.row as usize];
        let cell = &mut row.columns[place.column as usize];
        cell.swap_remove(place.position as usize);
        if let Some(&moved) = cell.get(place.position as usize)
            && let Some(moved) = &mut self.places[moved as usize]
        {
            moved.position = place.position;
        }
        if cell.is_empty() {
            row.occupied &= !(1 << place.column);
            if row.occupied == 0 {
                let row = place.row as usize;
                self.occupied[row / CLASSES] &= !(1 << (row % CLASSES));
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
        order: Order,
        offset: usize,
        mut offer: impl FnMut(u32) -> Answer,
    ) {
        let mut taken = false;
        for limit in [SCAN_LIMIT, usize::MAX] {
            let mut truncated = false;
            let ended = self.walk(demand, order, |cell| {
                truncated |= cell.len() > limit;
                let first = offset % cell.len();
                let scan = cell[first..].iter().chain(&cell[..first]);
                for &worker in scan.take(limit) {
                    if demand.fits_in(self.amounts[worker as usize]) {
                        match offer(worker) {
                            Answer::Taken => taken = true,
                            Answer::Rejected => {}
                            Answer::Enough => return false,
                        }
                    }
                }
                true
            });
            if ended || taken || !truncated {
                return;
            }
        }
    }

    /// Visits occupied cells whose workers may have room. Returns whether `visit` ended
    /// the search.
    fn walk(
        &self,
        demand: work::Resources,
        order: Order,
        mut visit: impl FnMut(&[u32]) -> bool,
    ) -> bool {
        let cpu = from_bit(class(demand.cpu_milli));
        let memory = from_bit(class(demand.memory_mb));
        // Ascending order keeps workers with accelerators for tasks that need them.
        for accelerators in accelerator_class(demand.accelerators)..ACCELERATOR_CLASSES {
            let idle_first = usize::from(order == Order::Loose);
            let parts = [idle_first, 1 - idle_first].map(|idle| 2 * accelerators + idle);
            for part in parts {
                if self.walk_part(part, (cpu, memory), order, &mut visit) {
                    return true;
                }
            }
        }
        false
    }

    /// Visits the cells of one partition that match the masks. Returns whether `visit`
    /// ended the search.
    fn walk_part(
        &self,
        part: usize,
        (cpu, memory): (u128, u128),
        order: Order,
        visit: &mut impl FnMut(&[u32]) -> bool,
    ) -> bool {
        let mut rows = self.occupied[part] & cpu;
        while let Some(row) = take_bit(&mut rows, order) {
            let row = &self.rows[part * CLASSES + row];
            let mut columns = row.occupied & memory;
            while let Some(column) = take_bit(&mut columns, order) {
                if !visit(&row.columns[column]) {
                    return true;
                }
            }
        }
        false
    }
}
