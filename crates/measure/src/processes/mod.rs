//! CPU time and memory of one real entry host process.
//!
//! Runs `hickoryd` and `hickory-standin` as child processes on the loopback interface and reads the
//! usage of the host from `/proc`.

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

/// Time that a new host is given before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const JOBS_PER_S: u32 = 4;
/// Duration of job submission before the peak is measured, so that the number of running tasks
/// per worker is near that of the capacity target.
const FILL_TIME: Duration = Duration::from_secs(5);

/// Measures one `hickoryd serve` against one stand-in platform for each number of workers.
pub(crate) fn measure(scale: &Scale, programs: &Path, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        let entry = EntryHost::start(programs, workers)?;
        thread::sleep(SETTLE_TIME);
        let window = Duration::from_millis(scale.process_window_ms);
        let idle = entry.measure_usage(window, || Ok(()))?;
        entry.submit_services(workers)?;
        let mut next_job = 0;
        entry.submit_jobs(workers, FILL_TIME, &mut next_job)?;
        let peak =
            entry.measure_usage(window, || entry.submit_jobs(workers, window, &mut next_job))?;
        let at = u64::from(workers);
        for (state, usage) in [("rest", idle), ("peak", peak)] {
            add_usage(report, state, at, &usage);
        }
        report.add("control_core_percent", at, Unit::Percent, peak.core_percent);
        report.add("control_memory_mb", at, Unit::Mb, peak.memory_mb);
    }
    Ok(())
}

fn add_usage(report: &mut Report, state: &str, at: u64, usage: &usage::Usage) {
    let rows = [
        ("core_percent", Unit::Percent, usage.core_percent),
        ("memory_mb", Unit::Mb, usage.memory_mb),
    ];
    for (name, unit, value) in rows {
        report.add(format!("process_{name}_{state}"), at, unit, value);
    }
}

/// A running entry host process and its stand-in platform.
#[derive(Debug)]
struct EntryHost {
    host: child::ChildProcess,
    http: String,
    // Declared after `host`, so that it is dropped and killed after it.
    _platform: child::ChildProcess,
}

impl EntryHost {
    fn start(programs: &Path, workers: u32) -> Result<Self> {
        let workers = workers.to_string();
        let zones = "zone-0=region-0";
        let platform = child::ChildProcess::start(
            &programs.join("hickory-standin"),
            &["platform", "--workers", &workers, "--zones", zones],
        )?;
        let store = platform.ready_field("store")?;
        let host = child::ChildProcess::start(
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

    /// Returns the resource usage of the host while `work` runs, over at least `window`.
    fn measure_usage(
        &self,
        window: Duration,
        mut work: impl FnMut() -> Result<()>,
    ) -> Result<usage::Usage> {
        let before = usage::Sample::take(self.host.id())?;
        let started = Instant::now();
        work()?;
        thread::sleep(window.saturating_sub(started.elapsed()));
        let after = usage::Sample::take(self.host.id())?;
        Ok(after.since(&before))
    }

    fn submit_services(&self, workers: u32) -> Result<()> {
        let note = workload::release_note(workers);
        let headers = "x-submitter-id: operator\r\n";
        self.post("/v1/releases", headers, &note)
    }

    fn submit_jobs(&self, workers: u32, duration: Duration, next_job: &mut u64) -> Result<()> {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let started = Instant::now();
            let headers = format!("idempotency-key: key-{next_job:016x}\r\n");
            let job = workload::job_request_body(*next_job, workers);
            self.post("/v1/jobs", &headers, &job)?;
            *next_job += 1;
            let interval = Duration::from_secs(1) / JOBS_PER_S;
            thread::sleep(interval.saturating_sub(started.elapsed()));
        }
        Ok(())
    }

    fn post(&self, path: &str, headers: &str, body: &str) -> Result<()> {
        let status = socket::post(&self.http, path, headers, body)?;
        if (200..300).contains(&status) {
            return Ok(());
        }
        let detail = format!("POST {path} returned status {status}");
        Err(Error::from(std::io::Error::other(detail)))
    }
}
