//! The daemon of an entry host on the users' platform.

use std::process::ExitCode;

use clap::Parser;
use hickorychute_entry::{daemon, logs};

fn main() -> ExitCode {
    let arguments = daemon::Arguments::parse();
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
