//! A cell of real processes under faults: hosts and workers are processes, links are proxies.

mod checker;
mod clients;
mod proxy;
mod rig;
mod scenarios;

use platform_standin::process::{self, ProcessConfig};

/// Entry point of worker processes: the rig executes this test program again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "runs until it is signalled; the rig starts it"]
async fn worker_process() {
    let config = ProcessConfig::from_env().expect("the rig sets the configuration");
    process::run(config).await;
}
