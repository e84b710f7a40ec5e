//! Developer tasks, run as `cargo xtask NAME`.

mod codegen;
#[cfg(feature = "cell")]
mod histories;
#[cfg(feature = "cell")]
mod measure;
mod rounds;

use std::process;

use clap::Parser;

/// Developer tasks of hickorychute.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask")]
enum Task {
    /// Writes the message types again from the protobuf definitions.
    Codegen,
    /// Runs whole cells under seeded faults and checks their histories.
    #[cfg(feature = "cell")]
    Histories(histories::Settings),
    /// Measures what control costs, for docs/design/capacity-hickoryd.md.
    #[cfg(feature = "cell")]
    Measure(measure::Settings),
    /// Plays the regression set on the users' bench and writes the table of docs/BENCH.md.
    Rounds(rounds::Settings),
}

fn main() -> process::ExitCode {
    let result = match Task::parse() {
        Task::Codegen => codegen::run().map(|()| process::ExitCode::SUCCESS),
        #[cfg(feature = "cell")]
        Task::Histories(settings) => histories::run(&settings),
        #[cfg(feature = "cell")]
        Task::Measure(settings) => measure::run(&settings).map(|()| process::ExitCode::SUCCESS),
        Task::Rounds(settings) => rounds::run(&settings).map(|()| process::ExitCode::SUCCESS),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("xtask: {error}");
            process::ExitCode::FAILURE
        }
    }
}
