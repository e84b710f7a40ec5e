//! Writes a trace without delaying decisions.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use kernel::errors;

use crate::call::Entry;
use crate::events;

/// Largest size of a trace file, in bytes.
pub const FILE_LIMIT_BYTES: u64 = 256 * 1_024 * 1_024;
/// Lines that may wait for the disk.
const CHANNEL_LINES: usize = 16_384;

/// Limits of a [`Recorder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecorderConfig {
    /// Largest size of the file, in bytes; recording ends before the line that goes beyond.
    pub file_limit_bytes: u64,
    /// Lines that may wait for the disk; more are dropped.
    pub channel_lines: usize,
}

impl Default for RecorderConfig {
    fn default() -> Self {
        Self {
            file_limit_bytes: FILE_LIMIT_BYTES,
            channel_lines: CHANNEL_LINES,
        }
    }
}

/// Takes the lines of a host's groups and writes them to a file.
///
/// Clones write to the same file; it is whole once the last of them is dropped.
#[derive(Clone, Debug)]
pub struct Recorder {
    tape: Arc<Tape>,
}

#[derive(Debug)]
struct Tape {
    /// `None` once the tape is being dropped.
    lines: Option<SyncSender<Entry>>,
    writer: Mutex<Option<thread::JoinHandle<()>>>,
    instances: AtomicU64,
    dropped: AtomicU64,
}

impl Recorder {
    /// Makes the file and the thread that writes it; an old file is replaced.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if the file cannot be made, and
    /// [`errors::ErrorKind::Internal`] if the thread cannot be started.
    pub fn create(path: &Path, config: RecorderConfig) -> errors::Result<Self> {
        let file = File::create(path).map_err(|source| {
            let detail = format!("cannot record to {}", path.display());
            errors::Error::with_source(errors::ErrorKind::Usage, detail, source)
        })?;
        let (sender, receiver) = sync_channel(config.channel_lines);
        let writer = thread::Builder::new()
            .name("trace-recorder".to_owned())
            .spawn(move || write_lines(file, &receiver, config.file_limit_bytes))
            .map_err(|source| {
                let detail = "cannot start the thread that records";
                errors::Error::with_source(errors::ErrorKind::Internal, detail, source)
            })?;
        kernel::log_event!(events::RECORDING, "{}", path.display());
        Ok(Self {
            tape: Arc::new(Tape {
                lines: Some(sender),
                writer: Mutex::new(Some(writer)),
                instances: AtomicU64::new(0),
                dropped: AtomicU64::new(0),
            }),
        })
    }

    /// Lines that were dropped because the disk was too slow or recording had ended.
    pub fn dropped(&self) -> u64 {
        self.tape.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn next_instance(&self) -> u64 {
        self.tape.instances.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands a line over; drops and counts it if too many wait.
    pub(crate) fn push(&self, entry: Entry) {
        let Some(lines) = &self.tape.lines else {
            return;
        };
        if lines.try_send(entry).is_ok() {
            return;
        }
        let dropped = self.tape.dropped.fetch_add(1, Ordering::Relaxed) + 1;
        // Doubling distances keep the log short however many are dropped.
        if dropped.is_power_of_two() {
            kernel::log_event!(events::DROPPED, "{dropped} lines so far");
        }
    }
}

impl Drop for Tape {
    fn drop(&mut self) {
        self.lines = None;
        let writer = self
            .writer
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(writer) = writer {
            // A writer that panicked has said so itself.
            let _ = writer.join();
        }
    }
}

/// Writes lines until all senders are gone, the file is full or a write fails.
fn write_lines(file: File, lines: &Receiver<Entry>, limit_bytes: u64) {
    let mut file = BufWriter::new(file);
    let mut written_bytes = 0;
    let result = loop {
        let entry = match lines.try_recv() {
            Ok(entry) => entry,
            Err(TryRecvError::Disconnected) => break file.flush(),
            Err(TryRecvError::Empty) => {
                if let Err(error) = file.flush() {
                    break Err(error);
                }
                let Ok(entry) = lines.recv() else {
                    break Ok(());
                };
                entry
            }
        };
        let mut line = match serde_json::to_vec(&entry) {
            Ok(line) => line,
            Err(error) => break Err(error.into()),
        };
        line.push(b'\n');
        written_bytes += line.len() as u64;
        if written_bytes > limit_bytes {
            kernel::log_event!(events::FULL, "{limit_bytes} bytes");
            break file.flush();
        }
        if let Err(error) = file.write_all(&line) {
            break Err(error);
        }
    };
    if let Err(error) = result {
        kernel::log_event!(events::WRITE_FAILED, "{error}");
    }
}
