//! Encoded size of gossip rumors.
//!
//! The size depends only on the groups and services that a rumor lists, so the rumors of a cell of
//! any size can be encoded without running that cell.

use prost::Message as _;
use wire::messages;

use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;

/// Numbers of services per group.
const SERVICES_PER_GROUP: [u32; 4] = [0, 10, 20, 40];

/// Measures the size of a rumor by the services per group (of two groups), then by the groups.
pub(crate) fn measure(_scale: &Scale, report: &mut Report) {
    for services in SERVICES_PER_GROUP {
        let bytes = rumor(2, services).encoded_len() as f64;
        let name = "rumor_bytes_by_services_per_group";
        report.add(name, u64::from(services), Unit::Bytes, bytes);
    }
    for groups in [0, 1, 2, 4] {
        let bytes = rumor(groups, 0).encoded_len() as f64;
        report.add(
            "rumor_bytes_by_groups",
            u64::from(groups),
            Unit::Bytes,
            bytes,
        );
    }
}

/// Builds the rumor of a host that owns `groups` groups of `services` services each, and one shard.
fn rumor(groups: u32, services: u32) -> messages::HostRumor {
    let service = |number: u32| messages::ServiceRumor {
        service: format!("service-{number:04}"),
        instances: 30,
        free_slots: 120,
        queue_delay_ms: 25,
    };
    let resources = |cpu_milli, memory_mb| messages::Amount {
        cpu_milli,
        memory_mb,
        accelerators: 0,
    };
    let group = |index| messages::GroupRumor {
        zone: "zone-0".to_owned(),
        index,
        epoch: 40,
        free: Some(resources(300_000, 600_000)),
        capacity: Some(resources(1_600_000, 3_200_000)),
        waiting_tasks: 200,
        services: (0..services).map(service).collect(),
    };
    messages::HostRumor {
        host: "entry-0001-0a1b2c3d".to_owned(),
        zone: "zone-0".to_owned(),
        address: "10.20.30.40:7071".to_owned(),
        incarnation: 1_700_000_000_000,
        heartbeat: 100_000,
        phase: "serving".to_owned(),
        release_version: 1_000_000,
        groups: (1..=groups).map(group).collect(),
        shards: vec![messages::ShardRumor {
            shard: 1,
            epoch: 40,
        }],
        http_address: "10.20.30.40:7070".to_owned(),
    }
}
