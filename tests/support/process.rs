//! A child process that ends with its test.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const LINE_LIMIT: Duration = Duration::from_secs(20);

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program whose standard output is read line by line.
    pub fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .env("HICKORY_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {program}: {error}"));
        let (sender, lines) = channel();
        let output = child.stdout.take().expect("standard output is piped");
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for a line that starts with a prefix.
    pub fn wait_for_line(&mut self, prefix: &str) -> String {
        let started = Instant::now();
        loop {
            let left = LINE_LIMIT.saturating_sub(started.elapsed());
            let line = self
                .lines
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no line with {prefix:?} in time"));
            if line.starts_with(prefix) {
                return line;
            }
        }
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Waits until the process ends.
    pub fn wait(&mut self, limit: Duration) -> ExitStatus {
        const POLL: Duration = Duration::from_millis(20);
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            assert!(
                started.elapsed() < limit,
                "the process has not ended in time"
            );
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
