//! The command-line tool for operators and callers.
//!
//! [`args`] parses the command line into strings, [`plan`] validates it and
//! produces an action, [`client`] sends requests to the entry hosts, and
//! `commands` executes the action and formats its output. The exit code is
//! derived from the error's kind in `kernel::errors`, so that scripts can
//! distinguish requests that did not run from those with an unknown outcome.

pub mod args;
pub mod client;
pub mod plan;

mod commands;
mod render;

use std::io::{self, Write};
use std::process;

use clap::Parser;
use kernel::errors;

/// Entry point: executes the command line and returns its exit code.
///
/// Results are written to standard output, errors to standard error.
pub fn main() -> process::ExitCode {
    let args = args::Args::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(args)),
        Err(error) => Err(errors::Error::with_source(
            errors::ErrorKind::Usage,
            "failed to start the async runtime",
            error,
        )),
    };
    match result {
        Ok(output) => {
            // A closed standard output does not change the outcome of the request.
            let _ = io::stdout().write_all(&output.stdout);
            process::ExitCode::from(output.exit_code)
        }
        Err(error) => {
            let _ = writeln!(io::stderr(), "{}", format_error(&error));
            process::ExitCode::from(error.kind.answer().exit_code)
        }
    }
}

/// Output and exit code of a completed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Bytes written to standard output.
    pub stdout: Vec<u8>,
    /// Process exit code.
    pub exit_code: u8,
}

/// Validates and executes a command line.
///
/// # Errors
///
/// `usage` listing every invalid flag or variable, one per line; otherwise the
/// error returned by the entry hosts.
pub async fn run(args: args::Args) -> errors::Result<CommandOutput> {
    let plan = plan::plan(args)?;
    commands::execute(plan).await
}

/// Formats an error with the outcome of the request and the chain of causes.
fn format_error(error: &errors::Error) -> String {
    let answer = error.kind.answer();
    let meaning = match answer.outcome {
        errors::Outcome::Done => "it ran",
        errors::Outcome::NotRun if answer.retryable => "not run; try again",
        errors::Outcome::NotRun => "not run",
        errors::Outcome::Unknown => "it is unknown whether it ran",
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
