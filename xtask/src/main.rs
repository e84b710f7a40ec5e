//! Developer tasks, run as `cargo xtask NAME`.

mod codegen;
mod measure;

use std::process;

use clap::Parser;

/// Developer tasks of hickorychute.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask")]
enum Task {
    /// Writes the message types again from the protobuf definitions.
    Codegen,
    /// Measures what control costs, for docs/CAPACITY.md.
    Measure(measure::Settings),
}

fn main() -> process::ExitCode {
    let result = match Task::parse() {
        Task::Codegen => codegen::run(),
        Task::Measure(settings) => measure::run(&settings),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            process::ExitCode::FAILURE
        }
    }
}
