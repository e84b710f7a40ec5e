//! Runs the measurements behind `docs/CAPACITY.md`.

use std::env;
use std::error;
use std::process;

use clap::{Args, ValueEnum};

/// How the figures are printed.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Output {
    /// Two tables: figures and lines.
    Table,
    /// One JSON array.
    Json,
}

/// What to measure.
#[derive(Debug, Args)]
pub struct Settings {
    /// Only the smallest sizes, and no processes.
    #[arg(long)]
    quick: bool,
    /// All sizes, but no processes.
    #[arg(long)]
    no_processes: bool,
    /// How to print the figures.
    #[arg(long, value_enum, default_value = "table")]
    output: Output,
}

/// Measures and prints.
///
/// # Errors
///
/// If the programs cannot be built or a measurement cannot be made.
pub fn run(settings: &Settings) -> Result<(), Box<dyn error::Error>> {
    let report = if settings.quick {
        ::measure::run(&::measure::Scale::quick(), None)?
    } else if settings.no_processes {
        ::measure::run(&::measure::Scale::full(), None)?
    } else {
        build_programs()?;
        let own = env::current_exe()?;
        ::measure::run(&::measure::Scale::full(), own.parent())?
    };
    match settings.output {
        Output::Table => println!("{}", report.to_table()),
        Output::Json => println!("{}", report.to_json()?),
    }
    Ok(())
}

/// Builds the programs beside this one, which is a release build itself.
fn build_programs() -> Result<(), Box<dyn error::Error>> {
    let arguments = ["build", "--release", "--quiet", "--package", "hickorychute"];
    let status = process::Command::new("cargo").args(arguments).status()?;
    if status.success() {
        return Ok(());
    }
    Err("the programs do not build".into())
}
