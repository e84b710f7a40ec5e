//! Tests of the coordinator against a simulated cell.

mod admission;
mod advice;
mod answer_loss;
mod capacity;
mod crashes;
mod end_proofs;
mod ends;
mod gangs;
mod histories;
mod lasting;
mod late_orders;
mod link_budget;
mod load;
mod movement;
mod order;
mod outage;
mod pacing;
mod placement;
mod preferences;
mod records;
mod reservations;
mod routing;
mod support;
mod takeover;
mod trials;
mod workers;
