//! The command that checks a configuration before the operators send it.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

use adapter::config_check;
use cell::config_check::Severity;
use clap::Args;

/// Exit code if the configuration has errors.
const HAS_ERRORS: u8 = 1;
/// Exit code if a file cannot be read.
const NOT_READ: u8 = 2;

/// Arguments of the command.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Configuration to check.
    pub file: PathBuf,
    /// Configuration in force, to list what changes.
    #[arg(long, value_name = "FILE")]
    pub in_force: Option<PathBuf>,
}

/// Checks the configuration and prints the findings.
pub fn run(arguments: &Arguments) -> ExitCode {
    match check(arguments) {
        Ok(report) => {
            // A reader that has seen enough may have closed the pipe.
            let _ = write!(io::stdout().lock(), "{report}");
            match report.count(Severity::Error) {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(HAS_ERRORS),
            }
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(NOT_READ)
        }
    }
}

fn check(arguments: &Arguments) -> Result<config_check::Report, String> {
    let value = read(&arguments.file)?;
    let in_force = arguments.in_force.as_deref();
    let known = in_force.map(read).transpose()?;
    config_check::check(&value, known.as_deref()).map_err(|error| {
        let path = in_force.unwrap_or(Path::new(""));
        format!("cannot read {}: {error}", path.display())
    })
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    fs::read(path).map_err(|error| format!("cannot read {}: {error}", path.display()))
}
