//! Decisions about the connections of a port, without a network.

use std::rc::Rc;

use adapter::settings::{self, Settings};
use cell::config::Config;
use hickorychute_entry::{
    client_limits::{
        self, Admission, Connections, Phase, PortLimits, Reason, Reports, SLOW_LARGE_MS, SLOW_MS,
        SMALL_BYTES, Shed, Timeouts,
    },
    ports::{Port, Protocol},
};

/// Settings with these additional lines.
fn settings_with(lines: &str) -> Settings {
    let text = format!(
        "node=a\nzone=a\nip=127.0.0.1\nport_range=1,2\nlisten.front=127.0.0.1:1\n\
         listen.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\n{lines}"
    );
    settings::parse(&text).expect("the settings are complete")
}

/// A port for calls from other hosts, with the default limits.
pub fn peer_port() -> Rc<Port> {
    let limits = client_limits::peers(&settings_with(""));
    Port::new("peers", Protocol::Frames, limits, Rc::default())
}

const KIB: usize = 1 << 10;

/// Limits of a port: 4 connections of 1 KiB, and 100 KiB for all.
fn limits() -> PortLimits {
    PortLimits {
        max_connections: 4,
        memory_bytes: 100 * KIB,
        connection_bytes: KIB,
        header_bytes: 16_384,
        timeouts: Timeouts {
            head_ms: 3_000,
            first_request_ms: 10_000,
            idle_ms: Some(15_000),
        },
        body_window_ms: 5_000,
        body_window_bytes: KIB,
        max_body_ms: 30_000,
        write_timeout_ms: 5_000,
    }
}

/// A connection at the begin of a case.
#[derive(Clone, Copy, Debug)]
struct Known {
    phase: Phase,
    bytes: usize,
    /// When it entered the phase and got its last byte, in milliseconds.
    at_ms: u64,
    served: bool,
}

const fn known(phase: Phase, bytes: usize, at_ms: u64, served: bool) -> Known {
    Known {
        phase,
        bytes,
        at_ms,
        served,
    }
}

/// A port with these connections; the first has identifier 1.
fn port(of: &[Known]) -> Connections {
    let mut connections = Connections::new(limits(), 0);
    for known in of {
        let (id, shed) = connections.open(0);
        let id = id.expect("the port has a place");
        assert!(shed.is_empty(), "{shed:?}");
        if known.served {
            connections.enter(id, Phase::Idle, 0);
        }
        if known.phase != Phase::Idle || known.served {
            connections.enter(id, known.phase, known.at_ms);
        }
        assert!(connections.reserve(id, known.bytes, known.at_ms).granted);
    }
    connections
}

/// Guards against a crowd of idle or stalled connections that keeps ordinary clients out, and against
/// cutting off requests that are handled.
#[test]
fn a_new_connection_replaces_the_one_that_needs_its_place_least() {
    struct Case {
        name: &'static str,
        known: [Known; 4],
        shed: Option<u64>,
        admitted: bool,
    }
    let handled = known(Phase::Handling, KIB, 0, true);
    let cases = [
        Case {
            name: "the longest idle one",
            known: [
                handled,
                known(Phase::Idle, 0, 900, true),
                known(Phase::Idle, 0, 100, true),
                handled,
            ],
            shed: Some(3),
            admitted: true,
        },
        Case {
            name: "one without any request before a longer idle one",
            known: [
                known(Phase::Idle, 0, 0, true),
                known(Phase::Idle, 0, 0, false),
                handled,
                handled,
            ],
            shed: Some(2),
            admitted: true,
        },
        Case {
            name: "an unfinished head without progress",
            known: [known(Phase::Head, 0, 100, false), handled, handled, handled],
            shed: Some(1),
            admitted: true,
        },
        Case {
            name: "none that is handled or makes progress",
            known: [
                handled,
                known(Phase::Body, KIB, 900, false),
                handled,
                known(Phase::Head, 0, 900, false),
            ],
            shed: None,
            admitted: false,
        },
    ];
    for case in cases {
        let mut connections = port(&case.known);
        let (id, shed) = connections.open(1_000);
        assert_eq!(id.is_some(), case.admitted, "{}", case.name);
        let ids: Vec<u64> = shed.iter().map(|shed| shed.id).collect();
        assert_eq!(ids, Vec::from_iter(case.shed), "{}", case.name);
    }
}

/// Guards against a crowd that keeps its places by sending a little at a time, and against ordinary
/// clients that lose theirs to it.
#[test]
fn an_unfinished_request_gives_way_by_its_age() {
    struct Case {
        name: &'static str,
        known: [Known; 4],
        now_ms: u64,
        admission: Admission,
        shed: Option<u64>,
    }
    let handled = known(Phase::Handling, KIB, 0, true);
    let moving = |phase, at_ms, served| known(phase, 0, at_ms, served);
    let cases = [
        Case {
            name: "a body that moves, by age",
            known: [
                handled,
                moving(Phase::Body, 20, false),
                moving(Phase::Body, 10, false),
                handled,
            ],
            now_ms: 10 + SLOW_MS,
            admission: Admission::Open,
            shed: Some(3),
        },
        Case {
            name: "a head that moves",
            known: [handled, moving(Phase::Head, 10, false), handled, handled],
            now_ms: 10 + SLOW_MS,
            admission: Admission::Open,
            shed: Some(2),
        },
        Case {
            name: "before a client that waits between two requests",
            known: [
                moving(Phase::Idle, 0, true),
                moving(Phase::Body, 100, false),
                handled,
                handled,
            ],
            now_ms: 100 + SLOW_MS,
            admission: Admission::Open,
            shed: Some(2),
        },
        Case {
            name: "new requests have time to arrive",
            known: [
                moving(Phase::Body, 20, false),
                moving(Phase::Head, 30, false),
                handled,
                handled,
            ],
            now_ms: 19 + SLOW_MS,
            admission: Admission::Full,
            shed: None,
        },
        Case {
            name: "new connections have time to send their first bytes",
            known: [
                moving(Phase::Idle, 0, false),
                moving(Phase::Body, 0, false),
                handled,
                handled,
            ],
            now_ms: SLOW_MS - 1,
            admission: Admission::Full,
            shed: None,
        },
        Case {
            name: "none gives way soon",
            known: [handled; 4],
            now_ms: 10_000,
            admission: Admission::Busy,
            shed: None,
        },
    ];
    for case in cases {
        let mut connections = port(&case.known);
        for (id, known) in (1..).zip(case.known) {
            if known.phase != Phase::Idle {
                connections.progress(id, 1, case.now_ms);
            }
        }
        let admission = connections.admission(case.now_ms);
        assert_eq!(admission, case.admission, "{}", case.name);
        let (id, shed) = connections.open(case.now_ms);
        assert_eq!(id.is_some(), case.shed.is_some(), "{}", case.name);
        let ids: Vec<u64> = shed.iter().map(|shed| shed.id).collect();
        assert_eq!(ids, Vec::from_iter(case.shed), "{}", case.name);
    }
}

/// Guards against slow bodies that keep large requests out.
#[test]
fn a_large_request_takes_memory_from_a_slow_one() {
    let mut connections = port(&[
        known(Phase::Body, 60 * KIB, 0, false),
        known(Phase::Body, 0, 0, false),
    ]);
    connections.progress(1, 1, SLOW_LARGE_MS);
    let verdict = connections.reserve(2, 60 * KIB, SLOW_LARGE_MS - 1);
    assert!(!verdict.granted, "the other one is not slow yet");
    let verdict = connections.reserve(2, 60 * KIB, SLOW_LARGE_MS);
    assert!(verdict.granted, "{verdict:?}");
    assert_eq!(verdict.shed.first().map(|shed| shed.id), Some(1));
}

/// Guards against large unfinished bodies that keep small requests out, and against large bodies that
/// take memory from each other so that none is completed.
#[test]
fn memory_goes_to_small_requests_and_to_those_that_make_progress() {
    struct Case {
        name: &'static str,
        others: [Known; 2],
        bytes: usize,
        granted: bool,
        shed: Option<u64>,
    }
    let large = |at_ms| known(Phase::Body, 45 * KIB, at_ms, false);
    let cases = [
        Case {
            name: "there is room",
            others: [large(900), known(Phase::Body, KIB, 900, false)],
            bytes: 30 * KIB,
            granted: true,
            shed: None,
        },
        Case {
            name: "a small one takes it from the largest",
            others: [large(900), known(Phase::Body, 50 * KIB, 900, false)],
            bytes: SMALL_BYTES,
            granted: true,
            shed: Some(2),
        },
        Case {
            name: "a small one takes it from one without progress first",
            others: [large(100), known(Phase::Body, 50 * KIB, 900, false)],
            bytes: SMALL_BYTES,
            granted: true,
            shed: Some(1),
        },
        Case {
            name: "a large one waits for no one that makes progress",
            others: [large(900), large(900)],
            bytes: SMALL_BYTES + 1,
            granted: false,
            shed: None,
        },
        Case {
            name: "a large one takes it from one without progress",
            others: [large(900), large(400)],
            bytes: 40 * KIB,
            granted: true,
            shed: Some(2),
        },
        Case {
            name: "handled requests keep theirs",
            others: [
                known(Phase::Handling, 45 * KIB, 0, false),
                known(Phase::Handling, 45 * KIB, 0, false),
            ],
            bytes: SMALL_BYTES,
            granted: false,
            shed: None,
        },
    ];
    for case in cases {
        let asking = known(Phase::Body, 0, 1_000, false);
        let mut connections = port(&[case.others[0], case.others[1], asking]);
        let verdict = connections.reserve(3, case.bytes, 1_000);
        assert_eq!(verdict.granted, case.granted, "{}", case.name);
        let expected = case.shed.map(|id| Shed {
            id,
            reason: Reason::Memory,
            phase: Phase::Body,
        });
        assert_eq!(verdict.shed, Vec::from_iter(expected), "{}", case.name);
        assert!(connections.used_bytes() <= 100 * KIB, "{}", case.name);
    }
}

/// Guards against connections that are kept open without use, and against cutting off slow clients
/// that keep sending.
#[test]
fn time_limits_follow_the_phase() {
    struct Case {
        name: &'static str,
        known: Known,
        /// Payload that arrives at intervals: bytes, and the interval in milliseconds.
        arrives: Option<(usize, u64)>,
        is_blocked: bool,
        /// When the connection is shed, within 250 ms, and why.
        shed: Option<(u64, Reason)>,
    }
    let silent = |name, known, shed| Case {
        name,
        known,
        arrives: None,
        is_blocked: false,
        shed,
    };
    let body = known(Phase::Body, KIB, 0, false);
    let cases = [
        silent(
            "nothing on a new connection",
            known(Phase::Idle, 0, 0, false),
            Some((10_000, Reason::Idle)),
        ),
        silent(
            "no further request",
            known(Phase::Idle, 0, 0, true),
            Some((15_000, Reason::Idle)),
        ),
        silent(
            "no end of the head",
            known(Phase::Head, 0, 0, false),
            Some((3_000, Reason::SlowHead)),
        ),
        silent("no more of the body", body, Some((5_000, Reason::SlowBody))),
        silent("handled", known(Phase::Handling, KIB, 0, false), None),
        Case {
            name: "less than the lowest rate",
            known: body,
            arrives: Some((100, 1_000)),
            is_blocked: false,
            shed: Some((5_000, Reason::SlowBody)),
        },
        Case {
            name: "the lowest rate, until the longest deadline",
            known: body,
            arrives: Some((210, 1_000)),
            is_blocked: false,
            shed: Some((30_000, Reason::SlowBody)),
        },
        Case {
            name: "the head counts as a whole",
            known: known(Phase::Head, 0, 0, false),
            arrives: Some((1_024, 500)),
            is_blocked: false,
            shed: Some((3_000, Reason::SlowHead)),
        },
        Case {
            name: "the response is not read",
            known: known(Phase::Idle, 0, 0, true),
            arrives: None,
            is_blocked: true,
            shed: Some((5_000, Reason::Unread)),
        },
    ];
    for case in cases {
        let mut connections = port(&[case.known]);
        connections.set_blocked(1, case.is_blocked, 0);
        let mut found = None;
        for now_ms in (250..40_000).step_by(250) {
            if let Some((bytes, interval_ms)) = case.arrives
                && now_ms % interval_ms == 0
            {
                connections.progress(1, bytes, now_ms);
            }
            if let Some(shed) = connections.expired(now_ms).first() {
                found = Some((now_ms - 250, shed.reason));
                break;
            }
        }
        assert_eq!(found, case.shed, "{}", case.name);
    }
}

/// Guards against closing all connections after the process was suspended: what clients sent meanwhile
/// is still unread.
#[test]
fn a_suspension_of_the_process_counts_for_no_time_limit() {
    let mut connections = port(&[
        known(Phase::Idle, 0, 0, true),
        known(Phase::Body, KIB, 0, false),
        known(Phase::Head, 0, 0, false),
    ]);
    assert_eq!(connections.expired(250), []);
    assert_eq!(connections.expired(60_000), []);
    assert_eq!(connections.expired(60_250), []);
}

/// Guards against a connection that goes on after it was told to close: its refusal would be untrue.
#[test]
fn a_connection_that_was_shed_gets_nothing_more() {
    let mut connections = port(&[
        known(Phase::Body, 90 * KIB, 0, false),
        known(Phase::Body, 0, 900, false),
    ]);
    assert!(connections.reserve(2, SMALL_BYTES, 1_000).granted);
    connections.enter(1, Phase::Handling, 1_000);
    assert_eq!(connections.phase(1), Some(Phase::Closing));
    assert!(!connections.reserve(1, 0, 1_000).granted);
    let used_bytes = connections.used_bytes();
    connections.close(1);
    assert_eq!(connections.used_bytes(), used_bytes - KIB);
    connections.close(2);
    assert_eq!(connections.used_bytes(), 0);
}

/// Guards against limits that ordinary clients and hosts reach, and against a machine too small for
/// them.
#[test]
fn limits_follow_settings_and_configuration() {
    struct Case {
        name: &'static str,
        lines: &'static str,
        /// Maximum connections of clients and of hosts.
        connections: (usize, usize),
        memory_mib: (usize, usize),
    }
    let cases = [
        Case {
            name: "nothing set",
            lines: "",
            connections: (974, 974),
            memory_mib: (102, 51),
        },
        Case {
            name: "the smallest hosts",
            lines: "limits.memory_mb=120\nlimits.max_fds=4096\n",
            connections: (512, 614),
            memory_mib: (24, 12),
        },
        Case {
            name: "few descriptors",
            lines: "limits.memory_mb=512\nlimits.max_fds=1024\n",
            connections: (206, 206),
            memory_mib: (102, 51),
        },
        Case {
            name: "less than any machine has",
            lines: "limits.memory_mb=1\nlimits.max_fds=100\n",
            connections: (16, 16),
            memory_mib: (0, 0),
        },
    ];
    for case in cases {
        let settings = settings_with(case.lines);
        let clients = client_limits::clients(&settings, None);
        let peers = client_limits::peers(&settings);
        assert_eq!(
            (clients.max_connections, peers.max_connections),
            case.connections,
            "{}",
            case.name
        );
        assert_eq!(
            (clients.memory_bytes >> 20, peers.memory_bytes >> 20),
            case.memory_mib,
            "{}",
            case.name
        );
        let config = Config {
            max_header_bytes: 20_000,
            header_timeout_ms: 2_000,
            idle_timeout_ms: 7_000,
            ..Config::default()
        };
        let configured = client_limits::clients(&settings, Some(&config));
        assert_eq!(configured.header_bytes, 20_000, "{}", case.name);
        assert_eq!(configured.timeouts.head_ms, 2_000, "{}", case.name);
        assert_eq!(configured.timeouts.idle_ms, Some(7_000), "{}", case.name);
        assert_eq!(peers.timeouts.idle_ms, None, "{}", case.name);
    }
}

/// Guards against a crowd that fills the log.
#[test]
fn at_most_one_line_a_second_is_logged_for_each_reason() {
    let mut reports = Reports::default();
    assert_eq!(reports.count(Reason::Memory, 0), Some(1));
    assert_eq!(reports.count(Reason::Memory, 10), None);
    assert_eq!(reports.count(Reason::Idle, 10), Some(1));
    assert_eq!(reports.count(Reason::Memory, 900), None);
    assert_eq!(reports.due(999), []);
    assert_eq!(reports.due(1_000), [(Reason::Memory, 2)]);
    assert_eq!(reports.due(3_000), []);
}

/// Guards against complete requests that leave no memory to small ones.
#[test]
fn complete_large_requests_leave_memory_to_small_ones() {
    let mut connections = port(&[
        known(Phase::Handling, 80 * KIB, 0, false),
        known(Phase::Handling, 0, 0, false),
        known(Phase::Handling, 0, 0, false),
    ]);
    assert!(!connections.reserve_handling(2, SMALL_BYTES + 1, 0).granted);
    assert!(connections.reserve_handling(3, SMALL_BYTES, 0).granted);
    let mut connections = port(&[
        known(Phase::Handling, 85 * KIB, 0, false),
        known(Phase::Body, 10 * KIB, 0, false),
        known(Phase::Handling, 0, 0, false),
    ]);
    let verdict = connections.reserve_handling(3, 4 * KIB, 1);
    assert!(
        verdict.granted,
        "a complete request comes before an unfinished one"
    );
    assert_eq!(verdict.shed.first().map(|shed| shed.id), Some(2));
}
