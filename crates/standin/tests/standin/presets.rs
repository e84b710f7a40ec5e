//! The presets match the deployments described by the firms.

use std::sync::Arc;

use hickorychute_standin as standin;
use kernel::history::NullSink;
use kernel::{ids, work};
use standin::{Embedded, Firm};

struct Case {
    firm: Firm,
    zones: [(&'static str, &'static str); 3],
    capacity: work::Resources,
    client_ms: u64,
}

const CASES: [Case; 2] = [
    Case {
        firm: Firm::Huber,
        zones: [("muc-ost", "obb"), ("ros-nord", "obb"), ("lan-sued", "nbb")],
        capacity: work::Resources::new(16_000, 32 * 1024, 0),
        client_ms: 3,
    },
    Case {
        firm: Firm::Association,
        zones: [
            ("katowice", "slask"),
            ("gliwice", "slask"),
            ("gdansk", "pomorze"),
        ],
        capacity: work::Resources::new(64_000, 256 * 1024, 0),
        client_ms: 1,
    },
];

#[tokio::test(start_paused = true)]
async fn each_firm_has_its_zones_racks_and_workers() {
    for case in CASES {
        let embedded = Embedded::start(case.firm, Arc::new(NullSink));
        let topology = &embedded.config().topology;
        assert_eq!(topology.store_zone.as_str(), case.zones[0].0);
        let latencies = topology.latencies;
        let one_way = (
            latencies.region_ms,
            latencies.between_regions_ms,
            latencies.client_ms,
        );
        assert_eq!(one_way, (1, 30, case.client_ms), "{}", case.firm);
        assert_eq!(topology.link_bits_per_s, Some(30_000_000));
        assert_eq!(embedded.zones().count(), case.zones.len());
        let mut workers = 0;
        for (zone, region) in case.zones {
            let zone = ids::ZoneId::new(zone);
            assert_eq!(topology.region_of(&zone).as_str(), region);
            let listed = embedded.connect(&zone).workers.list(&zone).await.unwrap();
            workers += listed.len();
            for info in &listed {
                let in_rack = listed.iter().filter(|other| other.rack == info.rack);
                assert_eq!(
                    (in_rack.count(), info.capacity),
                    (8, case.capacity),
                    "{info:?}"
                );
            }
        }
        assert_eq!(workers, 48, "{}", case.firm);
    }
}
