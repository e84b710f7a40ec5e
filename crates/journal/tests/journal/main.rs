//! Tests of the journal.

mod driver;
mod faults;
mod support;
