//! `hickoryd serve`: one entry host.

use std::sync::Arc;
use std::time;

use kernel::errors;
use kernel::history;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio_util::sync::CancellationToken;

use crate::{Node, entry, events, settings, telemetry};

/// Time for which a drained host still answers "not ready" before it closes its port, so that
/// the balancer takes it out of rotation first.
const BALANCER_REMOVAL_DELAY_MS: u64 = 1_500;

/// Runs one entry host until SIGTERM or SIGINT, then drains it.
pub(super) async fn run(settings: &settings::ServeSettings) -> errors::Result<()> {
    let settings::ValidatedSettings {
        node: mut config,
        http: http_config,
    } = settings.validate()?;
    if !settings.record.is_empty() {
        let limits = trace::RecorderConfig::default();
        config.recorder = Some(trace::Recorder::create(settings.record.as_ref(), limits)?);
    }
    let metrics = telemetry::MetricsExporter::install()?;
    let tracing = match settings.otlp_endpoint.as_str() {
        "" => None,
        endpoint => Some(telemetry::TraceExporter::install(
            endpoint,
            config.host.as_str(),
            config.zone.as_str(),
        )?),
    };
    let http = bind("listen", &config.http_address).await?;
    let peers = bind("peer-listen", &config.peer_address).await?;
    config.http_address = local_address(&http)?;
    config.peer_address = local_address(&peers)?;

    let plugin = platform::find(&settings.platform)?;
    let address = settings.platform_address.clone().unwrap_or_default();
    let platform = (plugin.connect)(&format!("{address}?zone={}", config.zone)).await?;
    let transport = Arc::new(wire::TcpTransport::new(wire::ClientConfig::default()));
    let drain = time::Duration::from_millis(config.drain_timeout_ms);
    let node = Node::start(config, platform, transport, Arc::new(history::NullSink));
    let peer_server = wire::Server::new(peers, node.peer_handler(), wire::ServerConfig::default());
    telemetry::register_peer_port_metrics(peer_server.counters());
    let peer_server = tokio::spawn(peer_server.run());
    let routes = entry::Entry::new(Arc::clone(node.shared()), Some(metrics), http_config).routes();
    let stop_http = CancellationToken::new();
    let server = entry::HttpServer::new(http, routes, http_config, node.shared().metrics.clone());
    let http_server = tokio::spawn(server.run(stop_http.clone(), drain));

    let node = node.serve().await;
    println!(
        "ready http={} peers={}",
        node.shared().config.http_address,
        node.shared().config.peer_address
    );
    wait_for_signal().await?;

    let node = node.drain().await;
    tokio::time::sleep(time::Duration::from_millis(BALANCER_REMOVAL_DELAY_MS)).await;
    stop_http.cancel();
    let all_answered = http_server.await.unwrap_or(false);
    peer_server.abort();
    node.halt();
    if let Some(tracing) = tracing {
        // The export blocks, so it runs outside the runtime's worker threads.
        let _ = tokio::task::spawn_blocking(move || tracing.shutdown()).await;
    }
    if all_answered {
        kernel::log_event!(events::STOPPED, "all open requests were answered");
        return Ok(());
    }
    kernel::log_event!(
        events::STOPPED,
        "requests were open when the drain timeout passed"
    );
    Err(errors::Error::new(
        errors::ErrorKind::AnswerLost,
        "requests were open when the drain timeout passed",
    ))
}

async fn bind(flag: &str, address: &str) -> errors::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Usage,
            format!("--{flag}: cannot listen at {address}"),
            source,
        )
    })
}

fn local_address(listener: &TcpListener) -> errors::Result<String> {
    let address = listener.local_addr().map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Internal,
            "cannot read the local address",
            source,
        )
    })?;
    Ok(address.to_string())
}

async fn wait_for_signal() -> errors::Result<()> {
    let signal = |kind| {
        unix::signal(kind).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "cannot listen for signals",
                source,
            )
        })
    };
    let mut terminate = signal(unix::SignalKind::terminate())?;
    let mut interrupt = signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
