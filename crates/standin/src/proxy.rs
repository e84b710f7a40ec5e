//! TCP proxy that can refuse or stall connections on command, to simulate network faults.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::watch;
use tokio::{io, net};

/// Size of the copy buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwarding mode of the proxy.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards connections normally.
    #[default]
    Open,
    /// Closes existing connections and refuses new ones.
    Cut,
    /// Keeps existing connections and accepts new ones, but forwards no bytes.
    Frozen,
}

/// Forwards connections from a bound listener to `target`, following changes of `mode`.
///
/// # Errors
///
/// Fails if the address cannot be bound again when the mode leaves [`Mode::Cut`].
/// Returns `Ok` once the sender of the mode has been dropped.
pub async fn forward(
    listener: net::TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    loop {
        if *mode.borrow_and_update() == Mode::Cut {
            // With the listener closed, the operating system refuses connections.
            listener = None;
        }
        let Some(bound) = &listener else {
            if mode.wait_for(|mode| *mode != Mode::Cut).await.is_err() {
                return Ok(());
            }
            listener = Some(net::TcpListener::bind(address).await?);
            continue;
        };
        tokio::select! {
            changed = mode.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            accepted = bound.accept() => {
                if let Ok((client, _)) = accepted {
                    tokio::spawn(forward_connection(client, target, mode.clone()));
                }
            }
        }
    }
}

/// Forwards one connection until either peer closes it or the mode changes to [`Mode::Cut`].
async fn forward_connection(
    client: net::TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
) {
    let mut cut = mode.clone();
    let forwarded = async {
        wait_until_unfrozen(&mut mode.clone()).await;
        let server = net::TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::try_join!(
            copy_direction(client_read, server_write, mode.clone()),
            copy_direction(server_read, client_write, mode.clone()),
        )
    };
    // Dropping both streams closes them, whichever branch finished.
    tokio::select! {
        _ = forwarded => {}
        _ = cut.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Copies bytes in one direction unless frozen, then propagates the end of the stream.
async fn copy_direction(
    mut reader: tcp::OwnedReadHalf,
    mut writer: tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        wait_until_unfrozen(&mut mode).await;
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}

async fn wait_until_unfrozen(mode: &mut watch::Receiver<Mode>) {
    // An error means that the sender was dropped, so the mode is final.
    let _ = mode.wait_for(|mode| *mode != Mode::Frozen).await;
}
