//! Developer tasks, run as `cargo xtask NAME`.

mod codegen;
#[cfg(feature = "histories")]
mod histories;

use std::process;

use clap::Parser;

/// Developer tasks of hickorychute.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask")]
enum Task {
    /// Writes the message types again from the protobuf definitions.
    Codegen,
    /// Runs whole cells under seeded faults and checks their histories.
    #[cfg(feature = "histories")]
    Histories(histories::Settings),
}

fn main() -> process::ExitCode {
    let result = match Task::parse() {
        Task::Codegen => codegen::run().map(|()| process::ExitCode::SUCCESS),
        #[cfg(feature = "histories")]
        Task::Histories(settings) => histories::run(&settings),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("xtask: {error}");
            process::ExitCode::FAILURE
        }
    }
}
