//! Command-line entry point `hickory-standin` with its subcommands.

mod balancer;
mod load;
mod platform;
mod proxy;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Router;
use clap::{Parser, Subcommand};
use kernel::errors;
use tokio::net;

use crate::events;

/// Stand-ins for the platform of hickorychute, for trials and tests on one machine.
#[derive(Debug, Parser)]
#[command(name = "hickory-standin", version)]
struct Arguments {
    #[command(subcommand)]
    program: Program,
}

#[derive(Debug, Subcommand)]
enum Program {
    /// Serves the store, the worker list, the workers and their minions over HTTP.
    Platform(platform::Settings),
    /// Forwards TCP connections to the backends that are ready.
    Balancer(balancer::Settings),
    /// Forwards TCP connections; can refuse or stall them on request.
    Proxy(proxy::Settings),
    /// Sends requests at a constant rate and reports outcomes and latencies.
    Load(load::Settings),
}

/// Runs the subcommand given on the command line.
pub fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&to_error("cannot start the runtime", error)),
    };
    match runtime.block_on(run(arguments.program)) {
        Ok(()) => ExitCode::from(errors::EXIT_DONE),
        Err(error) => fail(&error),
    }
}

async fn run(program: Program) -> errors::Result<()> {
    match program {
        Program::Platform(settings) => platform::run(settings).await,
        Program::Balancer(settings) => balancer::run(settings).await,
        Program::Proxy(settings) => proxy::run(settings).await,
        Program::Load(settings) => load::run(settings).await,
    }
}

fn fail(error: &errors::Error) -> ExitCode {
    kernel::log_event!(events::FAILED, "{error}");
    let source = error.source.as_ref();
    let cause = source
        .map(|source| format!(": {source}"))
        .unwrap_or_default();
    eprintln!("hickory-standin: {}{cause}", error.detail);
    ExitCode::from(error.kind.answer().exit_code)
}

fn to_error(
    detail: &str,
    error: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> errors::Error {
    errors::Error::with_source(errors::ErrorKind::Usage, detail, error)
}

/// Binds an address and returns the listener with its actual local address.
async fn listen(address: SocketAddr) -> errors::Result<(net::TcpListener, SocketAddr)> {
    let bound = net::TcpListener::bind(address).await;
    let listener =
        bound.map_err(|error| to_error(&format!("cannot listen on {address}"), error))?;
    let local = listener.local_addr();
    let local =
        local.map_err(|error| to_error("cannot read the local address of the listener", error))?;
    kernel::log_event!(events::LISTENING, "{local}");
    Ok((listener, local))
}

async fn serve(listener: net::TcpListener, router: Router) -> errors::Result<()> {
    let served = axum::serve(listener, router).await;
    served.map_err(|error| to_error("the server ended", error))
}

/// Milliseconds since the Unix epoch (1970); distinguishes the histories and runs of several processes.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
