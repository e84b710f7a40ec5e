//! hickorychute: a cluster scheduler for unlike workloads.
//!
//! This package holds the programs; each is a thin start of a library crate.
