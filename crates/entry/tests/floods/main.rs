//! Many clients outside the limits at once, against a host process with lowered limits.
//!
//! Guards against a host that ends, exceeds the memory or the descriptors of its machine, or no
//! longer answers ordinary requests. Nothing here depends on the speed of the machine.

mod crowd;
mod endurance;
mod jobs;
mod moving;
mod rig;
mod seeded;

use std::{net::SocketAddr, time::Duration};

use crowd::Pattern;
use hickorychute_entry::peers::{Body, Peers};
use rig::{ProcessLimits, Rig, Usage};
use tokio::{sync::Mutex, task::LocalSet};

/// Held by each test, so that only one crowd loads the machine at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Identifiers of ordinary jobs; those of the crowds are lower.
const ORDINARY_JOBS: u64 = 1 << 32;

/// An ordinary job.
const JOB: &str =
    r#"{"spec":"run=10","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":10}]}"#;

fn submission(number: u64, headers: &str) -> Vec<u8> {
    let length = JOB.len();
    format!(
        "POST /batch/{number:016x} HTTP/1.1\r\nhost: jobs.example\r\n{headers}\
         content-length: {length}\r\n\r\n{JOB}"
    )
    .into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Clients,
    Peers,
    Readiness,
    Metrics,
}

impl Port {
    fn address(self, rig: &Rig) -> SocketAddr {
        match self {
            Self::Clients => rig.clients,
            Self::Peers => rig.peers,
            Self::Readiness => rig.readiness,
            Self::Metrics => rig.metrics,
        }
    }
}

#[derive(Debug)]
struct Case {
    name: &'static str,
    port: Port,
    pattern: Pattern,
    connections: usize,
}

/// Given to the process; also the bounds that the test checks.
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 60,
    max_fds: 500,
};

const CASES: [Case; 13] = [
    Case {
        name: "large bodies",
        port: Port::Clients,
        pattern: Pattern::WholeBody,
        connections: 400,
    },
    Case {
        name: "large bodies in pieces",
        port: Port::Clients,
        pattern: Pattern::BodyInPieces,
        connections: 400,
    },
    Case {
        name: "large chunks",
        port: Port::Clients,
        pattern: Pattern::Chunks {
            chunk_bytes: 16 << 10,
            body_bytes: 262_144,
        },
        connections: 400,
    },
    Case {
        name: "chunks of one byte",
        port: Port::Clients,
        pattern: Pattern::Chunks {
            chunk_bytes: 1,
            body_bytes: 20_000,
        },
        connections: 150,
    },
    Case {
        name: "unread responses",
        port: Port::Clients,
        pattern: Pattern::UnreadResponses {
            path: "/nowhere",
            sent_bytes: 1 << 20,
        },
        connections: 60,
    },
    Case {
        name: "headers without end",
        port: Port::Clients,
        pattern: Pattern::EndlessHeaders,
        connections: 600,
    },
    Case {
        name: "idle clients",
        port: Port::Clients,
        pattern: Pattern::Idle,
        connections: 600,
    },
    Case {
        name: "idle peers",
        port: Port::Peers,
        pattern: Pattern::Idle,
        connections: 600,
    },
    Case {
        name: "unfinished frames",
        port: Port::Peers,
        pattern: Pattern::UnfinishedFrame,
        connections: 150,
    },
    Case {
        name: "idle probes",
        port: Port::Readiness,
        pattern: Pattern::Idle,
        connections: 600,
    },
    Case {
        name: "unread metrics",
        port: Port::Metrics,
        pattern: Pattern::UnreadResponses {
            path: "/metrics",
            sent_bytes: 64 << 10,
        },
        connections: 300,
    },
    Case {
        name: "complete large bodies",
        port: Port::Clients,
        pattern: Pattern::CompleteBody,
        connections: 60,
    },
    Case {
        name: "unread answers to hosts",
        port: Port::Peers,
        pattern: Pattern::UnreadAnswers {
            sent_bytes: 64 << 10,
        },
        connections: 60,
    },
];

/// Sends the crowd and returns what was wrong.
async fn play(number: u64, case: &Case) -> Vec<String> {
    let mut rig = Rig::start(LIMITS).await;
    let address = case.port.address(&rig);
    let crowd = crowd::send(address, case.pattern, case.connections).await;
    let Usage {
        memory_kib,
        descriptors,
    } = rig.settle(address.port()).await;
    let served = rig::served_status(rig.clients, &submission(ORDINARY_JOBS + number, "")).await;
    let ready = rig::served_status(
        rig.readiness,
        b"GET /hickorychute/ready HTTP/1.1\r\nhost: a\r\n\r\n",
    )
    .await;
    let metrics =
        rig::served_status(rig.metrics, b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n").await;
    let peer = Peers::default()
        .call(rig.peers, Body::GetLeader(true), Duration::from_secs(3))
        .await;
    let memory_kib = rig.settle(address.port()).await.memory_kib.max(memory_kib);
    let open = crowd.len();
    println!(
        "{}: {memory_kib} KiB, {descriptors} descriptors, {open} of {} not refused, submission \
         {served}, probe {ready}, metrics {metrics}, peer {}",
        case.name,
        case.connections,
        peer.is_ok(),
    );
    let mut faults = Vec::new();
    let mut check = |holds: bool, what: String| {
        if !holds {
            faults.push(format!("{}: {what}", case.name));
        }
    };
    check(rig.is_alive(), "the process has ended".into());
    check(
        memory_kib <= LIMITS.memory_mb << 10,
        format!("{memory_kib} KiB of memory"),
    );
    check(
        descriptors <= LIMITS.max_fds,
        format!("{descriptors} open descriptors"),
    );
    check(served == 200, format!("submission answered with {served}"));
    check(ready == 200, format!("probe answered with {ready}"));
    check(metrics == 200, format!("metrics answered with {metrics}"));
    check(peer.is_ok(), format!("call between hosts: {peer:?}"));
    drop(crowd);
    faults
}

#[tokio::test]
async fn crowds_outside_the_limits_leave_the_host_within_its_machine() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for (number, case) in CASES.iter().enumerate() {
        faults.extend(
            LocalSet::new()
                .run_until(play(number as u64 + 1, case))
                .await,
        );
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Requests at the limits of the configuration are legal: a host must serve them.
#[tokio::test]
async fn single_requests_inside_the_limits_are_served() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let rig = Rig::start(LIMITS).await;
    // The limit counts the lines of all headers, among them about 60 bytes of other headers.
    let long = format!("x-long: {}\r\n", "x".repeat(16_384 - 100));
    let many = "x-many: 0123456789012345678901234567890123456789\r\n".repeat(80);
    let padding = " ".repeat(262_144 - JOB.len());
    let large = format!(
        "POST /batch/00000000000000f3 HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: \
         262144\r\n\r\n{JOB}{padding}"
    );
    let mut chunked = b"POST /batch/00000000000000f4 HTTP/1.1\r\nhost: jobs.example\r\n\
                        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    for byte in JOB.bytes() {
        chunked.extend_from_slice(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let cases = [
        ("one long header", submission(0xf1, &long)),
        ("many headers", submission(0xf2, &many)),
        ("largest body", large.into_bytes()),
        ("chunks of one byte", chunked),
    ];
    let mut faults = Vec::new();
    for (name, request) in cases {
        let status = rig::request_status(rig.clients, &request).await;
        if status != 200 {
            faults.push(format!("{name}: answered with {status}"));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
