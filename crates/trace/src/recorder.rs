//! Writes traces from a background thread, so that recording never blocks a decision.

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

/// Default limit on the size of a trace file.
pub const MAX_FILE_BYTES: u64 = 256 * 1_024 * 1_024;
/// Default capacity of the channel to the writer thread.
const CHANNEL_CAPACITY_LINES: usize = 16_384;

/// Limits of a [`Recorder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecorderConfig {
    /// Maximum size of the file, in bytes; recording stops before the line that would exceed it.
    pub max_file_bytes: u64,
    /// Capacity of the channel to the writer thread, in lines; further lines are dropped.
    pub channel_capacity_lines: usize,
}

impl Default for RecorderConfig {
    fn default() -> Self {
        Self {
            max_file_bytes: MAX_FILE_BYTES,
            channel_capacity_lines: CHANNEL_CAPACITY_LINES,
        }
    }
}

/// Records the calls on the groups of a host to a file.
///
/// Clones write to the same file. Dropping the last one waits until the queued lines are written.
#[derive(Clone, Debug)]
pub struct Recorder {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// `None` while dropping, so that the writer thread sees the channel close.
    sender: Option<SyncSender<Entry>>,
    writer: Mutex<Option<thread::JoinHandle<()>>>,
    next_instance: AtomicU64,
    dropped: AtomicU64,
}

impl Recorder {
    /// Creates the file, or truncates an existing one, and starts the writer thread.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if the file cannot be created, and
    /// [`errors::ErrorKind::Internal`] if the thread cannot be started.
    pub fn create(path: &Path, config: RecorderConfig) -> errors::Result<Self> {
        let file = File::create(path).map_err(|source| {
            let detail = format!("cannot create trace file {}", path.display());
            errors::Error::with_source(errors::ErrorKind::Usage, detail, source)
        })?;
        let (sender, receiver) = sync_channel(config.channel_capacity_lines);
        let writer = thread::Builder::new()
            .name("trace-recorder".to_owned())
            .spawn(move || write_lines(file, &receiver, config.max_file_bytes))
            .map_err(|source| {
                let detail = "cannot start the trace writer thread";
                errors::Error::with_source(errors::ErrorKind::Internal, detail, source)
            })?;
        kernel::log_event!(events::RECORDING, "{}", path.display());
        Ok(Self {
            inner: Arc::new(Inner {
                sender: Some(sender),
                writer: Mutex::new(Some(writer)),
                next_instance: AtomicU64::new(0),
                dropped: AtomicU64::new(0),
            }),
        })
    }

    /// Returns the number of lines dropped because the channel was full or recording had stopped.
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn next_instance(&self) -> u64 {
        self.inner.next_instance.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a line for the writer thread; drops and counts it if the channel is full or closed.
    pub(crate) fn push(&self, entry: Entry) {
        let Some(sender) = &self.inner.sender else {
            return;
        };
        if sender.try_send(entry).is_ok() {
            return;
        }
        let dropped = self.inner.dropped.fetch_add(1, Ordering::Relaxed) + 1;
        // Logging at powers of two only bounds the number of log lines.
        if dropped.is_power_of_two() {
            kernel::log_event!(events::DROPPED, "{dropped} lines so far");
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.sender = None;
        let writer = self
            .writer
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(writer) = writer {
            // The panic hook has already reported a panic of the writer thread.
            let _ = writer.join();
        }
    }
}

/// Writes lines until the channel closes, the size limit is reached or a write fails.
///
/// The buffer is flushed whenever the channel is empty.
fn write_lines(file: File, lines: &Receiver<Entry>, max_file_bytes: u64) {
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
        if written_bytes > max_file_bytes {
            kernel::log_event!(events::FULL, "{max_file_bytes} bytes");
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
