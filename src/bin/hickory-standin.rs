//! `hickory-standin`: stand-ins for the platform.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    standin::cli::main()
}
