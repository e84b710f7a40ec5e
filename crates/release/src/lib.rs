//! Placeholder header; the crate's modules follow.
