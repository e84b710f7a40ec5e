//! A child process that ends with its measurement.

use std::io::{BufRead, BufReader, Error};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use crate::error::Result;

/// A child process; ended when dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
    ready: String,
}

impl Process {
    /// Starts a program and reads the line with which it says that it is ready.
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
            ready: String::new(),
        };
        if let Some(output) = output {
            BufReader::new(output).read_line(&mut process.ready)?;
        }
        Ok(process)
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The value of `NAME=VALUE` in the line.
    pub fn ready_field(&self, name: &str) -> Result<String> {
        let mut fields = self.ready.split_whitespace();
        let value = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        let missing = || Error::other(format!("no {name} in {:?}", self.ready));
        Ok(value.ok_or_else(missing)?.to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
