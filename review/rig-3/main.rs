//! Cases of the third review that are scripts. Usage: `rig CASE RECORD`, with `TROUBLE=0` for the same
//! without the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cell;
mod checkpoints;
mod crash;
mod http;
mod json;
mod occurrences;
mod queue;
mod record;
mod store;
mod worker;

use std::{env, path::Path, process};

/// What a case has found.
pub struct Outcome {
    pub broken: Vec<String>,
    /// Why the case says nothing, if so.
    pub void: Option<String>,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let (record, outcome) = match case.as_str() {
        "checkpoints" => checkpoints::run(trouble),
        "crash" => crash::run(trouble),
        "occurrences" => occurrences::run(trouble),
        "attempts" => queue::attempts(trouble),
        "ticket" => queue::ticket(trouble),
        _ => {
            eprintln!("unknown case {case}");
            process::exit(2);
        }
    };
    for broken in &outcome.broken {
        record.say("verdict", broken.clone());
        println!("broken: {broken}");
    }
    if let Some(void) = &outcome.void {
        record.say("verdict", format!("says nothing: {void}"));
        println!("says nothing: {void}");
    }
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("{path}: {error}");
        process::exit(2);
    }
    if !outcome.broken.is_empty() {
        process::exit(1);
    }
    process::exit(if outcome.void.is_some() { 2 } else { 0 });
}
