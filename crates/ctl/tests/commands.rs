//! Commands against scripted hosts: failover, output and exit codes.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::Parser;
use hickorychute_ctl as ctl;
use kernel::errors;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Behaviour of a scripted host for every request.
#[derive(Clone, Debug)]
enum Script {
    /// Nothing listens on the host's address.
    NotListening,
    /// Reads the request and closes the connection without a response.
    CloseConnection,
    /// Sends fewer bytes than `content-length` announces.
    Truncate,
    /// Returns an error of this kind.
    ReturnError(errors::ErrorKind),
    /// Returns this status, header lines and body.
    Respond(u16, &'static str, &'static str),
}

struct Host {
    address: net::SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Host {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        if !matches!(script, Script::NotListening) {
            tokio::spawn(serve(listener, script, Arc::clone(&requests)));
        }
        Self { address, requests }
    }
}

async fn serve(listener: TcpListener, script: Script, requests: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await;
        requests.fetch_add(1, Ordering::Relaxed);
        let _ = stream.write_all(response(&script).as_bytes()).await;
    }
}

fn response(script: &Script) -> String {
    match script {
        Script::NotListening | Script::CloseConnection => String::new(),
        Script::Truncate => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
        Script::ReturnError(kind) => {
            let error = errors::Error::new(*kind, "scripted");
            let body = serde_json::to_string(&api::ErrorBody::from(&error)).unwrap();
            http_text(kind.answer().http_status, "", &body)
        }
        Script::Respond(status, headers, body) => http_text(*status, headers, body),
    }
}

fn http_text(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} scripted\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Runs a command against scripted hosts; returns the result and the number of requests to each host.
async fn run(
    scripts: &[Script],
    command: &[&str],
) -> (errors::Result<ctl::CommandOutput>, Vec<usize>) {
    let mut hosts = Vec::new();
    for script in scripts {
        hosts.push(Host::start(script.clone()).await);
    }
    let addresses: Vec<String> = hosts.iter().map(|host| host.address.to_string()).collect();
    let addresses = addresses.join(",");
    let mut line = vec!["hickoryctl", "--hosts", &addresses];
    line.extend(command);
    let result = ctl::run(ctl::args::Args::parse_from(line)).await;
    let request_counts = hosts
        .iter()
        .map(|host| host.requests.load(Ordering::Relaxed));
    (result, request_counts.collect())
}

struct Case {
    name: &'static str,
    scripts: Vec<Script>,
    command: &'static [&'static str],
    /// Expected exit code, which identifies the kind of the result.
    exit_code: u8,
    /// Expected number of requests to each host.
    request_counts: Vec<usize>,
}

const CALL: &[&str] = &["call", "bankbuch", "/quote"];
const KEYED_CALL: &[&str] = &["call", "bankbuch", "/charge", "--key", "k1", "--data", "x"];
const JOB: &[&str] = &["job", "submit", "--team", "huber", "--key", "k2"];
const ACCEPTED_JOB: Script = Script::Respond(202, "", r#"{"job":"quotes"}"#);
const DONE: Script = Script::Respond(200, "x-outcome: done\r\n", "whole");
const NOT_FOUND_UPSTREAM: Script = Script::Respond(404, "x-outcome: done\r\n", "no such bench");

fn cases() -> Vec<Case> {
    let max_attempts = ctl::client::MAX_ATTEMPTS_PER_HOST as usize;
    vec![
        Case {
            name: "a request fails over if the first host refuses the connection",
            scripts: vec![Script::NotListening, DONE],
            command: KEYED_CALL,
            exit_code: errors::EXIT_DONE,
            request_counts: vec![0, 1],
        },
        Case {
            name: "a request fails over if the first host reports that it did not run",
            scripts: vec![Script::ReturnError(errors::ErrorKind::Draining), DONE],
            command: KEYED_CALL,
            exit_code: errors::EXIT_DONE,
            request_counts: vec![1, 1],
        },
        Case {
            name: "a non-idempotent call is not resent after a lost response",
            scripts: vec![Script::CloseConnection, DONE],
            command: KEYED_CALL,
            exit_code: errors::EXIT_UNKNOWN,
            request_counts: vec![1, 0],
        },
        Case {
            name: "a truncated response is not reported as complete",
            scripts: vec![Script::Truncate, DONE],
            command: KEYED_CALL,
            exit_code: errors::EXIT_UNKNOWN,
            request_counts: vec![1, 0],
        },
        Case {
            name: "a non-idempotent call is not resent after an unknown outcome",
            scripts: vec![Script::ReturnError(errors::ErrorKind::AnswerLost), DONE],
            command: KEYED_CALL,
            exit_code: errors::EXIT_UNKNOWN,
            request_counts: vec![1, 0],
        },
        Case {
            name: "an idempotent call is resent after a lost response",
            scripts: vec![Script::CloseConnection, DONE],
            command: CALL,
            exit_code: errors::EXIT_DONE,
            request_counts: vec![1, 1],
        },
        Case {
            name: "a non-retryable error is not retried",
            scripts: vec![Script::ReturnError(errors::ErrorKind::BadRequest), DONE],
            command: CALL,
            exit_code: errors::EXIT_NOT_RUN,
            request_counts: vec![1, 0],
        },
        Case {
            name: "retries are bounded",
            scripts: vec![Script::ReturnError(errors::ErrorKind::Overloaded)],
            command: KEYED_CALL,
            exit_code: errors::EXIT_NOT_RUN,
            request_counts: vec![max_attempts],
        },
        Case {
            name: "a job submission fails over under its idempotency key",
            scripts: vec![Script::CloseConnection, ACCEPTED_JOB],
            command: JOB,
            exit_code: errors::EXIT_DONE,
            request_counts: vec![1, 1],
        },
        Case {
            name: "a job submission with a lost response stays unknown after a later error",
            scripts: vec![
                Script::CloseConnection,
                Script::ReturnError(errors::ErrorKind::Conflict),
            ],
            command: JOB,
            exit_code: errors::EXIT_UNKNOWN,
            request_counts: vec![1, 1],
        },
        Case {
            name: "an error response of the service itself is returned as its response",
            scripts: vec![NOT_FOUND_UPSTREAM, DONE],
            command: CALL,
            exit_code: errors::EXIT_FAILED,
            request_counts: vec![1, 0],
        },
    ]
}

#[tokio::test]
async fn requests_fail_over_only_if_a_retry_is_safe() {
    for case in cases() {
        let (result, request_counts) = run(&case.scripts, case.command).await;
        let exit_code = match &result {
            Ok(output) => output.exit_code,
            Err(error) => error.kind.answer().exit_code,
        };
        assert_eq!(exit_code, case.exit_code, "{}: {result:?}", case.name);
        assert_eq!(request_counts, case.request_counts, "{}", case.name);
    }
}

#[tokio::test]
async fn results_are_printed_as_tables_and_as_json() {
    let status = r#"{"work":"quotes","waiting":1,"assigned":0,"running":2,"completed":3,
        "failed":0,"cancelled":0,"unknown":0}"#;
    let script = Script::Respond(200, "", status);
    let (table, _) = run(std::slice::from_ref(&script), &["job", "status", "quotes"]).await;
    let table = String::from_utf8(table.unwrap().stdout).unwrap();
    assert!(table.starts_with("JOB "), "{table}");
    assert_eq!(table.lines().count(), 2, "{table}");
    let (json, _) = run(&[script], &["job", "status", "quotes", "--output", "json"]).await;
    let json: api::JobStatus = serde_json::from_slice(&json.unwrap().stdout).unwrap();
    assert_eq!(json.running, 2);
}

#[test]
fn all_invalid_flags_are_reported_together() {
    let line = [
        "hickoryctl",
        "job",
        "submit",
        "--hosts",
        "here",
        "--output",
        "xml",
        "--timeout-ms",
        "0",
        "--tasks",
        "none",
        "--kind",
        "service",
        "--urgency",
        "now",
        "--memory-mb",
        "much",
        "--zones",
        "muc-ost,Ros",
    ];
    let args = ctl::args::Args::try_parse_from(line);
    let error = ctl::plan::plan(args.unwrap()).unwrap_err();
    assert_eq!(error.kind, errors::ErrorKind::Usage);
    let flags = [
        "--hosts (HICKORY_HOSTS)",
        "--output (HICKORY_OUTPUT)",
        "--timeout-ms (HICKORY_TIMEOUT_MS)",
        "--team",
        "--tasks",
        "--kind",
        "--urgency",
        "--memory-mb",
        "--zones",
    ];
    for flag in flags {
        assert!(error.detail.contains(flag), "{flag} in {}", error.detail);
    }
    assert_eq!(
        error.detail.lines().count(),
        flags.len(),
        "{}",
        error.detail
    );
}

#[tokio::test]
async fn release_notes_are_validated_offline() {
    let directory = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &str| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let quota = "[[added.quota]]\nteam = \"huber\"\ncpu_milli = 1\nmemory_mb = 1\n";
    let cases = [
        (write("good.toml", quota), errors::EXIT_DONE),
        (write("bad.toml", "[[added.quota]]\n"), errors::EXIT_NOT_RUN),
        (
            write("large.toml", &"#".repeat(10_000_000)),
            errors::EXIT_NOT_RUN,
        ),
        ("examples/absent.toml".to_owned(), errors::EXIT_USAGE),
        (format!("{EXAMPLES}/huber.toml"), errors::EXIT_DONE),
        (format!("{EXAMPLES}/association.toml"), errors::EXIT_DONE),
    ];
    for (path, exit_code) in cases {
        let (result, _) = run(&[Script::NotListening], &["check", &path]).await;
        let actual = match &result {
            Ok(output) => output.exit_code,
            Err(error) => error.kind.answer().exit_code,
        };
        assert_eq!(actual, exit_code, "{path}: {result:?}");
    }
}

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
