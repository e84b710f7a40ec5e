//! Tests of the coordinator's decisions against a small model of workers.

mod admission;
mod advice;
mod gangs;
mod histories;
mod lasting;
mod load;
mod movement;
mod order;
mod pacing;
mod placement;
mod support;
mod takeover;
mod workers;
