//! Real entry hosts against the stand-in platform.

mod failures;
mod path;
mod support;
