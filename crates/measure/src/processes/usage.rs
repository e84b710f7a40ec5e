//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::io::Error;
use std::time::Instant;

use crate::error::Result;

/// Clock ticks a second in `/proc`, which Linux fixes for programs.
const TICKS_PER_S: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the program's name.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const KB_PER_MB: f64 = 1_000.0;

/// What a process had used at an instant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    at: Instant,
    ticks: f64,
    memory_mb: f64,
}

/// What a process used in a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Used {
    /// Processor time in hundredths of a core.
    pub core_percent: f64,
    /// Resident memory at the end of the window.
    pub memory_mb: f64,
}

impl Sample {
    /// Reads what a process has used so far.
    pub fn take(process: u32) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let (_, fields) = stat.rsplit_once(") ").ok_or_else(unreadable)?;
        let ticks = |at: usize| fields.split(' ').nth(at)?.parse::<f64>().ok();
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        Ok(Self {
            at: Instant::now(),
            ticks: ticks(USER_TICKS).ok_or_else(unreadable)?
                + ticks(SYSTEM_TICKS).ok_or_else(unreadable)?,
            // The kernel's kB are of 1,024 bytes.
            memory_mb: resident.ok_or_else(unreadable)? * 1.024 / KB_PER_MB,
        })
    }

    /// What was used since an earlier sample.
    pub fn since(&self, earlier: &Self) -> Used {
        let elapsed_s = self.at.duration_since(earlier.at).as_secs_f64();
        let spent_s = (self.ticks - earlier.ticks) / TICKS_PER_S;
        Used {
            core_percent: spent_s / elapsed_s * 100.0,
            memory_mb: self.memory_mb,
        }
    }
}

fn unreadable() -> Error {
    Error::other("the figures of a process cannot be read")
}
