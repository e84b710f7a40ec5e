//! Transactions that the store executes after later ones, as it may if it did not answer them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use platform_standin::Platform;
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::support::{self, TestCell};

/// Time within which the coordinator writes a changed roster.
const ROSTER_DELAY: Duration = Duration::from_millis(1_500);

/// Passes connections on to the store, and keeps the last transaction that wrote the roster.
#[derive(Clone, Debug)]
struct Recorder {
    address: SocketAddr,
    store: SocketAddr,
    last_roster_write: Arc<Mutex<Vec<u8>>>,
}

impl Recorder {
    async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let recorder = Self {
            address: listener.local_addr().expect("the listener has an address"),
            store,
            last_roster_write: Arc::default(),
        };
        let serving = recorder.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(serving.clone().pass_on(caller));
            }
        });
        recorder
    }

    async fn pass_on(self, caller: TcpStream) -> Option<()> {
        let server = TcpStream::connect(self.store).await.ok()?;
        let (mut requests, mut to_caller) = caller.into_split();
        let (mut responses, mut to_server) = server.into_split();
        tokio::spawn(async move {
            // Ends with either side.
            let _ended = tokio::io::copy(&mut responses, &mut to_caller).await;
        });
        let mut buffer = vec![0; 64 << 10];
        loop {
            let length = requests.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
            let request = &buffer[..length];
            let text = String::from_utf8_lossy(request);
            if text.starts_with("POST /hickorychute/kv-txn") && text.contains("hc/roster") {
                let mut last = self.last_roster_write.lock();
                let last = last.as_mut().unwrap_or_else(PoisonError::into_inner_mut);
                request.clone_into(last);
            }
            to_server.write_all(request).await.ok()?;
        }
    }
}
