//! Prints the results of the queueing model as a table.

use std::env;

use calls::load_model;
use calls::load_model::CallPath;
use calls::load_model::Workload;
use hickorychute_calls as calls;

const LOADS: [f64; 5] = [0.5, 0.9, 1.0, 1.5, 3.0];

fn print_results(label: &str, case: &load_model::LoadCase) {
    let results = load_model::run(case);
    println!(
        "{label:<32} {:>4.0}% answered/s {:>6.0} slots {:>5.1}% refused {:>5.1}% late {:>5.2}% retries {:>4.1}% \
         network {:>5.1} ms quota min {:>5.1}% mean {:>5.1}% open {} link {:>5.0} B/call",
        case.load * 100.0,
        results.answered_per_s,
        results.useful_slot_share * 100.0,
        results.refused_share * 100.0,
        results.late_share * 100.0,
        results.retry_share * 100.0,
        results.network_ms,
        results.quota_share_min * 100.0,
        results.quota_share_mean * 100.0,
        results.open_calls_max,
        results.link_bytes_per_call,
    );
    for class in &results.classes {
        println!(
            "    {:<16} offered {:>7} answered {:>7} wait ms p50 {:>7.1} p99 {:>7.1} p99.9 {:>7.1} response p50 {:>7.1}",
            class.name,
            class.offered,
            class.answered,
            class.wait.p50_ms,
            class.wait.p99_ms,
            class.wait.p999_ms,
            class.response.p50_ms,
        );
    }
}

/// Variants of the default case, by their name on the command line.
fn variants() -> Vec<(&'static str, load_model::LoadCase)> {
    let base = load_model::LoadCase::default();
    let path = |path| load_model::LoadCase { path, ..base };
    let order = |order| load_model::LoadCase { order, ..base };
    vec![
        ("owner_forwarded", base),
        ("credits", path(CallPath::Credits)),
        ("fixed_shares", path(CallPath::FixedShares)),
        (
            "gossip_only",
            load_model::LoadCase {
                load_in_responses: false,
                ..base
            },
        ),
        (
            "even_hosts",
            load_model::LoadCase {
                balance_by_zone: false,
                ..base
            },
        ),
        ("newest_first", order(calls::QueueOrder::NewestFirst)),
        (
            "earliest_deadline",
            order(calls::QueueOrder::EarliestDeadline),
        ),
    ]
}

/// Runs the variants named on the command line, or all of them. A number sets the seed.
fn main() {
    let arguments = env::args().skip(1);
    let (seeds, wanted): (Vec<String>, Vec<String>) =
        arguments.partition(|argument| argument.parse::<u64>().is_ok());
    let seed = seeds.first().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(load_model::LoadCase::default().seed);
    for (name, base) in variants() {
        if !wanted.is_empty() && !wanted.iter().any(|wanted| wanted == name) {
            continue;
        }
        for workload in [Workload::Huber, Workload::Association] {
            for load in LOADS {
                let case = load_model::LoadCase {
                    seed,
                    workload,
                    load,
                    ..base
                };
                print_results(&format!("{workload} {name}"), &case);
            }
        }
    }
}
