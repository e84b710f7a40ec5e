//! Non-blocking logging to standard output.
//!
//! Lines go into a bounded queue, written by a dedicated thread. When standard output cannot keep
//! up, lines are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use env_logger::Target;
use log::{LevelFilter, SetLoggerError};

use crate::clock;

/// Maximum number of lines waiting to be written.
const MAX_QUEUED_LINES: usize = 2_000;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sends each line to the writer thread, or counts it as dropped if the queue is full.
#[derive(Debug)]
struct LogQueue {
    lines: mpsc::SyncSender<Vec<u8>>,
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging at a level: `error`, `warn`, `info`, `debug` or `off`. An invalid level counts as
/// `info`.
///
/// # Errors
///
/// [`SetLoggerError`] if a logger is already set.
pub fn start(level: &str) -> Result<(), SetLoggerError> {
    let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    env_logger::Builder::new()
        .filter_level(level.parse().unwrap_or(LevelFilter::Info))
        .format(|line, record| {
            let level = record.level().as_str();
            writeln!(line, "{} {level} {}", clock::unix_ms(), record.args())
        })
        .target(Target::Pipe(Box::new(LogQueue { lines })))
        .try_init()?;
    let writer = move || {
        let mut out = io::stdout();
        while let Ok(mut text) = queue.recv() {
            // One write for all waiting lines reduces the number of system calls.
            while text.len() < 16 << 10
                && let Ok(more) = queue.try_recv()
            {
                text.extend_from_slice(&more);
            }
            if out.write_all(&text).and_then(|()| out.flush()).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    // Without the thread the queue fills up, and lines are counted as dropped.
    if thread::Builder::new()
        .stack_size(64 << 10)
        .spawn(writer)
        .is_err()
    {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
