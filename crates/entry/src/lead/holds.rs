//! One long poll a worker, which extends its runs and brings its lists.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use adapter::{
    http::Line,
    workers::{self, HoldAnswer},
};
use kernel::log_event;
use tokio::time;

use super::Lead;
use crate::{clock, events};

/// How long a worker waits for an end before it answers.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long an answer may be late.
const SLACK: Duration = Duration::from_millis(600);
/// Pause after a hold that failed.
const RETRY: Duration = Duration::from_millis(150);
/// How long a hold waits for the ends of the last one to become durable.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(300);

impl Lead {
    /// Starts a long poll for each worker that is known from the roster.
    pub(super) fn spawn_known_holds(self: &Rc<Self>) {
        let known: Vec<Rc<str>> = self.cell.borrow().workers().keys().cloned().collect();
        for id in known {
            self.spawn(run(Rc::clone(self), id));
        }
    }
}

/// Holds a worker for as long as it is known.
pub(super) async fn run(lead: Rc<Lead>, id: Rc<str>) {
    let mut line: Option<Line> = None;
    let mut proven = false;
    let mut was_silent = true;
    loop {
        let now_ms = clock::now_ms();
        let address = {
            let cell = lead.cell.borrow();
            let Some(worker) = cell.workers().get(&id) else {
                return;
            };
            worker.entry.address.parse::<SocketAddr>()
        };
        let Ok(address) = address else {
            return;
        };
        if !lead.has_authority() {
            time::sleep(RETRY).await;
            continue;
        }
        let usable = line.take().filter(Line::is_usable);
        let mut open = match usable {
            Some(open) => open,
            None => match Line::open(address).await {
                Ok(open) => {
                    proven = false;
                    open
                }
                Err(_) => {
                    lead.hold_failed(&id, &mut was_silent, "not_connected");
                    time::sleep(RETRY).await;
                    continue;
                }
            },
        };
        let Some(terms) = lead.cell.borrow_mut().begin_hold(&id, proven, now_ms) else {
            return;
        };
        let wait = if proven { WAIT } else { Duration::ZERO };
        let headers = workers::life_header(&id);
        let call = workers::hold_call(&headers, terms, lead.term.fence, wait, wait + SLACK);
        let sent_ms = clock::now_ms();
        lead.around.metrics.count("holds");
        match open
            .call(&call)
            .await
            .map(|answer| workers::hold_answer(&answer))
        {
            Ok(HoldAnswer::Report(report)) => {
                for end in &report.ended {
                    if end.number
                        > lead
                            .cell
                            .borrow()
                            .workers()
                            .get(&id)
                            .map_or(0, |w| w.processed_end)
                    {
                        log_event!(
                            events::RUN_ENDED,
                            "task={} run={} worker={id} how={:?}",
                            end.task,
                            end.run,
                            end.kind
                        );
                    }
                }
                let received_ms = clock::now_ms();
                let unix_ms = clock::unix_ms();
                lead.cell
                    .borrow_mut()
                    .hold_answered(&id, sent_ms, received_ms, unix_ms, &report);
                if was_silent {
                    log_event!(
                        events::WORKER_HEARD,
                        "worker={id} running={} ended={}",
                        report.running.len(),
                        report.ended.len()
                    );
                    was_silent = false;
                }
                proven = true;
                line = Some(open);
                lead.schedule.notify_one();
                if !report.ended.is_empty() {
                    lead.commit.notify_one();
                    lead.wait_for_acknowledgement(&id).await;
                }
            }
            Ok(HoldAnswer::Fenced) => return lead.lose("fenced_by_worker"),
            Ok(HoldAnswer::OtherLife) => {
                lead.cell.borrow_mut().worker_ended(&id, clock::now_ms());
                lead.hold_failed(&id, &mut was_silent, "other_life");
                time::sleep(RETRY * 3).await;
            }
            Ok(HoldAnswer::Unusable) => {
                lead.hold_failed(&id, &mut was_silent, "unhealthy");
                time::sleep(RETRY).await;
            }
            Err(error) => {
                lead.hold_failed(&id, &mut was_silent, &error.to_string());
                time::sleep(RETRY).await;
            }
        }
    }
}

impl Lead {
    fn hold_failed(&self, id: &str, was_silent: &mut bool, reason: &str) {
        if !*was_silent {
            log_event!(events::WORKER_SILENT, "worker={id} reason={reason:?}");
            *was_silent = true;
        }
        self.cell.borrow_mut().hold_failed(id, clock::now_ms());
        self.schedule.notify_one();
    }

    /// A hold before that would list the same ends again, at once.
    async fn wait_for_acknowledgement(&self, id: &str) {
        let acknowledged = async {
            loop {
                let committed = self.committed.notified();
                let pending = {
                    let cell = self.cell.borrow();
                    cell.workers()
                        .get(id)
                        .is_some_and(|w| w.processed_end > w.durable_end)
                };
                if !pending {
                    return;
                }
                committed.await;
            }
        };
        // While the store is away ends stay unacknowledged, and holds go on at this pace.
        let _late = time::timeout(ACKNOWLEDGE_WAIT, acknowledged).await;
    }
}
