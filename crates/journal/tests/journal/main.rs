//! Tests of the journal.

mod claims;
mod driver;
mod faults;
mod support;
