//! Scratch.
fn main() {
    env_logger::init();
    let seed: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    let plan = hickorychute_histories::Plan::any(seed);
    let o = hickorychute_histories::run(&plan);
    let f = std::env::args().nth(2).unwrap_or_default();
    if !f.is_empty() {
        for r in &o.records {
            let l = serde_json::to_string(r).unwrap();
            if l.contains(&f) {
                println!("{l}");
            }
        }
    }
    println!("{}", plan.describe());
    for v in &o.violations {
        println!("{v}");
    }
    println!("{:?} {:#?}", o.settled_ms, o.unsettled);
}
