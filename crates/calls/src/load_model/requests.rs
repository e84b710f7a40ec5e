//! Random generation of calls.

use kernel::ids;
use kernel::random;
use rand::RngExt;

use super::case;
use super::cell;

/// Time beyond the service time for which a call from the same zone holds its slot.
const SLOT_OVERHEAD_US: u64 = 400;

/// One call with its progress through the entry host.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) team: usize,
    pub(super) host: usize,
    pub(super) sent_at_us: u64,
    pub(super) deadline_at_us: u64,
    pub(super) service_us: u64,
    pub(super) attempts: u32,
    pub(super) tried: Vec<ids::GroupId>,
}

/// Generator of the calls of one case.
#[derive(Debug)]
pub(super) struct Arrivals {
    case: case::LoadCase,
    random: random::Random,
    calls_per_s: f64,
}

impl Arrivals {
    pub(super) fn new(case: &case::LoadCase) -> Self {
        Self {
            case: *case,
            random: random::from_seed(case.seed),
            calls_per_s: case.load * capacity_per_s(case.workload),
        }
    }

    /// Draws the time until the next call.
    pub(super) fn interarrival_us(&mut self) -> u64 {
        self.exponential(1_000_000.0 / self.calls_per_s)
    }

    /// Draws a call sent at `sent_at_us`.
    pub(super) fn draw(&mut self, sent_at_us: u64) -> Request {
        let classes = self.case.workload.classes();
        let class = self.draw_class(classes);
        let service_us = self.exponential(classes[class].service_ms * 1_000.0);
        Request {
            class,
            team: self.draw_team(),
            host: self.draw_host(),
            sent_at_us,
            deadline_at_us: sent_at_us + classes[class].deadline_ms * 1_000,
            service_us,
            attempts: 0,
            tried: Vec::new(),
        }
    }

    fn draw_class(&mut self, classes: &[case::Class]) -> usize {
        let mut remaining: f64 = self.random.random();
        for (index, class) in classes.iter().enumerate() {
            if remaining < class.share {
                return index;
            }
            remaining -= class.share;
        }
        classes.len() - 1
    }

    /// The first `flooding_teams` teams flood; the others offer no more than their
    /// quota on average.
    fn draw_team(&mut self) -> usize {
        let teams = self.case.teams;
        let flooding = self.case.flooding_teams;
        let non_flooding_share =
            f64::from(teams - flooding) / f64::from(teams) / self.case.load.max(1.0);
        if flooding > 0 && !self.random.random_bool(non_flooding_share) {
            return self.random.random_range(0..flooding) as usize;
        }
        self.random.random_range(flooding..teams) as usize
    }

    fn draw_host(&mut self) -> usize {
        if self.random.random_bool(self.case.skew) {
            return 0;
        }
        if !self.case.balance_by_zone {
            return self.random.random_range(0..cell::HOST_ZONES.len());
        }
        let hosts = cell::hosts_of_zone(self.random.random_range(0..cell::ZONE_COUNT));
        hosts[self.random.random_range(0..hosts.len())]
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.random.random();
        (-(1.0 - uniform).ln() * mean) as u64
    }
}

/// Calls per second that all slots can serve if every call comes from the same zone.
pub(super) fn capacity_per_s(workload: case::Workload) -> f64 {
    let classes = workload.classes().iter();
    let service_ms: f64 = classes.map(|class| class.share * class.service_ms).sum();
    let held_us = service_ms * 1_000.0 + SLOT_OVERHEAD_US as f64;
    f64::from(cell::total_slots()) * 1_000_000.0 / held_us
}
