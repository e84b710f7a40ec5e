//! The wide failure search: seeded runs of a whole cell, each checked.

use std::error;
use std::io::{self, Write as _};
use std::num::NonZeroUsize;
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time;

use ::histories::{FaultKind, HistoryOutcome, Plan};
use clap::Args;

/// Settings of the search.
#[derive(Debug, Args)]
pub struct Settings {
    /// Number of runs, each with a seed of its own.
    #[arg(long, default_value_t = 300, conflicts_with = "seed")]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 0, conflicts_with = "seed")]
    first: u64,
    /// Kinds of faults in every run, as `kill_host,store_down`; drawn by the seed if left out.
    #[arg(long, value_delimiter = ',', value_parser = kind)]
    kinds: Vec<FaultKind>,
    /// Threads that run histories; by default one for each processor.
    #[arg(long)]
    threads: Option<NonZeroUsize>,
    /// Runs this seed alone.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the whole history of the run as JSON, one event a line.
    #[arg(long, requires = "seed")]
    trace: bool,
}

fn kind(name: &str) -> Result<FaultKind, String> {
    FaultKind::from_name(name).ok_or_else(|| {
        let names: Vec<String> = FaultKind::ALL.iter().map(ToString::to_string).collect();
        format!("expected one of {}", names.join(", "))
    })
}

/// Runs the histories and prints what they violate; an exit code of 1 says that something was.
///
/// A run that never settles after everything was healed counts as one violation.
///
/// # Errors
///
/// If the output cannot be written.
pub fn run(settings: &Settings) -> Result<process::ExitCode, Box<dyn error::Error>> {
    let started = time::Instant::now();
    let (count, violations) = match settings.seed {
        Some(seed) => (1, run_one(settings, seed)?),
        None => (settings.seeds, search(settings)),
    };
    let elapsed_s = started.elapsed().as_secs_f64();
    // The trace goes to standard output, where nothing else may stand between its lines.
    eprintln!("wall time {elapsed_s:.1} s");
    if !settings.trace {
        println!("{count} histories, {violations} violations");
    }
    Ok(if violations > 0 {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    })
}

fn plan(settings: &Settings, seed: u64) -> Plan {
    if settings.kinds.is_empty() {
        Plan::any(seed)
    } else {
        Plan::of(seed, &settings.kinds)
    }
}

/// Runs one seed and returns its number of violations.
fn run_one(settings: &Settings, seed: u64) -> Result<u64, Box<dyn error::Error>> {
    let plan = plan(settings, seed);
    let outcome = ::histories::run(&plan);
    if settings.trace {
        let mut output = io::BufWriter::new(io::stdout().lock());
        for record in &outcome.records {
            serde_json::to_writer(&mut output, record)?;
            output.write_all(b"\n")?;
        }
        output.flush()?;
    }
    let faults = faults(&outcome);
    for fault in &faults {
        eprintln!("seed {seed} ({}): {fault}", plan.describe());
    }
    Ok(faults.len() as u64)
}

/// Runs all seeds on several threads and returns the number of violations.
fn search(settings: &Settings) -> u64 {
    let next = AtomicU64::new(settings.first);
    let end = settings.first.saturating_add(settings.seeds);
    let violations = AtomicU64::new(0);
    let threads = settings
        .threads
        .or_else(|| thread::available_parallelism().ok());
    thread::scope(|scope| {
        for _ in 0..threads.map_or(1, NonZeroUsize::get) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let found = search_seed(settings, seed);
                    violations.fetch_add(found, Ordering::Relaxed);
                }
            });
        }
    });
    violations.into_inner()
}

fn search_seed(settings: &Settings, seed: u64) -> u64 {
    let plan = plan(settings, seed);
    let faults = faults(&::histories::run(&plan));
    if !faults.is_empty() {
        println!("seed {seed} ({}): {}", plan.describe(), faults.join("; "));
    }
    faults.len() as u64
}

fn faults(outcome: &HistoryOutcome) -> Vec<String> {
    let mut faults: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    if outcome.settled_ms.is_none() {
        faults.push("never settled".to_owned());
    }
    faults
}
