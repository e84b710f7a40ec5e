//! What a configuration changes in the one in force.

use hickorychute_cell::{
    config::Config,
    config_check::{self, Entry, Field},
    credentials::KeyDigest,
};

use super::{
    AdviceValidity, Case, Error, Host, Keys, Note, Warning, case, change_advice, change_queue,
    change_tenant, of_limits, of_queue, of_tenant, put_queue, put_service, put_tenant, queue,
    service, summaries, tenant,
};

/// Version 6 of the configuration without findings.
fn in_force() -> Config {
    Config {
        version: 6,
        ..super::clean()
    }
}

fn assert_differences(cases: Vec<Case>) {
    for Case {
        name,
        change,
        findings,
    } in cases
    {
        let mut config = super::clean();
        change(&mut config);
        let found = config_check::compare(&config, &in_force());
        assert_eq!(summaries(&found), findings, "{name}: {found:#?}");
    }
}

/// Guards against a change that goes unnoticed before it is sent, and against reports of no change.
#[test]
fn differences_of_queues_and_services_are_reported() {
    let note = |entry, field| vec![(Note, entry, field)];
    let cases = vec![
        case("no difference", |_| {}, vec![]),
        case(
            "same version",
            |config| config.version = 6,
            vec![(Error, Entry::Config, Some(Field::Version))],
        ),
        case(
            "lower version",
            |config| config.version = 5,
            vec![(Error, Entry::Config, Some(Field::Version))],
        ),
        case(
            "queue added",
            |config| put_queue(config, queue("c")),
            note(Entry::Queue("c".into()), None),
        ),
        case(
            "queue removed",
            |config| {
                config.queues.shift_remove("b");
            },
            note(Entry::Queue("b".into()), None),
        ),
        case(
            "queue changed",
            |config| {
                change_queue(config, |queue| {
                    queue.host.push('x');
                    queue.max_attempts = 3;
                    queue.advice = None;
                });
            },
            vec![
                of_queue(Note, Host),
                of_queue(Note, Field::MaxAttempts),
                of_queue(Note, Field::Advice),
            ],
        ),
        case(
            "advice changed",
            |config| change_advice(config, |advice| advice.valid_ms = 9),
            vec![of_queue(Note, AdviceValidity)],
        ),
        case(
            "queue opened to everybody",
            |config| change_queue(config, |queue| queue.public = true),
            vec![of_queue(Warning, Field::Public)],
        ),
        case(
            "service added",
            |config| put_service(config, service("s")),
            note(Entry::Service("s".into()), None),
        ),
        case(
            "service changed",
            |config| config.services["pool"].workers_enforce_capacity = true,
            note(
                Entry::Service("pool".into()),
                Some(Field::WorkersEnforceCapacity),
            ),
        ),
        case(
            "service removed",
            |config| config.services.clear(),
            note(Entry::Service("pool".into()), None),
        ),
    ];
    assert_differences(cases);
}

/// Guards against keys that are removed, or no longer needed, without notice.
#[test]
fn differences_of_tenants_and_limits_are_reported() {
    let cases = vec![
        case(
            "tenant added",
            |config| put_tenant(config, tenant("v")),
            vec![
                (Note, Entry::Tenant("v".into()), None),
                (Note, Entry::Tenant("v".into()), Some(Keys)),
            ],
        ),
        case(
            "tenant changed",
            |config| {
                change_tenant(config, |tenant| {
                    tenant.key_digests = vec![KeyDigest::of("u-2")];
                    tenant.limit.gpus = 1;
                });
            },
            vec![of_tenant(Note, Keys), of_tenant(Note, Field::LimitGpus)],
        ),
        case(
            "list of tenants removed",
            |config| config.tenants = None,
            vec![
                (Warning, Entry::Tenants, None),
                (Note, Entry::Tenant("t".into()), None),
                (Note, Entry::Tenant("u".into()), None),
                (Note, Entry::Tenant("t".into()), Some(Keys)),
                (Note, Entry::Tenant("u".into()), Some(Keys)),
            ],
        ),
        case(
            "limits changed",
            |config| config.max_header_bytes = 1,
            vec![of_limits(Note, Field::MaxHeader)],
        ),
    ];
    assert_differences(cases);
}

/// Guards against a wrong count of keys that are added and removed.
#[test]
fn changed_keys_are_counted() {
    let mut config = super::clean();
    change_tenant(&mut config, |tenant| {
        tenant.key_digests = ["u-2", "u-3", "u-3"].map(KeyDigest::of).into();
    });
    let found = config_check::compare(&config, &in_force());
    let reasons: Vec<&str> = found.iter().map(|finding| &*finding.reason).collect();
    assert_eq!(reasons, ["keys added: 2, removed: 1"]);
}
