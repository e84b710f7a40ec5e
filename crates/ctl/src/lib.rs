//! The command-line tool for operators and callers.
//!
//! A run has four steps, each in a module of its own: [`args`] reads the
//! command line as text, [`plan`] checks all of it at once and makes an action,
//! [`client`] speaks to the entry hosts, and `commands` carries the action out
//! and prints the answer. The exit code is that of the error's kind in
//! `kernel::errors`, so that a script can tell "not run" from "unknown".

pub mod args;
pub mod client;
pub mod plan;

mod commands;
mod render;

use std::io::{self, Write};
use std::process;

use clap::Parser;
use kernel::errors;

/// Reads the command line, carries it out and prints the answer.
///
/// Answers go to standard output, errors to standard error.
pub fn main() -> process::ExitCode {
    let args = args::Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(args)),
        Err(error) => Err(errors::Error::with_source(
            errors::ErrorKind::Usage,
            "the runtime did not start",
            error,
        )),
    };
    match result {
        Ok(answer) => {
            // A reader that has gone away is no fault of the request.
            let _ = io::stdout().write_all(&answer.text);
            process::ExitCode::from(answer.exit_code)
        }
        Err(error) => {
            let _ = writeln!(io::stderr(), "{}", describe(&error));
            process::ExitCode::from(error.kind.answer().exit_code)
        }
    }
}

/// What a command prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Bytes for standard output.
    pub text: Vec<u8>,
    /// Exit code.
    pub exit_code: u8,
}

/// Carries out a command line.
///
/// # Errors
///
/// `usage` with every wrong flag or variable, one a line; otherwise what the
/// entry hosts answered.
pub async fn run(args: args::Args) -> errors::Result<Answer> {
    let plan = plan::plan(args)?;
    commands::carry_out(plan).await
}

/// The error for the reader, with what it means for the request.
fn describe(error: &errors::Error) -> String {
    let answer = error.kind.answer();
    let meaning = match answer.outcome {
        errors::Outcome::Done => "it ran",
        errors::Outcome::NotRun if answer.retryable => "not run; try again",
        errors::Outcome::NotRun => "not run",
        errors::Outcome::Unknown => "it is not known whether it ran",
    };
    let mut text = format!("hickoryctl: {} ({meaning}): {}", error.kind, error.detail);
    let mut cause = std::error::Error::source(error);
    while let Some(next) = cause {
        text.push_str("\n  caused by: ");
        text.push_str(&next.to_string());
        cause = next.source();
    }
    text
}
