//! The daemon of an entry host on the users' platform.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use hickorychute_entry::{check_config, daemon, logs};

/// Command line of the program; without a command it is an entry host.
#[derive(Debug, Parser)]
#[command(version, about = "Entry host of a hickorychute cell")]
struct CommandLine {
    #[command(flatten)]
    host: daemon::Arguments,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a configuration before it is sent.
    ///
    /// Exit code 0 if it has no errors, 1 if it has, 2 if a file cannot be read.
    CheckConfig(check_config::Arguments),
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let arguments = match command_line.command {
        Some(Command::CheckConfig(arguments)) => return check_config::run(&arguments),
        None => command_line.host,
    };
    if let Err(error) = logs::start(&arguments.log_level) {
        eprintln!("cannot start logging: {error}");
        return ExitCode::FAILURE;
    }
    match daemon::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
