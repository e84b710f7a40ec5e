//! Calls that go on while a test does something else.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::client::Reply;
use super::history::Callers;

const PAUSE: Duration = Duration::from_millis(20);

/// One call of the load and its answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Address of the host that was asked.
    pub host: String,
    /// The key, if the call was not idempotent.
    pub key: Option<String>,
    /// The answer.
    pub reply: Reply,
}

/// Callers that call until they are stopped.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Answered>>>,
}

impl Load {
    /// Starts one caller for each host; every second call has a key, if wanted.
    pub fn start(
        callers: &Callers,
        hosts: &[String],
        service: &str,
        keyed: bool,
        deadline_ms: u64,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = hosts.iter().map(|host| {
            let (callers, host, stop) = (callers.clone(), host.clone(), Arc::clone(&stop));
            let service = service.to_owned();
            thread::spawn(move || call_until(&stop, &callers, &host, &service, keyed, deadline_ms))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops the callers and returns what they were answered.
    pub fn finish(self) -> Vec<Answered> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("a caller does not panic"))
            .collect()
    }
}

fn call_until(
    stop: &AtomicBool,
    callers: &Callers,
    host: &str,
    service: &str,
    keyed: bool,
    deadline_ms: u64,
) -> Vec<Answered> {
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let number = answers.len();
        let key = (keyed && number % 2 == 1).then(|| format!("{host}-{number}"));
        let reply = callers.call(host, service, key.as_deref(), deadline_ms);
        answers.push(Answered {
            host: host.to_owned(),
            key,
            reply,
        });
        thread::sleep(PAUSE);
    }
    answers
}

/// Fails the test if an idempotent call was not answered with the service's answer.
pub fn assert_lookups_done(answers: &[Answered]) {
    let lookups: Vec<&Answered> = answers.iter().filter(|call| call.key.is_none()).collect();
    assert!(!lookups.is_empty(), "idempotent calls were sent");
    let failed: Vec<String> = lookups
        .iter()
        .filter(|call| call.reply.outcome != "done")
        .map(|call| format!("through {}: {}", call.host, call.reply.text()))
        .collect();
    let (failures, all) = (failed.len(), lookups.len());
    assert!(
        failed.is_empty(),
        "{failures} of {all}:\n{}",
        failed.join("\n")
    );
}

/// Repeats every keyed call through another host, which must give the first answer.
pub fn assert_first_answers(callers: &Callers, other: &str, service: &str, answers: &[Answered]) {
    let mut repeated = 0;
    for call in answers {
        let Some(key) = call.key.as_deref().filter(|_| call.reply.outcome == "done") else {
            continue;
        };
        let again = callers.call(other, service, Some(key), 5_000);
        assert_eq!(again.outcome, "done", "{key}: {}", again.text());
        assert_eq!(again.body, call.reply.body, "{key} has its first answer");
        repeated += 1;
    }
    assert!(repeated > 0, "some keyed calls were answered");
}
