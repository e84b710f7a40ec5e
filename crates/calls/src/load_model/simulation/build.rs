//! Construction of a run.

use kernel::ids;

use super::super::case;
use super::super::cell;
use super::super::credit_exchange;
use super::super::event_queue;
use super::super::recorder;
use super::super::requests;
use super::{DispatchPoint, Simulation};
use crate::attempts;
use crate::dispatch;
use crate::retry;
use crate::router;

impl Simulation {
    /// Creates the run of a case, before its first event.
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
        let credit_issuers =
            (0..groups).map(|group| credit_exchange::CreditIssuer::new(&service, group, case.seed));
        let groups: Vec<ids::GroupId> = (0..groups).map(cell::group_id).collect();
        let open_calls = vec![0; groups.len() * cell::INSTANCES_PER_GROUP as usize];
        let ids = groups.iter().cloned().zip(0..);
        Self {
            case: *case,
            teams: (0..case.teams)
                .map(|team| ids::TeamId::new(format!("team-{team}")))
                .collect(),
            arrivals: requests::Arrivals::new(case),
            events: event_queue::EventQueue::new(),
            now_us: 0,
            requests: Vec::new(),
            attempts: Vec::new(),
            open_attempts: attempts::AttemptTable::new(0),
            points: dispatch_points(case, &service),
            group_indices: ids.collect(),
            groups,
            credit_issuers: credit_issuers.collect(),
            routers: routers.collect(),
            policies: policies.collect(),
            open_calls,
            recorder: recorder::Recorder::new(case),
            service,
        }
    }
}

/// All dispatch points of a case, ordered by host and group.
///
/// There is one per group at its owner, or one per group on each entry host, depending on
/// where slots are allocated.
fn dispatch_points(case: &case::LoadCase, service: &ids::WorkId) -> Vec<DispatchPoint> {
    let groups = 0..cell::GROUP_OWNERS.len();
    if case.path == case::CallPath::OwnerForwarded {
        let owned = groups.map(|group| (cell::GROUP_OWNERS[group], group));
        return owned
            .map(|(host, group)| dispatch_point(case, service, host, group))
            .collect();
    }
    let hosts = 0..cell::HOST_ZONES.len();
    let pairs = hosts.flat_map(|host| groups.clone().map(move |group| (host, group)));
    pairs
        .map(|(host, group)| dispatch_point(case, service, host, group))
        .collect()
}

fn dispatch_point(
    case: &case::LoadCase,
    service: &ids::WorkId,
    host: usize,
    group: usize,
) -> DispatchPoint {
    let config = dispatch::DispatcherConfig {
        order: case.order,
        ..dispatch::DispatcherConfig::default()
    };
    let seed = case.seed.wrapping_add((host * 64 + group) as u64);
    let mut dispatcher = dispatch::Dispatcher::new(config, seed);
    for index in 0..cell::INSTANCES_PER_GROUP {
        let run = cell::instance(service, group, index);
        let slots = match case.path {
            case::CallPath::OwnerForwarded => cell::SLOTS_PER_INSTANCE,
            case::CallPath::Credits => 0,
            case::CallPath::FixedShares => fixed_share(host, run.task.index),
        };
        dispatcher.set_instance(&run, "", slots, cell::CONNECTIONS_PER_INSTANCE, 0);
    }
    DispatchPoint {
        host,
        group,
        dispatcher,
        credit_holder: credit_exchange::CreditHolder::default(),
    }
}

/// Number of slots of an instance reserved for one host. The parts of all hosts add up to
/// all slots.
fn fixed_share(host: usize, instance: u32) -> u32 {
    let hosts = cell::HOST_ZONES.len() as u32;
    let extra = (host as u32 + instance) % hosts < cell::SLOTS_PER_INSTANCE % hosts;
    cell::SLOTS_PER_INSTANCE / hosts + u32::from(extra)
}
