//! A TCP forwarder that can be cut, frozen and healed.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::watch;
use tokio::{io, net};

/// Bytes that are read before they are passed on.
const BUFFER_BYTES: usize = 16 * 1024;

/// What the forwarder does.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards.
    #[default]
    Open,
    /// Has closed its connections and refuses new ones.
    Cut,
    /// Keeps its connections, accepts new ones, and passes nothing on.
    Frozen,
}

/// Forwards connections from a bound listener to `target`, as `mode` says.
///
/// # Errors
///
/// If the address cannot be bound again after a cut. Returns once the sender of
/// the mode is gone.
pub async fn forward(
    listener: net::TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    loop {
        if *mode.borrow_and_update() == Mode::Cut {
            // Without a listener, the system refuses connections by itself.
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
                    tokio::spawn(connection(client, target, mode.clone()));
                }
            }
        }
    }
}

/// Forwards one connection until an end closes it or the forwarder is cut.
async fn connection(client: net::TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut cut = mode.clone();
    let forwarded = async {
        wait_until_open(&mut mode.clone()).await;
        let server = net::TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::try_join!(
            pump(client_read, server_write, mode.clone()),
            pump(server_read, client_write, mode.clone()),
        )
    };
    // Whatever ends the connection, both of its ends are closed by dropping them.
    tokio::select! {
        _ = forwarded => {}
        _ = cut.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Passes bytes on while the forwarder is open, and the end of the stream after them.
async fn pump(
    mut reader: tcp::OwnedReadHalf,
    mut writer: tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        wait_until_open(&mut mode).await;
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}

async fn wait_until_open(mode: &mut watch::Receiver<Mode>) {
    // An error means that nobody can change the mode any more.
    let _ = mode.wait_for(|mode| *mode != Mode::Frozen).await;
}
