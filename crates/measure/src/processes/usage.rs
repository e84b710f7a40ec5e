//! CPU time and resident memory of a process, read from `/proc`.

use std::fs;
use std::io::Error;
use std::time::Instant;

use crate::error::Result;

/// Clock ticks per second in `/proc`; Linux fixes `USER_HZ` at 100.
const TICKS_PER_S: f64 = 100.0;
/// Index of `utime` among the fields of `/proc/PID/stat` after the command name.
const UTIME_FIELD: usize = 11;
/// Index of `stime` among the same fields.
const STIME_FIELD: usize = 12;
const KB_PER_MB: f64 = 1_000.0;

/// Cumulative CPU ticks and current memory of a process at an instant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    at: Instant,
    ticks: f64,
    memory_mb: f64,
}

/// Resource usage of a process over a time window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    /// CPU time as a percentage of one core.
    pub core_percent: f64,
    /// Resident memory at the end of the window, in megabytes.
    pub memory_mb: f64,
}

impl Sample {
    /// Reads the current counters of a process.
    pub fn take(process: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let (_, fields) = stat.rsplit_once(") ").ok_or_else(malformed)?;
        let ticks = |index: usize| fields.split(' ').nth(index)?.parse::<f64>().ok();
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        Ok(Self {
            at: Instant::now(),
            ticks: ticks(UTIME_FIELD).ok_or_else(malformed)?
                + ticks(STIME_FIELD).ok_or_else(malformed)?,
            // `VmRSS` is in units of 1,024 bytes.
            memory_mb: resident.ok_or_else(malformed)? * 1.024 / KB_PER_MB,
        })
    }

    /// Returns the usage between `earlier` and this sample.
    pub fn since(&self, earlier: &Self) -> Usage {
        let elapsed_s = self.at.duration_since(earlier.at).as_secs_f64();
        let cpu_s = (self.ticks - earlier.ticks) / TICKS_PER_S;
        Usage {
            core_percent: cpu_s / elapsed_s * 100.0,
            memory_mb: self.memory_mb,
        }
    }
}

fn malformed() -> Error {
    Error::other("unexpected format of /proc/PID/stat or /proc/PID/status")
}
