//! A cell of real processes under faults: hosts and workers are processes, links are proxies.

mod checker;
mod checker_cases;
mod clients;
mod proxy;
mod random;
mod rig;
mod scenarios;
mod tenant_checker;
mod tenant_checker_cases;
mod tenant_random;
mod tenant_scenarios;
mod tenants;

use std::{hint, os::unix::process as unix};

use platform_standin::process::{self, ProcessConfig};

/// Entry point of worker processes: the rig executes this test program again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs until it is signalled; the rig starts it"]
async fn worker_process() {
    let config = ProcessConfig::from_env().expect("the rig sets the configuration");
    process::run(config).await;
}

/// Entry point of processes that only use processor time.
#[test]
#[ignore = "runs until it is killed; the rig starts it"]
fn spinning_process() {
    let parent = unix::parent_id();
    while unix::parent_id() == parent {
        for _ in 0..1_000_000 {
            hint::spin_loop();
        }
    }
}
