//! What a host's HTTP port does with requests that are malformed, slow, too large or too many.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use kernel::errors::{ErrorKind, Outcome};
use support::{Cell, request, wait_until};

const LIMIT: Duration = Duration::from_secs(10);
const CONNECTIONS: usize = 16;
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

fn start() -> Cell {
    start_with_timeout("400")
}

fn start_with_timeout(request_timeout_ms: &str) -> Cell {
    let limits = ["--request-timeout-ms", request_timeout_ms];
    let extra = [limits.as_slice(), &["--connection-limit", "16"]].concat();
    Cell::start(&["muc-ost"], &extra)
}

/// Sends bytes on a connection of its own and reads until the host closes it.
fn send(address: &str, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("the host accepts");
    stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
    // The host may close before everything is written.
    let _ = stream.write_all(bytes);
    if end {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => answer.extend_from_slice(&chunk[..read]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("the host has not closed the connection in time")
            }
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// The value of a counter with a label, zero if it was never counted.
fn counter(address: &str, name: &str, label: &str) -> u64 {
    let page = request("GET", address, "/metrics", &[], b"").text();
    let line = page
        .lines()
        .find(|line| line.starts_with(name) && line.contains(label));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0)
}

struct BadCase {
    name: &'static str,
    bytes: Vec<u8>,
    /// Whether the sender closes its side.
    end: bool,
    /// Statuses with which the host may answer; with "", it may close without an answer.
    answers: &'static [&'static str],
    /// The reason under which the refusal is counted.
    reason: &'static str,
}

fn bad_cases() -> Vec<BadCase> {
    let head = |rest: &str| format!("POST /v1/call/any HTTP/1.1\r\nhost: a\r\n{rest}").into_bytes();
    let case = |name, bytes, end, answers, reason| BadCase {
        name,
        bytes,
        end,
        answers,
        reason,
    };
    let large_header = format!("x-large: {}\r\n\r\n", "a".repeat(200_000));
    let mut large_body = head("transfer-encoding: chunked\r\n\r\n1100000\r\n");
    large_body.resize(large_body.len() + BODY_LIMIT_BYTES + 1024 * 1024, b'a');
    let garbage: Vec<u8> = (0..4096_u32).map(|i| (i * 31 + 7) as u8).collect();
    let live = b"GET /live HTTP/1.1\r\nhost: a\r\n\r\n";
    vec![
        case("nothing at all", Vec::new(), false, &["", "408"], "idle"),
        case(
            "half a head",
            b"GET /live HT".to_vec(),
            false,
            &["", "408"],
            "idle",
        ),
        case(
            "garbage",
            garbage.clone(),
            false,
            &["", "400"],
            "connection",
        ),
        case(
            "a request and then garbage on the same connection",
            [live.as_slice(), &garbage].concat(),
            false,
            &["200"],
            "connection",
        ),
        case(
            "the preface of HTTP/2",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
            false,
            &["", "400", "505"],
            "connection",
        ),
        case(
            "large headers",
            head(&large_header),
            false,
            &["", "431"],
            "connection",
        ),
        case(
            "a length that is no number",
            head("content-length: many\r\n\r\n"),
            false,
            &["", "400"],
            "connection",
        ),
        case(
            "an announced body that never comes",
            head("content-length: 100\r\n\r\nabc"),
            false,
            &["400"],
            "slow_body",
        ),
        case(
            "a body that breaks off",
            head("content-length: 100\r\n\r\nabc"),
            true,
            &["", "400"],
            "broken_body",
        ),
        case(
            "an announced body that is too large",
            head("content-length: 1000000000\r\n\r\n"),
            false,
            &["413"],
            "large_body",
        ),
        case(
            "a body that grows too large",
            large_body,
            false,
            &["", "413"],
            "large_body",
        ),
    ]
}

#[test]
fn bad_requests_are_refused_and_counted_and_the_host_goes_on() {
    let cell = start();
    let address = &cell.hosts[0].http;
    for case in bad_cases() {
        let before = counter(
            address,
            "hickory_refusals_total",
            case.reason_label().as_str(),
        );
        let answer = send(address, &case.bytes, case.end);
        let status = answer.split_whitespace().nth(1).unwrap_or_default();
        assert!(case.answers.contains(&status), "{}: {answer}", case.name);
        wait_until(&format!("{} is counted", case.name), LIMIT, || {
            counter(
                address,
                "hickory_refusals_total",
                case.reason_label().as_str(),
            ) > before
        });
        let live = request("GET", address, "/live", &[], b"");
        assert_eq!(live.status, 200, "after {}", case.name);
    }
}

impl BadCase {
    fn reason_label(&self) -> String {
        format!("reason=\"{}\"", self.reason)
    }
}

#[test]
fn connections_above_the_limit_are_refused_until_others_end() {
    let cell = start();
    let address = &cell.hosts[0].http;
    let held: Vec<TcpStream> = (0..CONNECTIONS * 2)
        .map(|_| TcpStream::connect(address).expect("the system accepts"))
        .collect();
    wait_until("silent connections are closed", LIMIT, || {
        request("GET", address, "/live", &[], b"").status == 200
    });
    drop(held);
    let label = "reason=\"connections\"";
    assert!(counter(address, "hickory_refusals_total", label) >= CONNECTIONS as u64);
}

#[test]
fn bad_input_at_the_port_for_peers_is_counted_and_the_host_goes_on() {
    let cell = start();
    let host = &cell.hosts[0];
    for bytes in [
        [0xff; 64].as_slice(),
        b"GET /live HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 9, 1],
    ] {
        let before = counter(
            &host.http,
            "hickory_peer_refusals_total",
            "reason=\"input\"",
        );
        send(&host.peers, bytes, true);
        wait_until("the refusal is counted", LIMIT, || {
            counter(
                &host.http,
                "hickory_peer_refusals_total",
                "reason=\"input\"",
            ) > before
        });
        assert_eq!(request("GET", &host.http, "/ready", &[], b"").status, 200);
    }
}

#[test]
fn a_request_that_comes_byte_by_byte_is_not_waited_for() {
    const PAUSE: Duration = Duration::from_millis(20);
    let cell = start();
    let address = &cell.hosts[0].http;
    let head = "POST /v1/call/any HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n";
    for (name, sent_at_once) in [("a head", ""), ("a body", head)] {
        let mut stream = TcpStream::connect(address).expect("the host accepts");
        stream.write_all(sent_at_once.as_bytes()).expect("it takes");
        wait_until(&format!("{name} is given up"), LIMIT, || {
            std::thread::sleep(PAUSE);
            stream.write_all(b"a").is_err()
        });
        assert_eq!(request("GET", address, "/live", &[], b"").status, 200);
    }
}

#[test]
fn bodies_above_the_memory_of_the_host_are_refused_before_they_are_held() {
    const HELD_BYTES: usize = 15 * 1024 * 1024;
    let cell = start_with_timeout("20000");
    let address = &cell.hosts[0].http;
    let announced = BODY_LIMIT_BYTES;
    let head =
        format!("POST /v1/call/any HTTP/1.1\r\nhost: a\r\ncontent-length: {announced}\r\n\r\n");
    let held: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(address).expect("the host accepts");
            stream
                .write_all(head.as_bytes())
                .expect("it takes the head");
            stream
                .write_all(&vec![b'a'; HELD_BYTES])
                .expect("it takes the body");
            stream
        })
        .collect();
    let large = vec![b'a'; HELD_BYTES];
    wait_until("a third large body is refused", LIMIT, || {
        request("POST", address, "/v1/call/any", &[], &large);
        counter(address, "hickory_refusals_total", "reason=\"memory\"") > 0
    });
    let small = request("POST", address, "/v1/jobs", &[], b"{}");
    assert_eq!(small.status, 400, "{}", small.text());
    drop(held);
    wait_until("the memory is free again", LIMIT, || {
        let reply = request("POST", address, "/v1/call/any", &[], &large);
        reply.text().contains("no_upstream")
    });
}

struct RefusalCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    kind: ErrorKind,
}

const KEY: (&str, &str) = ("idempotency-key", "k");

const REFUSALS: &[RefusalCase] = &[
    RefusalCase {
        name: "an unknown path",
        method: "GET",
        path: "/v2/anything",
        headers: &[],
        body: "",
        kind: ErrorKind::NotFound,
    },
    RefusalCase {
        name: "a method that the path does not have",
        method: "PUT",
        path: "/v1/jobs",
        headers: &[],
        body: "",
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a task index that is no number",
        method: "GET",
        path: "/v1/tasks/plan/first",
        headers: &[],
        body: "",
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a deadline that is no number",
        method: "POST",
        path: "/v1/call/bankbuch",
        headers: &[("x-deadline-ms", "soon")],
        body: "",
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "an unknown urgency",
        method: "POST",
        path: "/v1/call/bankbuch",
        headers: &[("x-urgency", "now")],
        body: "",
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job without a key",
        method: "POST",
        path: "/v1/jobs",
        headers: &[],
        body: r#"{"team":"workshop","demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job that does not decode",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job larger than any worker",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","demand":{"cpu_milli":17000,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job that needs accelerators that no worker has",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","demand":{"cpu_milli":1,"memory_mb":1,"accelerators":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a gang job larger than its team's quota",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","kind":"gang_job","tasks":20,"demand":{"cpu_milli":1000,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job of a team without a quota",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"strangers","demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job for a zone that does not exist",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","zones":["moon"],"demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job that runs for years",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":99999999999999}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job without memory",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"team":"workshop","demand":{"cpu_milli":100},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job with a name that no path can hold",
        method: "POST",
        path: "/v1/jobs",
        headers: &[KEY],
        body: r#"{"name":"a/b","team":"workshop","demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
    RefusalCase {
        name: "a job with a key that makes no name",
        method: "POST",
        path: "/v1/jobs",
        headers: &[("idempotency-key", "a/b c")],
        body: r#"{"team":"workshop","demand":{"cpu_milli":100,"memory_mb":1},"run_time_ms":1}"#,
        kind: ErrorKind::BadRequest,
    },
];

const QUOTA: &str = r#"
[[added.quota]]
team = "workshop"
cpu_milli = 18_000
memory_mb = 64_000
"#;

#[test]
fn refusals_carry_their_kind_and_say_that_nothing_ran() {
    let cell = start();
    let reply = cell.submit(0, "quota", QUOTA);
    assert_eq!(reply.status, 200, "{}", reply.text());
    let address = &cell.hosts[0].http;
    for case in REFUSALS {
        let reply = request(
            case.method,
            address,
            case.path,
            case.headers,
            case.body.as_bytes(),
        );
        let error: api::ErrorBody = serde_json::from_slice(&reply.body)
            .unwrap_or_else(|error| panic!("{}: {error}: {}", case.name, reply.text()));
        assert_eq!(error.kind, case.kind, "{}: {}", case.name, error.detail);
        assert_eq!(error.outcome, Outcome::NotRun, "{}", case.name);
        assert_eq!(reply.outcome, "not_run", "{}", case.name);
        assert_eq!(
            reply.status,
            case.kind.answer().http_status,
            "{}",
            case.name
        );
    }
    let fits = br#"{"team":"workshop","demand":{"cpu_milli":1000,"memory_mb":64},"run_time_ms":1}"#;
    // The shards are taken over within a moment of the start.
    wait_until("a job that fits is accepted", LIMIT, || {
        request("POST", address, "/v1/jobs", &[KEY], fits).status == 202
    });
}
