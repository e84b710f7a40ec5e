//! Stand-ins of the platform and its minions, and the cases that run the project's programs with them.

mod flap;
mod http;
mod json;
mod rig;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["worker", id, address, rack, store, hold_max_ms] => worker::run(
            id,
            address.parse().expect("an address"),
            rack,
            store.parse().expect("an address"),
            hold_max_ms.parse().expect("a number"),
        ),
        ["flap", program, record] => flap::run(program, record),
        _ => {
            eprintln!("usage: rig-2 CASE PROGRAM RECORD");
            2
        }
    };
    std::process::exit(code);
}
