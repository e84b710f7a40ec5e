//! Tests of the journal.

mod budget;
mod claims;
mod driver;
mod faults;
mod group_reports;
mod measure;
mod state;
mod support;
