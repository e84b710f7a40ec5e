//! The trace of a call through separate processes, as a collector gets it.

mod support;

use std::time::Duration;

use support::collector::{Collector, Span};
use support::{Cell, request, wait_until};

const LIMIT: Duration = Duration::from_secs(30);
const CALLER: &str = "00f067aa0ba902b7";

const NOTE: &str = r#"
[[added.quota]]
team = "workshop"
cpu_milli = 100_000
memory_mb = 200_000

[[added.service]]
name = "bankbuch"
team = "workshop"
replicas = 1
cpu_milli = 1_000
memory_mb = 1_024
slots = 8
connections = 64
zones = ["ros-nord"]
"#;

struct TraceCase {
    name: &'static str,
    trace: &'static str,
    key: Option<&'static str>,
    /// Each span with its parent; the caller is the parent of the first.
    hops: &'static [(&'static str, &'static str)],
}

const CASES: &[TraceCase] = &[
    TraceCase {
        name: "an idempotent call",
        trace: "4bf92f3577b34da6a3ce929d0e0e4736",
        key: None,
        hops: &[
            ("entry call", "caller"),
            ("owner call", "entry call"),
            ("upstream call", "owner call"),
        ],
    },
    TraceCase {
        name: "a call with a key",
        trace: "4bf92f3577b34da6a3ce929d0e0e4737",
        key: Some("charge-1"),
        hops: &[
            ("entry call", "caller"),
            ("shard call", "entry call"),
            ("claim", "shard call"),
            ("store claim", "claim"),
            ("owner call", "claim"),
            ("upstream call", "owner call"),
            ("store answer", "claim"),
        ],
    },
];

/// The span of a name, of which there must be one.
fn only<'a>(spans: &'a [Span], name: &str) -> &'a Span {
    let found: Vec<&Span> = spans.iter().filter(|span| span.name == name).collect();
    assert_eq!(found.len(), 1, "{name}: {spans:#?}");
    found[0]
}

#[test]
fn a_call_leaves_one_whole_trace_over_all_hops() {
    let collector = Collector::start();
    let extra = ["--otlp-endpoint", collector.endpoint.as_str()];
    // The region of lan-sued has no store, so the call's shard is owned by another host.
    let cell = Cell::start(&["lan-sued", "ros-nord"], &extra);
    let reply = cell.submit(0, "traced", NOTE);
    assert_eq!(reply.status, 200, "{}", reply.text());
    wait_until("the replica runs", LIMIT, || {
        cell.job(0, "bankbuch").is_some_and(|job| job.running == 1)
    });
    for case in CASES {
        let traceparent = format!("00-{}-{CALLER}-01", case.trace);
        let mut headers = vec![("traceparent", traceparent.as_str())];
        headers.extend(case.key.map(|key| ("idempotency-key", key)));
        let path = "/v1/call/bankbuch/benches";
        let reply = request("POST", &cell.hosts[0].http, path, &headers, b"bench");
        assert_eq!(reply.status, 200, "{}: {}", case.name, reply.text());

        let spans = collector.wait_for(case.trace, LIMIT, |spans| spans.len() >= case.hops.len());
        assert_eq!(spans.len(), case.hops.len(), "{}: {spans:#?}", case.name);
        for (name, parent) in case.hops {
            let expected = match *parent {
                "caller" => CALLER,
                parent => &only(&spans, parent).id,
            };
            assert_eq!(only(&spans, name).parent, expected, "{}: {name}", case.name);
        }
        let entry = &only(&spans, "entry call").host;
        let owner = &only(&spans, "owner call").host;
        assert!(
            entry.starts_with("h0.") && owner.starts_with("h1."),
            "{entry}, {owner}"
        );
    }
}
