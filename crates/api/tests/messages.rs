//! Required, optional and rejected fields of the API's bodies, and its paths.

use hickorychute_api as api;
use kernel::errors;
use kernel::ids;
use kernel::work;

struct Case {
    name: &'static str,
    json: &'static str,
    accepted: bool,
}

#[test]
fn invalid_job_requests_are_rejected() {
    let cases = [
        Case {
            name: "required fields only",
            json: r#"{"team":"huber","demand":{"cpu_milli":500},"run_time_ms":1000}"#,
            accepted: true,
        },
        Case {
            name: "an unknown field",
            json: r#"{"team":"huber","demand":{},"run_time_ms":1000,"taks":3}"#,
            accepted: false,
        },
        Case {
            name: "a service",
            json: r#"{"team":"huber","demand":{},"run_time_ms":1000,"kind":"service"}"#,
            accepted: false,
        },
        Case {
            name: "a negative size",
            json: r#"{"team":"huber","demand":{"memory_mb":-1},"run_time_ms":1000}"#,
            accepted: false,
        },
    ];
    for case in cases {
        let parsed = serde_json::from_str::<api::JobRequest>(case.json);
        assert_eq!(parsed.is_ok(), case.accepted, "{}", case.name);
    }
}

#[test]
fn job_requests_convert_to_work() {
    let json = r#"{"team":"huber","kind":"gang_job","tasks":4,"demand":{"cpu_milli":500},"run_time_ms":1000}"#;
    let request: api::JobRequest = serde_json::from_str(json).unwrap();
    let work = request.into_work(ids::WorkId::new("audit"));
    assert_eq!(work.kind, work::WorkKind::GangJob);
    assert_eq!(work.tasks, 4);
    assert_eq!(work.max_attempts, api::DEFAULT_MAX_ATTEMPTS);
    assert_eq!(work.run_time_ms, Some(1000));
}

#[test]
fn error_bodies_preserve_kind_and_outcome() {
    for kind in errors::ErrorKind::ALL {
        let body = api::ErrorBody::from(&errors::Error::new(kind, "detail"));
        let json = serde_json::to_string(&body).unwrap();
        let read: api::ErrorBody = serde_json::from_str(&json).unwrap();
        assert_eq!(read.outcome, kind.answer().outcome);
        assert_eq!(errors::Error::from(read).kind, kind);
    }
}

#[test]
fn call_paths_match_the_routes() {
    let service = ids::WorkId::new("bankbuch");
    let cases = [
        ("", "/v1/call/bankbuch"),
        ("/", "/v1/call/bankbuch"),
        ("book", "/v1/call/bankbuch/book"),
        ("/book/1?day=2", "/v1/call/bankbuch/book/1?day=2"),
    ];
    for (path, expected) in cases {
        assert_eq!(api::paths::call(&service, path), expected);
    }
}
