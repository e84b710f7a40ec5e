//! Stand-ins of the platform and its minions, and the cases that run the project's programs with them.

mod drop;
mod flap;
mod gang;
mod http;
mod json;
mod late;
mod proxy;
mod rebirth;
mod rig;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["worker", id, address, entry_address, rack, store, hold_max_ms, ticket, cpu, kind] => worker::run(
            id,
            address.parse().expect("an address"),
            entry_address.parse().expect("an address"),
            rack,
            store.parse().expect("an address"),
            hold_max_ms.parse().expect("a number"),
            *ticket == "ticket",
            cpu.parse().expect("a number"),
            kind,
        ),
        ["late", program, record] => late::run(program, record),
        ["rebirth", program, record] => rebirth::run(program, record),
        ["gang", program, record] => gang::run(program, record),
        ["flap", program, record] => flap::run(program, record),
        ["drop-attempts", program, record] => drop::attempts(program, record),
        ["drop-ticket", program, record] => drop::ticket(program, record),
        _ => {
            eprintln!("usage: rig-2 CASE PROGRAM RECORD");
            2
        }
    };
    std::process::exit(code);
}
