//! Histories with tenants that the checker has to accept or to reject.

use std::{collections::BTreeMap, ops::Range};

use platform_standin::run_log::{RunEvent, TimedEvent};

use crate::{
    checker::{History, Life},
    tenant_checker::TenantHistory,
    tenants::{KeyedCall, TENANTS, Tenant, Version},
};

/// A version in which the first tenant has these keys and this limit.
fn version(at_ms: u64, keys: &[&str], limit: u64) -> Version {
    let tenant = Tenant {
        keys: keys.iter().map(ToString::to_string).collect(),
        limit,
    };
    Version {
        sent_ms: at_ms,
        acknowledged_ms: at_ms + 1,
        tenants: vec![tenant; TENANTS],
    }
}

/// A call of the first tenant with the key `a`, which is answered 10 ms later.
fn call(sent_ms: u64, status: u16) -> KeyedCall {
    KeyedCall {
        sent_ms,
        answered_ms: sent_ms + 10,
        host: 0,
        call: "GET ".to_owned(),
        tenant: 0,
        key: "a".to_owned(),
        status,
    }
}

/// Runs of the first tenant that start at a time and do not end.
fn starts(at_ms: u64, numbers: Range<u64>) -> Vec<TimedEvent> {
    let event = |number| RunEvent::Started {
        task: format!("0000000000000003.0.0.{number}"),
        run: number,
        spec: String::new(),
    };
    let event = |number| TimedEvent {
        at_ms,
        event: event(number),
    };
    numbers.map(event).collect()
}

#[derive(Default)]
struct Case {
    name: &'static str,
    versions: Vec<Version>,
    calls: Vec<KeyedCall>,
    events: Vec<TimedEvent>,
    fault: Option<Range<u64>>,
    broken: Option<&'static str>,
}

impl Case {
    fn violations(&self) -> Vec<String> {
        let faults: Vec<Range<u64>> = self.fault.iter().cloned().collect();
        let life = Life {
            name: "worker".to_owned(),
            events: self.events.clone(),
            killed_ms: None,
        };
        let history = History {
            lives: vec![life],
            jobs: BTreeMap::new(),
            faults: faults.clone(),
            ended_ms: 60_000,
        };
        let tenant_history = TenantHistory {
            versions: &self.versions,
            calls: &self.calls,
            runs: &history.runs(),
            faults: &faults,
        };
        tenant_history.violations()
    }
}

fn key_cases() -> Vec<Case> {
    let revoked = || vec![version(0, &["a"], 1), version(10_000, &[], 1)];
    let added = || vec![version(0, &[], 1), version(10_000, &["a"], 1)];
    let answered = |name, versions, sent_ms, status, broken| Case {
        name,
        versions,
        calls: vec![call(sent_ms, status)],
        broken,
        ..Case::default()
    };
    let revoked_rule = Some("REVOKED");
    let valid_rule = Some("VALID");
    let mut restored = revoked();
    restored.push(version(16_000, &["a"], 1));
    let mut moved = vec![version(0, &["a"], 1), version(10_000, &["a"], 1)];
    moved.push(version(20_005, &[], 1));
    vec![
        answered("success in time", revoked(), 15_001, 200, None),
        answered("success too late", revoked(), 15_002, 200, revoked_rule),
        answered("refusal of a revoked key", revoked(), 10_002, 401, None),
        answered(
            "restored during the call",
            restored.clone(),
            15_995,
            200,
            None,
        ),
        answered(
            "success before it is restored",
            restored,
            15_500,
            200,
            revoked_rule,
        ),
        answered("a new key is not known yet", added(), 14_001, 401, None),
        answered("a new key is unknown", added(), 14_002, 401, valid_rule),
        answered("a new key has no access", added(), 14_002, 403, valid_rule),
        answered("a host out of touch", added(), 14_002, 503, None),
        answered("a new key is accepted at once", added(), 10_002, 200, None),
        answered("revoked during the call", moved.clone(), 20_000, 401, None),
        answered(
            "refused before it is revoked",
            moved,
            19_000,
            401,
            valid_rule,
        ),
    ]
}

fn limit_cases() -> Vec<Case> {
    let reduced = || vec![version(0, &[], 4), version(20_000, &[], 1)];
    let started = |name, events, fault, broken| Case {
        name,
        versions: reduced(),
        events,
        fault,
        broken,
        ..Case::default()
    };
    let late = |from_ms| [starts(from_ms, 0..2), starts(24_502, 2..3)].concat();
    let rule = Some("LIMIT");
    vec![
        started("the limit and one task", starts(10_000, 0..5), None, None),
        started("two tasks above it", starts(10_000, 0..6), None, rule),
        started(
            "running when it is reduced",
            starts(10_000, 0..5),
            None,
            None,
        ),
        started("started after it was reduced", late(10_000), None, rule),
        started(
            "started beside a fault",
            late(10_000),
            Some(21_000..22_000),
            None,
        ),
        started(
            "started after a fault",
            late(10_000),
            Some(10_000..15_000),
            rule,
        ),
    ]
}

#[test]
fn the_checker_finds_wrong_answers_and_starts_above_limits() {
    for case in key_cases().into_iter().chain(limit_cases()) {
        let violations = case.violations();
        match case.broken {
            None => assert_eq!(violations, Vec::<String>::new(), "{}", case.name),
            Some(broken) => {
                assert_eq!(violations.len(), 1, "{}: {violations:?}", case.name);
                let first = &violations[0];
                assert!(first.starts_with(broken), "{}: {first}", case.name);
            }
        }
    }
}
