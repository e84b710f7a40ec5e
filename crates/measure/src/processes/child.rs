//! Child processes of a measurement.

use std::io::{BufRead, BufReader, Error};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use crate::error::Result;

/// A child process that is killed when dropped.
#[derive(Debug)]
pub(super) struct ChildProcess {
    child: Child,
    ready_line: String,
}

impl ChildProcess {
    /// Spawns a program and waits for the line that it prints once it is ready.
    pub fn start(program: &Path, arguments: &[&str]) -> Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .env("HICKORY_LOG", "error")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take();
        let mut process = Self {
            child,
            ready_line: String::new(),
        };
        if let Some(output) = output {
            BufReader::new(output).read_line(&mut process.ready_line)?;
        }
        Ok(process)
    }

    /// The operating system's process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the value of the `name=value` field in the ready line.
    pub fn ready_field(&self, name: &str) -> Result<String> {
        let mut fields = self.ready_line.split_whitespace();
        let value = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        let missing = || {
            Error::other(format!(
                "field {name} is missing in the ready line {:?}",
                self.ready_line
            ))
        };
        Ok(value.ok_or_else(missing)?.to_owned())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
