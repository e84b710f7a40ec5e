//! Commands against scripted hosts: which host is asked, what is printed, which exit code.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::Parser;
use hickorychute_ctl as ctl;
use kernel::errors;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// What a scripted host does with every request.
#[derive(Clone, Debug)]
enum Script {
    /// Nothing listens at its address.
    Absent,
    /// Reads the request and hangs up.
    HangUp,
    /// Announces more bytes than it sends.
    Cut,
    /// Refuses with this kind.
    Refuse(errors::ErrorKind),
    /// Answers with this status, header lines and body.
    Answer(u16, &'static str, &'static str),
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
        if !matches!(script, Script::Absent) {
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
        Script::Absent | Script::HangUp => String::new(),
        Script::Cut => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf".to_owned(),
        Script::Refuse(kind) => {
            let error = errors::Error::new(*kind, "scripted");
            let body = serde_json::to_string(&api::ErrorBody::from(&error)).unwrap();
            http_text(kind.answer().http_status, "", &body)
        }
        Script::Answer(status, headers, body) => http_text(*status, headers, body),
    }
}

fn http_text(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} scripted\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Runs a command against hosts; returns the result and how often each was asked.
async fn run(scripts: &[Script], command: &[&str]) -> (errors::Result<ctl::Answer>, Vec<usize>) {
    let mut hosts = Vec::new();
    for script in scripts {
        hosts.push(Host::start(script.clone()).await);
    }
    let addresses: Vec<String> = hosts.iter().map(|host| host.address.to_string()).collect();
    let addresses = addresses.join(",");
    let mut line = vec!["hickoryctl", "--hosts", &addresses];
    line.extend(command);
    let result = ctl::run(ctl::args::Args::parse_from(line)).await;
    let asked = hosts
        .iter()
        .map(|host| host.requests.load(Ordering::Relaxed));
    (result, asked.collect())
}

struct Case {
    name: &'static str,
    scripts: Vec<Script>,
    command: &'static [&'static str],
    /// Exit code, which stands for the kind of the result.
    exit_code: u8,
    /// How often each host must be asked.
    asked: Vec<usize>,
}

const CALL: &[&str] = &["call", "bankbuch", "/quote"];
const CHARGE: &[&str] = &["call", "bankbuch", "/charge", "--key", "k1", "--data", "x"];
const JOB: &[&str] = &["job", "submit", "--team", "huber", "--key", "k2"];
const ACCEPTED_JOB: Script = Script::Answer(202, "", r#"{"job":"quotes"}"#);
const DONE: Script = Script::Answer(200, "x-outcome: done\r\n", "whole");
const NOT_FOUND_UPSTREAM: Script = Script::Answer(404, "x-outcome: done\r\n", "no such bench");

fn cases() -> Vec<Case> {
    let rounds = ctl::client::ROUNDS as usize;
    vec![
        Case {
            name: "the next host is asked if the first is away",
            scripts: vec![Script::Absent, DONE],
            command: CHARGE,
            exit_code: errors::EXIT_DONE,
            asked: vec![0, 1],
        },
        Case {
            name: "the next host is asked if the first says not run",
            scripts: vec![Script::Refuse(errors::ErrorKind::Draining), DONE],
            command: CHARGE,
            exit_code: errors::EXIT_DONE,
            asked: vec![1, 1],
        },
        Case {
            name: "a lost charge is not sent again",
            scripts: vec![Script::HangUp, DONE],
            command: CHARGE,
            exit_code: errors::EXIT_UNKNOWN,
            asked: vec![1, 0],
        },
        Case {
            name: "a cut answer is not passed as whole",
            scripts: vec![Script::Cut, DONE],
            command: CHARGE,
            exit_code: errors::EXIT_UNKNOWN,
            asked: vec![1, 0],
        },
        Case {
            name: "an unknown charge is not sent again",
            scripts: vec![Script::Refuse(errors::ErrorKind::AnswerLost), DONE],
            command: CHARGE,
            exit_code: errors::EXIT_UNKNOWN,
            asked: vec![1, 0],
        },
        Case {
            name: "a lost idempotent call is sent again",
            scripts: vec![Script::HangUp, DONE],
            command: CALL,
            exit_code: errors::EXIT_DONE,
            asked: vec![1, 1],
        },
        Case {
            name: "a final refusal is not retried",
            scripts: vec![Script::Refuse(errors::ErrorKind::BadRequest), DONE],
            command: CALL,
            exit_code: errors::EXIT_NOT_RUN,
            asked: vec![1, 0],
        },
        Case {
            name: "retries are bounded",
            scripts: vec![Script::Refuse(errors::ErrorKind::Overloaded)],
            command: CHARGE,
            exit_code: errors::EXIT_NOT_RUN,
            asked: vec![rounds],
        },
        Case {
            name: "a job goes to the next host under its key",
            scripts: vec![Script::HangUp, ACCEPTED_JOB],
            command: JOB,
            exit_code: errors::EXIT_DONE,
            asked: vec![1, 1],
        },
        Case {
            name: "a job that was lost once is unknown, whatever is said later",
            scripts: vec![Script::HangUp, Script::Refuse(errors::ErrorKind::Conflict)],
            command: JOB,
            exit_code: errors::EXIT_UNKNOWN,
            asked: vec![1, 1],
        },
        Case {
            name: "a service's own refusal is an answer",
            scripts: vec![NOT_FOUND_UPSTREAM, DONE],
            command: CALL,
            exit_code: errors::EXIT_FAILED,
            asked: vec![1, 0],
        },
    ]
}

#[tokio::test]
async fn requests_go_to_the_next_host_only_if_that_is_safe() {
    for case in cases() {
        let (result, asked) = run(&case.scripts, case.command).await;
        let exit_code = match &result {
            Ok(answer) => answer.exit_code,
            Err(error) => error.kind.answer().exit_code,
        };
        assert_eq!(exit_code, case.exit_code, "{}: {result:?}", case.name);
        assert_eq!(asked, case.asked, "{}", case.name);
    }
}

#[tokio::test]
async fn answers_are_printed_as_tables_and_as_json() {
    let status = r#"{"work":"quotes","waiting":1,"assigned":0,"running":2,"completed":3,
        "failed":0,"cancelled":0,"unknown":0}"#;
    let script = Script::Answer(200, "", status);
    let (table, _) = run(std::slice::from_ref(&script), &["job", "status", "quotes"]).await;
    let table = String::from_utf8(table.unwrap().text).unwrap();
    assert!(table.starts_with("JOB "), "{table}");
    assert_eq!(table.lines().count(), 2, "{table}");
    let (json, _) = run(&[script], &["job", "status", "quotes", "--output", "json"]).await;
    let json: api::JobStatus = serde_json::from_slice(&json.unwrap().text).unwrap();
    assert_eq!(json.running, 2);
}

#[test]
fn every_wrong_flag_is_named_at_once() {
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
async fn notes_are_checked_offline() {
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
        let (result, _) = run(&[Script::Absent], &["check", &path]).await;
        let seen = match &result {
            Ok(answer) => answer.exit_code,
            Err(error) => error.kind.answer().exit_code,
        };
        assert_eq!(seen, exit_code, "{path}: {result:?}");
    }
}

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
