//! `hickory-standin proxy`: a TCP forwarder with a control port.

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

/// Settings of the proxy.
#[derive(Debug, Args)]
pub(super) struct Settings {
    /// Address to accept connections on, as IP:PORT; port 0 takes a free one.
    #[arg(long, env = "HICKORY_PROXY_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to forward connections to, as IP:PORT.
    #[arg(long, env = "HICKORY_PROXY_TO")]
    to: SocketAddr,
    /// Address of the control port (POST /cut, /freeze, /heal; GET /mode), as IP:PORT.
    #[arg(long, env = "HICKORY_PROXY_CONTROL", default_value = "127.0.0.1:0")]
    control: SocketAddr,
}

type Sender = Arc<watch::Sender<Mode>>;

/// Forwards until the process is ended.
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

fn router(sender: Sender) -> Router {
    Router::new()
        .route("/cut", routing::post(cut))
        .route("/freeze", routing::post(freeze))
        .route("/heal", routing::post(heal))
        .route("/mode", routing::get(mode))
        .with_state(sender)
}

async fn cut(extract::State(sender): extract::State<Sender>) -> StatusCode {
    set(&sender, Mode::Cut)
}

async fn freeze(extract::State(sender): extract::State<Sender>) -> StatusCode {
    set(&sender, Mode::Frozen)
}

async fn heal(extract::State(sender): extract::State<Sender>) -> StatusCode {
    set(&sender, Mode::Open)
}

async fn mode(extract::State(sender): extract::State<Sender>) -> Json<Mode> {
    Json(*sender.borrow())
}

fn set(sender: &watch::Sender<Mode>, mode: Mode) -> StatusCode {
    sender.send_replace(mode);
    StatusCode::NO_CONTENT
}
