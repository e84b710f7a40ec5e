//! Puts a run together.

use kernel::ids;

use super::super::case;
use super::super::cell;
use super::super::lending;
use super::super::requests;
use super::super::tally;
use super::super::timeline;
use super::{Point, Simulation};
use crate::attempts;
use crate::dispatch;
use crate::retry;
use crate::router;

impl Simulation {
    /// Makes a run of a case, before its first event.
    pub(in super::super) fn new(case: &case::LoadCase) -> Self {
        let service = ids::WorkId::new("service");
        let groups = cell::GROUP_OWNERS.len();
        let hosts = cell::HOST_ZONES.len();
        let seeds = (0..hosts as u64).map(|host| case.seed.wrapping_add(host));
        let routers = seeds.clone().enumerate().map(|(host, seed)| {
            let zone = cell::zone_id(cell::HOST_ZONES[host]);
            let config = router::RouterConfig::new(&zone, cell::regions());
            router::Router::new(config, seed)
        });
        let policies = seeds.map(|seed| {
            let mut config = retry::RetryConfig::default();
            if !case.retries {
                config.max_attempts = 1;
            }
            retry::RetryPolicy::new(config, seed)
        });
        let lenders = (0..groups).map(|group| lending::Lender::new(&service, group, case.seed));
        let groups: Vec<ids::GroupId> = (0..groups).map(cell::group_id).collect();
        let open_calls = vec![0; groups.len() * cell::GROUP_INSTANCES as usize];
        let ids = groups.iter().cloned().zip(0..);
        Self {
            case: *case,
            teams: (0..case.teams)
                .map(|team| ids::TeamId::new(format!("team-{team}")))
                .collect(),
            arrivals: requests::Arrivals::new(case),
            timeline: timeline::Timeline::new(),
            now_us: 0,
            requests: Vec::new(),
            attempts: Vec::new(),
            open_attempts: attempts::AttemptTable::new(0),
            points: points(case, &service),
            point_of_group: ids.collect(),
            groups,
            lenders: lenders.collect(),
            routers: routers.collect(),
            policies: policies.collect(),
            open_calls,
            tally: tally::Tally::new(case),
            service,
        }
    }
}

/// The dispatchers of a case.
fn points(case: &case::LoadCase, service: &ids::WorkId) -> Vec<Point> {
    let groups = 0..cell::GROUP_OWNERS.len();
    if case.path == case::CallPath::OwnerForwarded {
        let owned = groups.map(|group| (cell::GROUP_OWNERS[group], group));
        return owned
            .map(|(host, group)| point(case, service, host, group))
            .collect();
    }
    let hosts = 0..cell::HOST_ZONES.len();
    let pairs = hosts.flat_map(|host| groups.clone().map(move |group| (host, group)));
    pairs
        .map(|(host, group)| point(case, service, host, group))
        .collect()
}

fn point(case: &case::LoadCase, service: &ids::WorkId, host: usize, group: usize) -> Point {
    let config = dispatch::DispatcherConfig {
        order: case.order,
        ..dispatch::DispatcherConfig::default()
    };
    let seed = case.seed.wrapping_add((host * 64 + group) as u64);
    let mut dispatcher = dispatch::Dispatcher::new(config, seed);
    for index in 0..cell::GROUP_INSTANCES {
        let run = cell::instance(service, group, index);
        let slots = match case.path {
            case::CallPath::OwnerForwarded => cell::SLOTS,
            case::CallPath::Credits => 0,
            case::CallPath::FixedShares => fixed_share(host, run.task.index),
        };
        dispatcher.set_instance(&run, "", slots, cell::CONNECTIONS, 0);
    }
    Point {
        host,
        group,
        dispatcher,
        borrower: lending::Borrower::default(),
    }
}

/// Slots of an instance that one host may always use; all hosts together use all.
fn fixed_share(host: usize, instance: u32) -> u32 {
    let hosts = cell::HOST_ZONES.len() as u32;
    let extra = (host as u32 + instance) % hosts < cell::SLOTS % hosts;
    cell::SLOTS / hosts + u32::from(extra)
}
