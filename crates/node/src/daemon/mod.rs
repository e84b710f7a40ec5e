//! The `hickoryd` program: command line and exit code.

mod dev;
mod replay;
mod serve;

use std::process;

use clap::{Parser, Subcommand};
use kernel::errors;

use crate::settings;

/// Entry host of the hickorychute cluster scheduler.
#[derive(Debug, Parser)]
#[command(name = "hickoryd", version)]
struct Arguments {
    /// Log filter, such as info or node=debug.
    #[arg(long, global = true, env = "HICKORY_LOG", default_value = "info")]
    log: String,

    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one entry host until SIGTERM or SIGINT, then drain it
    Serve(Box<settings::ServeSettings>),
    /// Run entry hosts on an embedded stand-in platform and show what was placed
    Dev(dev::DevSettings),
    /// Replay a trace of `serve --record` and check that it yields the same decisions
    Replay(replay::ReplaySettings),
}

/// Runs the program and returns its exit code, which depends on the kind of the error.
pub fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    env_logger::Builder::new()
        .parse_filters(&arguments.log)
        .init();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hickoryd: cannot start: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        match arguments.command {
            Command::Serve(settings) => serve::run(&settings).await,
            Command::Dev(settings) => dev::run(&settings).await,
            Command::Replay(settings) => replay::run(&settings),
        }
    });
    // Do not wait for tasks that are still blocked on the platform.
    runtime.shutdown_background();
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            process::ExitCode::from(error.kind.answer().exit_code)
        }
    }
}

fn print_error(error: &errors::Error) {
    eprintln!("hickoryd: {}", error.detail);
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
}
