//! Keys of calls, and what their callers may access.

use std::rc::Rc;

use hickorychute_cell::{
    config::{Config, Queue, Tenant},
    credentials::{self, Caller, ClaimVerdict, KeyClaim, KeyDigest},
    workers::Resources,
};

fn queue(name: &str, public: bool) -> Queue {
    Queue {
        name: name.into(),
        host: "jobs.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        critical_path_factor: 2.0,
        base_objective_ms: 600,
        advice: None,
        public,
    }
}

/// A configuration with the queues `keyed` and `open`, and the tenants given with their keys.
fn config(version: u64, tenants: Option<&[(&str, &[&str])]>) -> Config {
    let tenant = |&(name, keys): &(&str, &[&str])| {
        let tenant = Tenant {
            name: name.into(),
            key_digests: keys.iter().map(|key| KeyDigest::of(key)).collect(),
            jobs_per_s: 1.0,
            limit: Resources::default(),
        };
        (Rc::clone(&tenant.name), Rc::new(tenant))
    };
    let queues = [queue("keyed", false), queue("open", true)];
    Config {
        version,
        queues: queues
            .map(|queue| (Rc::clone(&queue.name), Rc::new(queue)))
            .into_iter()
            .collect(),
        tenants: tenants.map(|tenants| tenants.iter().map(tenant).collect()),
        ..Config::default()
    }
}

fn claim(tenant: &str, key: &str, config_version: u64) -> KeyClaim {
    KeyClaim {
        tenant: tenant.into(),
        digest: KeyDigest::of(key),
        config_version,
    }
}

/// Guards against a call that is accepted without a valid key, and against the refusal of one that
/// has a valid key or needs none.
#[test]
fn calls_are_made_on_behalf_of_the_tenant_that_has_the_key() {
    struct Case {
        name: &'static str,
        tenants: Option<&'static [(&'static str, &'static [&'static str])]>,
        queue: &'static str,
        key: Option<&'static str>,
        expected: Option<Caller>,
    }
    let tenants: Option<&[(&str, &[&str])]> = Some(&[("t-1", &["k1", "k2"]), ("t-2", &[])]);
    let public = |holder: Option<&str>| Caller::Public {
        key_holder: holder.map(Rc::from),
    };
    let cases = [
        Case {
            name: "no tenants",
            tenants: None,
            queue: "keyed",
            key: None,
            expected: Some(Caller::Unrestricted),
        },
        Case {
            name: "no tenants, and a key",
            tenants: None,
            queue: "keyed",
            key: Some("k9"),
            expected: Some(Caller::Unrestricted),
        },
        Case {
            name: "an empty list of tenants",
            tenants: Some(&[]),
            queue: "keyed",
            key: Some("k1"),
            expected: None,
        },
        Case {
            name: "no key",
            tenants,
            queue: "keyed",
            key: None,
            expected: None,
        },
        Case {
            name: "unknown key",
            tenants,
            queue: "keyed",
            key: Some("k9"),
            expected: None,
        },
        Case {
            name: "second key of a tenant",
            tenants,
            queue: "keyed",
            key: Some("k2"),
            expected: Some(Caller::Tenant(claim("t-1", "k2", 3))),
        },
        Case {
            name: "public queue without a key",
            tenants,
            queue: "open",
            key: None,
            expected: Some(public(None)),
        },
        Case {
            name: "public queue with an unknown key",
            tenants,
            queue: "open",
            key: Some("k9"),
            expected: Some(public(None)),
        },
        Case {
            name: "public queue with a key",
            tenants,
            queue: "open",
            key: Some("k1"),
            expected: Some(public(Some("t-1"))),
        },
    ];
    for case in cases {
        let config = config(3, case.tenants);
        let digest = case.key.map(KeyDigest::of);
        let queue = &config.queues[case.queue];
        let caller = credentials::identify(&config, queue, digest.as_ref());
        assert_eq!(caller, case.expected, "{}", case.name);
    }
}

/// Guards against access to the job of another tenant, and against a refusal of the right one.
#[test]
fn jobs_are_accessible_to_their_tenant() {
    let tenant = Caller::Tenant(claim("t-1", "k1", 1));
    let public = |holder: Option<&str>| Caller::Public {
        key_holder: holder.map(Rc::from),
    };
    let cases = [
        ("cell without tenants", Caller::Unrestricted, "t-1", true),
        ("own job", tenant.clone(), "t-1", true),
        ("job of another tenant", tenant.clone(), "t-2", false),
        ("job without a tenant", tenant, "", true),
        ("public queue, job without a tenant", public(None), "", true),
        ("public queue, job of a tenant", public(None), "t-1", false),
        (
            "queue made public, own job",
            public(Some("t-1")),
            "t-1",
            true,
        ),
        (
            "queue made public, other job",
            public(Some("t-1")),
            "t-2",
            false,
        ),
    ];
    for (name, caller, job_tenant, expected) in cases {
        assert_eq!(caller.may_access(job_tenant), expected, "{name}");
    }
}

/// Guards against the acceptance of a job whose key a newer configuration no longer lists, and
/// against a refusal by a configuration that is too old to list the key.
#[test]
fn only_a_newer_configuration_refutes_a_key() {
    struct Case {
        name: &'static str,
        version: u64,
        tenants: Option<&'static [(&'static str, &'static [&'static str])]>,
        queue: &'static str,
        expected: ClaimVerdict,
    }
    let case = |name, version, tenants, expected| Case {
        name,
        version,
        tenants,
        queue: "keyed",
        expected,
    };
    let cases = [
        case(
            "older, without the tenant",
            4,
            Some(&[] as &[_]),
            ClaimVerdict::Valid,
        ),
        case("the same version", 5, Some(&[]), ClaimVerdict::Valid),
        case(
            "newer, key kept",
            6,
            Some(&[("t-1", &["k0", "k1"])]),
            ClaimVerdict::Valid,
        ),
        case(
            "newer, key removed",
            6,
            Some(&[("t-1", &["k0"])]),
            ClaimVerdict::Removed,
        ),
        case(
            "newer, last key removed",
            6,
            Some(&[("t-1", &[])]),
            ClaimVerdict::Removed,
        ),
        case("newer, tenant removed", 6, Some(&[]), ClaimVerdict::Removed),
        case(
            "newer, key moved",
            6,
            Some(&[("t-1", &[]), ("t-2", &["k1"])]),
            ClaimVerdict::Moved,
        ),
        case("newer, without tenants", 6, None, ClaimVerdict::Valid),
        Case {
            name: "newer, queue made public",
            version: 6,
            tenants: Some(&[]),
            queue: "open",
            expected: ClaimVerdict::Valid,
        },
        Case {
            name: "newer, queue and key removed",
            version: 6,
            tenants: Some(&[]),
            queue: "gone",
            expected: ClaimVerdict::Removed,
        },
    ];
    for case in cases {
        let config = config(case.version, case.tenants);
        let verdict = credentials::review(&config, case.queue, &claim("t-1", "k1", 5));
        assert_eq!(verdict, case.expected, "{}", case.name);
    }
}

/// Guards against a key, or what stands for it, in a log line.
#[test]
fn keys_are_not_shown() {
    let config = config(1, Some(&[("t-1", &["secret-key"])]));
    let digest = KeyDigest::of("secret-key");
    let shown = format!("{config:?} {:?} {digest:?}", claim("t-1", "secret-key", 1));
    let first_bytes = format!("{}, {}", digest.as_bytes()[0], digest.as_bytes()[1]);
    assert!(!shown.contains("secret-key"), "{shown}");
    assert!(!shown.contains(&first_bytes), "{shown}");
}
