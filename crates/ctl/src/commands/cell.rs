//! Hosts, workers, tasks and placements.

use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::Answer;
use crate::client;
use crate::plan;
use crate::render;

pub(super) async fn hosts(client: &client::Client, output: plan::Output) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::HOSTS);
    let hosts: Vec<api::HostView> = client.send_json(&request).await?;
    render::answer(output, &hosts, |hosts| {
        let titles = [
            "HOST",
            "ZONE",
            "ADDRESS",
            "PHASE",
            "GROUPS",
            "SHARDS",
            "FREE",
            "CAPACITY",
            "WAITING",
            "HEARD_MS_AGO",
        ];
        let mut rows = render::Rows::new(&titles);
        for host in hosts {
            let groups = host.groups.iter().map(|group| group.index);
            let shards = host.shards.iter().map(|shard| shard.shard);
            rows.push(vec![
                host.host.to_string(),
                host.zone.to_string(),
                host.address.clone(),
                host.phase.to_string(),
                render::list(groups),
                render::list(shards),
                amount(host.free),
                amount(host.capacity),
                host.waiting_tasks.to_string(),
                host.heard_ms_ago.to_string(),
            ]);
        }
        rows
    })
}

pub(super) async fn workers(
    client: &client::Client,
    output: plan::Output,
) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::WORKERS);
    let workers: Vec<api::WorkerView> = client.send_json(&request).await?;
    render::answer(output, &workers, |workers| {
        let titles = [
            "WORKER",
            "ZONE",
            "RACK",
            "CAPACITY",
            "ASSIGNED",
            "STATE",
            "QUARANTINED",
        ];
        let mut rows = render::Rows::new(&titles);
        for worker in workers {
            rows.push(vec![
                worker.worker.to_string(),
                worker.zone.to_string(),
                worker.rack.to_string(),
                amount(worker.capacity),
                amount(worker.assigned),
                worker.state.clone(),
                worker.quarantined.to_string(),
            ]);
        }
        rows
    })
}

pub(super) async fn explain(
    client: &client::Client,
    output: plan::Output,
    task: &ids::TaskId,
) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::task(task));
    let explanation: api::Explanation = client.send_json(&request).await?;
    render::answer(output, &explanation, |explanation| {
        let mut rows = render::Rows::new(&["TASK", "STATE", "WORKER", "ATTEMPT", "REASON"]);
        rows.push(vec![
            task.to_string(),
            explanation.state.to_string(),
            render::list(&explanation.worker),
            explanation.attempt.to_string(),
            explanation.reason.clone(),
        ]);
        rows
    })
}

pub(super) async fn placements(
    client: &client::Client,
    output: plan::Output,
) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::PLACEMENTS);
    let placements: Vec<api::Placement> = client.send_json(&request).await?;
    render::answer(output, &placements, |placements| {
        let titles = [
            "TASK", "ATTEMPT", "KIND", "TEAM", "WORKER", "ZONE", "RACK", "DEMAND",
        ];
        let mut rows = render::Rows::new(&titles);
        for placement in placements {
            rows.push(vec![
                placement.run.task.to_string(),
                placement.run.attempt.to_string(),
                placement.kind.to_string(),
                placement.team.to_string(),
                placement.worker.to_string(),
                placement.zone.to_string(),
                placement.rack.to_string(),
                amount(placement.demand),
            ]);
        }
        rows
    })
}

/// Processors, memory and accelerators in one cell of a table.
fn amount(amount: work::Resources) -> String {
    format!(
        "{}m/{}MB/{}",
        amount.cpu_milli, amount.memory_mb, amount.accelerators
    )
}
