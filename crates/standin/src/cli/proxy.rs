//! `hickory-standin proxy`: TCP proxy with an HTTP control port.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract;
use axum::http::StatusCode;
use axum::routing;
use axum::{Json, Router};
use clap::Args;
use kernel::errors;
use tokio::sync::watch;

use crate::proxy::{self, Mode};

/// Command-line settings of the proxy.
#[derive(Debug, Args)]
pub(super) struct Settings {
    /// Address to accept connections on, as IP:PORT; port 0 selects a free port.
    #[arg(long, env = "HICKORY_PROXY_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to forward connections to, as IP:PORT.
    #[arg(long, env = "HICKORY_PROXY_TO")]
    to: SocketAddr,
    /// Address of the control port (POST /cut, /freeze, /heal; GET /mode), as IP:PORT.
    #[arg(long, env = "HICKORY_PROXY_CONTROL", default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

type ModeSender = Arc<watch::Sender<Mode>>;

/// Runs the proxy until the process is terminated.
pub(super) async fn run(settings: Settings) -> errors::Result<()> {
    let (listener, address) = super::listen(settings.listen).await?;
    let (control, control_address) = super::listen(settings.control).await?;
    let (sender, receiver) = watch::channel(Mode::Open);
    let router = router(Arc::new(sender));
    println!(
        "ready proxy={address} to={} control={control_address}",
        settings.to
    );
    tokio::select! {
        forwarded = proxy::forward(listener, settings.to, receiver) => {
            forwarded.map_err(|error| super::to_error("the proxy ended", error))
        }
        served = super::serve(control, router) => served,
    }
}

fn router(sender: ModeSender) -> Router {
    Router::new()
        .route("/cut", routing::post(cut))
        .route("/freeze", routing::post(freeze))
        .route("/heal", routing::post(heal))
        .route("/mode", routing::get(mode))
        .with_state(sender)
}

async fn cut(extract::State(sender): extract::State<ModeSender>) -> StatusCode {
    set_mode(&sender, Mode::Cut)
}

async fn freeze(extract::State(sender): extract::State<ModeSender>) -> StatusCode {
    set_mode(&sender, Mode::Frozen)
}

async fn heal(extract::State(sender): extract::State<ModeSender>) -> StatusCode {
    set_mode(&sender, Mode::Open)
}

async fn mode(extract::State(sender): extract::State<ModeSender>) -> Json<Mode> {
    Json(*sender.borrow())
}

fn set_mode(sender: &watch::Sender<Mode>, mode: Mode) -> StatusCode {
    sender.send_replace(mode);
    StatusCode::NO_CONTENT
}
