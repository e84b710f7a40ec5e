//! Generates the message types of the wire crate from its protobuf definitions; the output is committed.

use std::error;
use std::path;

const PROTO_DIR: &str = "crates/wire/proto";
const PROTO_FILE: &str = "crates/wire/proto/hickorychute.proto";
const OUT_DIR: &str = "crates/wire/src/generated";

/// Writes the generated code into the wire crate.
///
/// # Errors
///
/// If the definitions are invalid or the output cannot be written.
pub fn run() -> Result<(), Box<dyn error::Error>> {
    let descriptors = protox::compile([PROTO_FILE], [PROTO_DIR])?;
    let mut config = prost_build::Config::new();
    config.out_dir(OUT_DIR);
    config.bytes(["."]);
    config.default_package_filename("hickorychute_wire");
    config.compile_fds(descriptors)?;
    let written = path::Path::new(OUT_DIR).join("hickorychute.wire.rs");
    std::fs::rename(
        written,
        path::Path::new(OUT_DIR).join("hickorychute_wire.rs"),
    )?;
    Ok(())
}
