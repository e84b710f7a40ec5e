//! Processor time, memory and bytes of one real entry host.

mod child;
mod socket;
mod usage;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Error, Result};
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;
use crate::workload;

const SETTLE: Duration = Duration::from_secs(3);
const JOBS_PER_S: u32 = 4;
/// Starts of tasks so that about as many run as at the target.
const FILL: Duration = Duration::from_secs(5);

/// Runs one `hickoryd serve` against one stand-in platform for each number of workers.
pub(crate) fn measure(scale: &Scale, programs: &Path, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        let entry = Entry::start(programs, workers)?;
        thread::sleep(SETTLE);
        let window = Duration::from_millis(scale.process_window_ms);
        let rest = entry.watch(window, || Ok(()))?;
        entry.submit_services(workers)?;
        let mut next = 0;
        entry.submit_jobs(workers, FILL, &mut next)?;
        let peak = entry.watch(window, || entry.submit_jobs(workers, window, &mut next))?;
        let at = u64::from(workers);
        for (state, used) in [("rest", rest), ("peak", peak)] {
            add(report, state, at, &used);
        }
        report.add("control_core_percent", at, Unit::Percent, peak.core_percent);
        report.add("control_memory_mb", at, Unit::Mb, peak.memory_mb);
    }
    Ok(())
}

fn add(report: &mut Report, state: &str, at: u64, used: &usage::Used) {
    let rows = [
        ("core_percent", Unit::Percent, used.core_percent),
        ("memory_mb", Unit::Mb, used.memory_mb),
    ];
    for (name, unit, value) in rows {
        report.add(format!("process_{name}_{state}"), at, unit, value);
    }
}

/// An entry host and its platform.
#[derive(Debug)]
struct Entry {
    host: child::Process,
    http: String,
    // Ends after the host.
    _platform: child::Process,
}

impl Entry {
    fn start(programs: &Path, workers: u32) -> Result<Self> {
        let workers = workers.to_string();
        let zones = "zone-0=region-0";
        let platform = child::Process::start(
            &programs.join("hickory-standin"),
            &["platform", "--workers", &workers, "--zones", zones],
        )?;
        let store = platform.ready_field("store")?;
        let host = child::Process::start(
            &programs.join("hickoryd"),
            &[
                "serve",
                "--zone",
                "zone-0",
                "--zones",
                zones,
                "--listen",
                "127.0.0.1:0",
                "--peer-listen",
                "127.0.0.1:0",
                "--platform-address",
                &store,
            ],
        )?;
        Ok(Self {
            http: host.ready_field("http")?,
            host,
            _platform: platform,
        })
    }

    /// What the host uses while `work` is done, at least for a window.
    fn watch(&self, window: Duration, mut work: impl FnMut() -> Result<()>) -> Result<usage::Used> {
        let before = usage::Sample::take(self.host.id())?;
        let started = Instant::now();
        work()?;
        thread::sleep(window.saturating_sub(started.elapsed()));
        let after = usage::Sample::take(self.host.id())?;
        Ok(after.since(&before))
    }

    fn submit_services(&self, workers: u32) -> Result<()> {
        let note = workload::services(workers);
        let headers = "x-submitter-id: operator\r\n";
        self.post("/v1/releases", headers, &note)
    }

    fn submit_jobs(&self, workers: u32, lasts: Duration, next: &mut u64) -> Result<()> {
        let until = Instant::now() + lasts;
        while Instant::now() < until {
            let begun = Instant::now();
            let headers = format!("idempotency-key: key-{next:016x}\r\n");
            let job = workload::job_request(*next, workers);
            self.post("/v1/jobs", &headers, &job)?;
            *next += 1;
            let interval = Duration::from_secs(1) / JOBS_PER_S;
            thread::sleep(interval.saturating_sub(begun.elapsed()));
        }
        Ok(())
    }

    fn post(&self, path: &str, headers: &str, body: &str) -> Result<()> {
        let status = socket::post(&self.http, path, headers, body)?;
        if (200..300).contains(&status) {
            return Ok(());
        }
        let detail = format!("{path}: status {status}");
        Err(Error::from(std::io::Error::other(detail)))
    }
}
