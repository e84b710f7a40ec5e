//! Structured lines on standard output that never hold the program up.
//!
//! Lines go into a bounded queue that a thread of its own writes out. When standard output does
//! not keep up, lines are left out and counted.

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

/// Lines that wait to be written at most.
const MAX_QUEUED_LINES: usize = 2_000;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Hands each line to the writer's queue, or counts it.
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

/// Starts logging at a level: `error`, `warn`, `info`, `debug` or `off`.
///
/// # Errors
///
/// If logging was started before.
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
            // One write for all lines that wait keeps the number of system calls low.
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
    // Without the thread the queue fills up and lines are counted as left out.
    if thread::Builder::new()
        .stack_size(64 << 10)
        .spawn(writer)
        .is_err()
    {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
