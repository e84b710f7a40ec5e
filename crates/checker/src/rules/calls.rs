//! Rules for requests: answers are complete, match their request and report correctly whether it
//! ran; keyed requests run at most once.

use indexmap::IndexMap;
use kernel::errors;
use kernel::history::{Event, Record};
use kernel::ids;

use crate::violation::Violation;

#[derive(Debug, Default)]
struct Calls {
    digests: IndexMap<u64, u64>,
    first_run_ms: IndexMap<u64, u64>,
    key_run_ms: IndexMap<ids::IdempotencyKey, u64>,
    not_run_ms: IndexMap<u64, u64>,
    answered_ms: IndexMap<u64, u64>,
    violations: Vec<Violation>,
}

/// Compares every answer with its request and with the recorded runs.
pub(crate) fn check_calls(records: &[&Record]) -> Vec<Violation> {
    let mut calls = Calls::default();
    for record in records {
        calls.apply(record);
    }
    for (&request, &answered_ms) in &calls.not_run_ms {
        // A run after the "not run" answer is a violation as well.
        if let Some(&ran_ms) = calls.first_run_ms.get(&request) {
            calls.violations.push(Violation::NotRunButRan {
                request,
                answered_ms,
                ran_ms,
            });
        }
    }
    calls.violations
}

impl Calls {
    fn apply(&mut self, record: &Record) {
        let at_ms = record.at_ms;
        match &record.event {
            Event::RequestSent {
                request, digest, ..
            } => {
                self.digests.insert(*request, *digest);
            }
            Event::RequestRan {
                task,
                request,
                key,
                open_calls,
                slots,
            } => {
                self.first_run_ms.entry(*request).or_insert(at_ms);
                self.record_key_run(key.as_ref(), at_ms);
                if open_calls > slots {
                    self.violations.push(Violation::OverSlots {
                        at_ms,
                        task: task.clone(),
                        open_calls: *open_calls,
                        slots: *slots,
                    });
                }
            }
            Event::AnswerReceived {
                request,
                outcome,
                digest,
                whole,
            } => self.record_answer(at_ms, *request, *outcome, *digest, *whole),
            _ => {}
        }
    }

    fn record_key_run(&mut self, key: Option<&ids::IdempotencyKey>, at_ms: u64) {
        let Some(key) = key else {
            return;
        };
        let Some(&first_ms) = self.key_run_ms.get(key) else {
            self.key_run_ms.insert(key.clone(), at_ms);
            return;
        };
        self.violations.push(Violation::RanTwice {
            key: key.clone(),
            first_ms,
            second_ms: at_ms,
        });
    }

    fn record_answer(
        &mut self,
        at_ms: u64,
        request: u64,
        outcome: errors::Outcome,
        digest: Option<u64>,
        whole: bool,
    ) {
        if self.answered_ms.insert(request, at_ms).is_some() {
            let violation = Violation::AnsweredTwice { request, at_ms };
            self.violations.push(violation);
        }
        let expected = self.digests.get(&request).copied();
        if digest.is_some() && digest != expected {
            let violation = Violation::CrossedAnswer { request, at_ms };
            self.violations.push(violation);
        }
        if outcome == errors::Outcome::Done && !whole {
            let violation = Violation::CutAnswer { request, at_ms };
            self.violations.push(violation);
        }
        if outcome == errors::Outcome::NotRun {
            self.not_run_ms.entry(request).or_insert(at_ms);
        }
    }
}

/// Finds requests that were not answered by the end of the history.
pub(crate) fn check_answered(records: &[&Record]) -> Vec<Violation> {
    let mut unanswered = IndexMap::new();
    for record in records {
        match &record.event {
            Event::RequestSent { request, .. } => {
                unanswered.insert(*request, record.at_ms);
            }
            Event::AnswerReceived { request, .. } => {
                unanswered.swap_remove(request);
            }
            _ => {}
        }
    }
    let unanswered = unanswered.into_iter();
    unanswered
        .map(|(request, sent_ms)| Violation::Unanswered { request, sent_ms })
        .collect()
}
