//! Check of a configuration before it is sent.

mod compare;

use std::rc::Rc;

use hickorychute_cell::{
    config::{AdviceCost, Config, Queue, Service, Tenant},
    config_check::{self, Entry, Field, Finding, Names, Severity},
    credentials::KeyDigest,
    workers::Resources,
};
use indexmap::IndexMap;

use Field::{
    AdviceCall, AdvicePerWorker, AdviceValidity, CriticalPathFactor, Host, Keys, LimitCpu,
    LimitMemory, PathPrefix,
};
use Severity::{Error, Note, Warning};

fn queue(name: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        critical_path_factor: 2.0,
        base_objective_ms: 600,
        advice: Some(AdviceCost {
            call_ms: 360.0,
            per_worker_ms: 5.0,
            valid_ms: 2_500,
        }),
        public: false,
    }
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.into(),
        key_digests: vec![KeyDigest::of(&format!("{name}-1"))],
        jobs_per_s: 10.0,
        limit: Resources {
            cpu_millicores: 100,
            memory_mb: 16,
            gpus: 0,
        },
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        workers_enforce_capacity: false,
    }
}

/// A configuration without findings.
fn clean() -> Config {
    let mut config = Config {
        version: 7,
        tenants: Some(IndexMap::default()),
        max_body_bytes: 5_000,
        max_header_bytes: 16_384,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 3_000,
        ..Config::default()
    };
    put_queue(&mut config, queue("a"));
    put_queue(&mut config, queue("b"));
    put_tenant(&mut config, tenant("t"));
    put_tenant(&mut config, tenant("u"));
    put_service(&mut config, service("pool"));
    config
}

fn put_queue(config: &mut Config, queue: Queue) {
    config.queues.insert(Rc::clone(&queue.name), Rc::new(queue));
}

fn put_service(config: &mut Config, service: Service) {
    config.services.insert(Rc::clone(&service.name), service);
}

fn put_tenant(config: &mut Config, tenant: Tenant) {
    let tenants = config.tenants.get_or_insert_default();
    tenants.insert(Rc::clone(&tenant.name), Rc::new(tenant));
}

/// Changes queue `b`.
fn change_queue(config: &mut Config, change: impl FnOnce(&mut Queue)) {
    change(Rc::make_mut(&mut config.queues["b"]));
}

/// Changes tenant `u`.
fn change_tenant(config: &mut Config, change: impl FnOnce(&mut Tenant)) {
    let tenants = config.tenants.as_mut().expect("there are tenants");
    change(Rc::make_mut(&mut tenants["u"]));
}

fn change_advice(config: &mut Config, change: impl FnOnce(&mut AdviceCost)) {
    change_queue(config, |queue| {
        change(queue.advice.as_mut().expect("the queue needs advice"));
    });
}

fn names(config: &Config) -> Names {
    let tenants = config.tenants.iter().flat_map(|tenants| tenants.keys());
    Names {
        queues: config.queues.keys().cloned().collect(),
        services: config.services.keys().cloned().collect(),
        tenants: tenants.cloned().collect(),
    }
}

type Summary = (Severity, Entry, Option<Field>);

fn summaries(findings: &[Finding]) -> Vec<Summary> {
    let summary = |finding: &Finding| (finding.severity, finding.entry.clone(), finding.field);
    findings.iter().map(summary).collect()
}

fn of_queue(severity: Severity, field: impl Into<Option<Field>>) -> Summary {
    (severity, Entry::Queue("b".into()), field.into())
}

fn of_tenant(severity: Severity, field: impl Into<Option<Field>>) -> Summary {
    (severity, Entry::Tenant("u".into()), field.into())
}

fn of_limits(severity: Severity, field: Field) -> Summary {
    (severity, Entry::Limits, Some(field))
}

struct Case {
    name: &'static str,
    change: fn(&mut Config),
    findings: Vec<Summary>,
}

fn case(name: &'static str, change: fn(&mut Config), findings: Vec<Summary>) -> Case {
    Case {
        name,
        change,
        findings,
    }
}

fn assert_findings(cases: Vec<Case>) {
    for Case {
        name,
        change,
        findings,
    } in cases
    {
        let mut config = clean();
        change(&mut config);
        let found = config_check::check(&config, &names(&config));
        assert_eq!(summaries(&found), findings, "{name}: {found:#?}");
    }
}

/// Guards against a queue that no call can reach and that goes unnoticed, and against false alarms.
#[test]
fn queues_that_cannot_match_are_found() {
    let never = |field: Option<Field>| vec![of_queue(Error, field)];
    assert_findings(vec![
        case("clean", |_| {}, vec![]),
        case(
            "empty host",
            |config| change_queue(config, |queue| queue.host.clear()),
            never(Some(Host)),
        ),
        case(
            "host with port",
            |config| change_queue(config, |queue| queue.host.push_str(":80")),
            never(Some(Host)),
        ),
        case(
            "empty prefix",
            |config| change_queue(config, |queue| queue.path_prefix.clear()),
            never(Some(PathPrefix)),
        ),
        case(
            "prefix without slash",
            |config| change_queue(config, |queue| queue.path_prefix = "b/".to_owned()),
            never(Some(PathPrefix)),
        ),
        case(
            "prefix with query",
            |config| change_queue(config, |queue| queue.path_prefix = "/b?x=".to_owned()),
            never(Some(PathPrefix)),
        ),
        case(
            "a longer prefix hides only part of a shorter one",
            |config| change_queue(config, |queue| queue.path_prefix = "/a/x/".to_owned()),
            vec![],
        ),
        case(
            "host and prefix of a later queue, in other case",
            |config| {
                let mut later = queue("c");
                later.host = "JOBS.example".to_owned();
                later.path_prefix = "/b/".to_owned();
                put_queue(config, later);
            },
            never(None),
        ),
        case(
            "no queue",
            |config| config.queues.clear(),
            // The tenants have keys, so that nothing is reported of them.
            vec![(Warning, Entry::Config, None)],
        ),
    ]);
}

/// Guards against findings that disagree with the routing of calls: what is reported as hidden by
/// another queue must not be routed to, and the queue that is named must be.
#[test]
fn the_queue_named_as_preferred_is_the_one_that_gets_the_calls() {
    let mut config = clean();
    change_queue(&mut config, |queue| queue.path_prefix = "/a/".to_owned());
    let found = config_check::check(&config, &names(&config));
    let routed = config.route("jobs.example", "/a/1").expect("a queue");
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!(found[0].entry, Entry::Queue("a".into()));
    assert_eq!(found[0].other, Some(Entry::Queue(Rc::clone(&routed.name))));
}

/// Guards against policies that no job can meet, or that cannot be meant.
#[test]
fn contradictions_in_a_queue_are_found() {
    assert_findings(vec![
        case(
            "unknown service",
            |config| change_queue(config, |queue| queue.service = "other".into()),
            vec![of_queue(Error, Field::Service)],
        ),
        case(
            "no attempt",
            |config| change_queue(config, |queue| queue.max_attempts = 0),
            vec![of_queue(Error, Field::MaxAttempts)],
        ),
        case(
            "factor below 1",
            |config| change_queue(config, |queue| queue.critical_path_factor = 0.9),
            vec![of_queue(Warning, CriticalPathFactor)],
        ),
        case(
            "negative factor",
            |config| change_queue(config, |queue| queue.critical_path_factor = -1.0),
            vec![of_queue(Error, CriticalPathFactor)],
        ),
        case(
            "objective of 0",
            |config| {
                change_queue(config, |queue| {
                    (queue.critical_path_factor, queue.base_objective_ms) = (0.0, 0);
                });
            },
            vec![of_queue(Error, CriticalPathFactor)],
        ),
        case(
            "factor alone",
            |config| change_queue(config, |queue| queue.base_objective_ms = 0),
            vec![],
        ),
        case(
            "advice takes longer than the objective",
            |config| change_queue(config, |queue| queue.base_objective_ms = 364),
            vec![of_queue(Warning, AdviceCall)],
        ),
        case(
            "advice takes as long as the objective and its validity",
            |config| {
                change_queue(config, |queue| queue.base_objective_ms = 365);
                change_advice(config, |advice| advice.valid_ms = 365);
            },
            vec![],
        ),
        case(
            "advice expires during a call",
            |config| change_advice(config, |advice| advice.valid_ms = 364),
            vec![of_queue(Warning, AdviceValidity)],
        ),
        case(
            "negative times of advice",
            |config| {
                change_advice(config, |advice| {
                    (advice.call_ms, advice.per_worker_ms) = (-1.0, -1.0);
                });
            },
            vec![
                of_queue(Error, AdviceCall),
                of_queue(Error, AdvicePerWorker),
            ],
        ),
    ]);
}

/// Guards against tenants whose calls or jobs cannot succeed, and keys that count for another one.
#[test]
fn contradictions_in_tenants_are_found() {
    assert_findings(vec![
        case("no tenants", |config| config.tenants = None, vec![]),
        case(
            "empty list of tenants",
            |config| config.tenants = Some([].into_iter().collect()),
            vec![(Warning, Entry::Tenants, None)],
        ),
        case(
            "key given twice",
            |config| {
                change_tenant(config, |tenant| {
                    let key = tenant.key_digests[0];
                    tenant.key_digests.extend([key, KeyDigest::of("u-2")]);
                });
            },
            vec![of_tenant(Error, Keys)],
        ),
        case(
            "key of another tenant",
            |config| {
                change_tenant(config, |tenant| {
                    tenant.key_digests.push(KeyDigest::of("t-1"));
                });
            },
            vec![of_tenant(Error, Keys)],
        ),
        case(
            "no keys",
            |config| change_tenant(config, |tenant| tenant.key_digests.clear()),
            vec![of_tenant(Warning, Keys)],
        ),
        case(
            "no keys, but a public queue",
            |config| {
                change_tenant(config, |tenant| tenant.key_digests.clear());
                change_queue(config, |queue| queue.public = true);
            },
            vec![],
        ),
        case(
            "share of 0",
            |config| change_tenant(config, |tenant| tenant.jobs_per_s = 0.0),
            vec![of_tenant(Warning, Field::JobsPerS)],
        ),
        case(
            "negative share",
            |config| change_tenant(config, |tenant| tenant.jobs_per_s = -0.1),
            vec![of_tenant(Error, Field::JobsPerS)],
        ),
        case(
            "limits below the smallest usual task",
            |config| {
                change_tenant(config, |tenant| {
                    (tenant.limit.cpu_millicores, tenant.limit.memory_mb) = (99, 15);
                });
            },
            vec![
                of_tenant(Warning, LimitCpu),
                of_tenant(Warning, LimitMemory),
            ],
        ),
        case(
            "no limits",
            |config| change_tenant(config, |tenant| tenant.limit = Resources::default()),
            vec![],
        ),
    ]);
}

/// Guards against limits under which ordinary calls are refused.
#[test]
fn contradictions_in_limits_are_found() {
    assert_findings(vec![
        case(
            "header time-out above that of idle connections",
            |config| config.header_timeout_ms = 3_001,
            vec![of_limits(Warning, Field::HeaderTimeout)],
        ),
        case(
            "bodies below the largest payload with steps",
            |config| config.max_body_bytes = 4_999,
            vec![of_limits(Warning, Field::MaxBody)],
        ),
        case(
            "no limits",
            |config| {
                config.max_body_bytes = 0;
                config.idle_timeout_ms = 0;
            },
            vec![],
        ),
    ]);
}

/// Guards against entries that are lost since a later one has the same name.
#[test]
fn names_that_are_empty_or_given_twice_are_found() {
    let config = clean();
    let pair = |name: &str| [Rc::<str>::from(name), name.into()];
    let mut names = names(&config);
    names.queues.extend(pair("x"));
    names.services.extend(pair("y"));
    names.tenants.extend(["".into(), "t".into()]);
    let found = config_check::check(&config, &names);
    let expected = [
        Entry::Queue("x".into()),
        Entry::Service("y".into()),
        Entry::Tenant("t".into()),
        Entry::Tenant("".into()),
    ];
    let expected = expected.map(|entry| (Error, entry, Some(Field::Name)));
    assert_eq!(summaries(&found), expected);
}
