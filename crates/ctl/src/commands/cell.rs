//! The `hosts`, `workers`, `explain` and `placements` commands.

use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::CommandOutput;
use crate::client;
use crate::plan;
use crate::render;

pub(super) async fn hosts(
    client: &client::Client,
    output: plan::OutputFormat,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::HOSTS);
    let hosts: Vec<api::HostView> = client.send_json(&request).await?;
    render::format_output(output, &hosts, |hosts| {
        let header = [
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
        let mut rows = render::TableRows::new(&header);
        for host in hosts {
            let groups = host.groups.iter().map(|group| group.index);
            let shards = host.shards.iter().map(|shard| shard.shard);
            rows.push(vec![
                host.host.to_string(),
                host.zone.to_string(),
                host.address.clone(),
                host.phase.to_string(),
                render::join_or_dash(groups),
                render::join_or_dash(shards),
                format_resources(host.free),
                format_resources(host.capacity),
                host.waiting_tasks.to_string(),
                host.heard_ms_ago.to_string(),
            ]);
        }
        rows
    })
}

pub(super) async fn workers(
    client: &client::Client,
    output: plan::OutputFormat,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::WORKERS);
    let workers: Vec<api::WorkerView> = client.send_json(&request).await?;
    render::format_output(output, &workers, |workers| {
        let header = [
            "WORKER",
            "ZONE",
            "RACK",
            "CAPACITY",
            "ASSIGNED",
            "STATE",
            "QUARANTINED",
        ];
        let mut rows = render::TableRows::new(&header);
        for worker in workers {
            rows.push(vec![
                worker.worker.to_string(),
                worker.zone.to_string(),
                worker.rack.to_string(),
                format_resources(worker.capacity),
                format_resources(worker.assigned),
                worker.state.clone(),
                worker.quarantined.to_string(),
            ]);
        }
        rows
    })
}

pub(super) async fn explain(
    client: &client::Client,
    output: plan::OutputFormat,
    task: &ids::TaskId,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::task(task));
    let explanation: api::Explanation = client.send_json(&request).await?;
    render::format_output(output, &explanation, |explanation| {
        let mut rows = render::TableRows::new(&["TASK", "STATE", "WORKER", "ATTEMPT", "REASON"]);
        rows.push(vec![
            task.to_string(),
            explanation.state.to_string(),
            render::join_or_dash(&explanation.worker),
            explanation.attempt.to_string(),
            explanation.reason.clone(),
        ]);
        rows
    })
}

pub(super) async fn placements(
    client: &client::Client,
    output: plan::OutputFormat,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::PLACEMENTS);
    let placements: Vec<api::Placement> = client.send_json(&request).await?;
    render::format_output(output, &placements, |placements| {
        let header = [
            "TASK", "ATTEMPT", "KIND", "TEAM", "WORKER", "ZONE", "RACK", "DEMAND",
        ];
        let mut rows = render::TableRows::new(&header);
        for placement in placements {
            rows.push(vec![
                placement.run.task.to_string(),
                placement.run.attempt.to_string(),
                placement.kind.to_string(),
                placement.team.to_string(),
                placement.worker.to_string(),
                placement.zone.to_string(),
                placement.rack.to_string(),
                format_resources(placement.demand),
            ]);
        }
        rows
    })
}

/// Formats resources as millicores, memory in mebibytes and accelerators.
fn format_resources(resources: work::Resources) -> String {
    format!(
        "{}m/{}MB/{}",
        resources.cpu_milli, resources.memory_mb, resources.accelerators
    )
}
