//! Hosts that start with much to read over links with little bandwidth.

use platform_standin::Platform;

use crate::support::{self, TestCell};

/// Guards against a cell that never comes back: hosts gave up on a large read after a fixed time,
/// discarded what had arrived, and started over.
#[tokio::test]
async fn hosts_start_with_large_reads_over_a_slow_link() {
    struct Case {
        name: &'static str,
        queues: usize,
        records: usize,
        link_bytes_per_s: u64,
    }
    /// Size of a record that is read like a job's and, since it cannot be decoded, ignored.
    const RECORD_BYTES: usize = 1_500;
    let cases = [
        Case {
            name: "a configuration that takes over a second to transfer",
            queues: 2_000,
            records: 0,
            link_bytes_per_s: 500_000,
        },
        Case {
            name: "job records that take over ten seconds to transfer",
            queues: 2,
            records: 3_000,
            link_bytes_per_s: 500_000,
        },
    ];
    for case in cases {
        let mut platform = Platform::start(2).await;
        let names: Vec<String> = (2..case.queues).map(|n| format!("queue-{n}")).collect();
        let queues: Vec<&str> = ["urgent", "batch"]
            .into_iter()
            .chain(names.iter().map(String::as_str))
            .collect();
        platform.configure(1, &queues, false);
        let content = "~".repeat(RECORD_BYTES);
        for number in 0..case.records {
            platform
                .store
                .put(&format!("hc/j/unreadable-{number}"), &content);
        }
        let link = platform.open_store_link(case.link_bytes_per_s).await;
        let lines = format!("platform.address={link}\n");
        let test_cell = TestCell::start_on(platform, 2, &lines).await;
        let path = support::path("batch", 1);
        let reply = test_cell.submit(0, &path, 1, "run=50").await;
        assert_eq!(reply.status, 200, "{}", case.name);
        test_cell.wait_for_state(1, &path, "completed").await;
        test_cell.assert_no_faults();
    }
}
