//! Startup, signals and shutdown of the host process.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use adapter::{
    http::ConnectionPool,
    settings::{self, Settings, SettingsError},
    store::Store,
};
use clap::Parser;
use kernel::log_event;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task, time,
};

use crate::{
    client_limits, clock, election, events,
    frontend::{self, Frontend},
    key_checks::KeyChecks,
    leader::{self, LeaderSlot},
    leader_client::LeaderClient,
    live::{self, LiveSettings},
    members::{self, Host, Members},
    metrics::Metrics,
    operator_config::{self, OperatorConfig},
    payloads::PayloadCache,
    peer_calls::PeerCalls,
    peers::{self, Peers},
    ports::{Port, Protocol},
    records::LeaderRecord,
    relay::Relay,
    store::GuardedStore,
    worker_slots::WorkerSlots,
};

/// Command line of an entry host.
#[derive(Debug, Parser)]
#[command(version, about = "Entry host of a hickorychute cell")]
pub struct Arguments {
    /// Log level: error, warn, info, debug or off.
    #[arg(long, env = "HICKORY_LOG", default_value = "info")]
    pub log_level: String,
    /// Port that serves counters and histograms as text under /metrics; 0 disables it.
    #[arg(long, env = "HICKORY_METRICS_PORT", default_value_t = 0)]
    pub metrics_port: u16,
}

/// Failure to start the process.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings file is missing or invalid.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// Underlying error.
        source: SettingsError,
    },
    /// The async runtime or a signal handler cannot be set up.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Underlying error.
        source: io::Error,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
}

/// How long a draining host still accepts connections: the platform probes readiness twice, one
/// second apart, before it stops sending traffic.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// Part of that period in which requests that arrive are answered by another leader.
const HANDOVER_RESERVE: Duration = Duration::from_millis(600);
/// Part of the grace period reserved for process exit.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);

/// Buffers of the kernel for each connection of a port, in bytes. The kernel takes twice as much for
/// its overhead. They bound the throughput of a connection to this much in each round trip.
#[derive(Clone, Copy, Debug)]
struct SocketBuffers {
    receive_bytes: u32,
    send_bytes: u32,
}

/// For clients: a body of 256 KiB takes 8 round trips; responses have some hundred bytes.
const CLIENT_BUFFERS: SocketBuffers = SocketBuffers {
    receive_bytes: 32 << 10,
    send_bytes: 16 << 10,
};
/// For hosts: over a round trip of 30 ms a frame of 256 KiB, the largest payload of a job, takes two.
const PEER_BUFFERS: SocketBuffers = SocketBuffers {
    receive_bytes: 128 << 10,
    send_bytes: 128 << 10,
};
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs an entry host until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`DaemonError`] if startup fails.
pub fn run(arguments: Arguments) -> Result<(), DaemonError> {
    let settings = settings::load().context(SettingsSnafu)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(1)
        .build()
        .context(RuntimeSnafu)?;
    let local = task::LocalSet::new();
    local.block_on(&runtime, serve(settings, arguments))
}

/// Listens with bounded kernel buffers: bytes that are not yet read, or that the other side does not
/// take, count towards the memory of the process as well.
fn listen(address: SocketAddr, buffers: SocketBuffers) -> Result<TcpListener, DaemonError> {
    let bind = || {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit both sizes.
        socket.set_recv_buffer_size(buffers.receive_bytes)?;
        socket.set_send_buffer_size(buffers.send_bytes)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().context(ListenSnafu { address })
}

async fn serve(settings: Settings, arguments: Arguments) -> Result<(), DaemonError> {
    let listeners = Listeners::open(&settings, arguments.metrics_port)?;
    let live = Rc::new(LiveSettings::new(settings));
    let settings = live.current();
    let context = build_context(&live);
    let leader = LeaderSlot::default();
    let frontend = Rc::new(Frontend {
        operator_config: Rc::clone(&context.operator_config),
        key_checks: Rc::clone(&context.key_checks),
        leader_client: LeaderClient {
            leader: Rc::clone(&leader),
            members: Rc::clone(&context.members),
            peers: Rc::clone(&context.peers),
            store: context.store.clone(),
            key_checks: Rc::clone(&context.key_checks),
            in_doubt: RefCell::default(),
            payloads: Rc::clone(&context.payloads),
            operator_config: Rc::clone(&context.operator_config),
            settings: Rc::clone(&context.settings),
            direct_writes: Cell::new((Instant::now(), 0)),
            direct_write_until: Cell::new(Instant::now()),
        },
        metrics: Rc::clone(&context.metrics),
        own_address: settings.peers_address.to_string(),
        draining: false.into(),
        port: Port::new(
            "clients",
            Protocol::Http,
            client_limits::clients(&settings, None),
            Rc::clone(&context.metrics),
        ),
    });
    let (stop, stopped) = watch::channel(false);
    spawn_background_tasks(&context);
    let own_leader = Rc::clone(&leader);
    let is_leader = move || own_leader.borrow().is_some();
    task::spawn_local(context.store.clone().watch_outages(is_leader));
    let members = Rc::clone(&context.members);
    listeners.serve(&context, &leader, &frontend, stopped);
    let coordination = task::spawn_local(run_leadership(context, Rc::clone(&leader)));
    log_event!(
        events::STARTED,
        "host={} zone={} clients={} peers={}",
        settings.host_name,
        settings.zone,
        settings.clients_address,
        settings.peers_address
    );
    wait_for_shutdown_signal(&live).await?;
    let drain_started_ms = clock::now_ms();
    log_event!(
        events::DRAINING,
        "connections={}",
        frontend.port.connections()
    );
    frontend.draining.set(true);
    members.leave();
    let drain_ended = time::Instant::now() + DRAIN_ACCEPT_PERIOD;
    let own = leader.borrow().clone();
    if let Some(own) = own {
        own.hand_over(drain_ended - HANDOVER_RESERVE).await;
        leader.borrow_mut().take();
    }
    coordination.abort();
    time::sleep_until(drain_ended).await;
    stop.send_replace(true);
    let grace =
        Duration::from_millis(live.current().shutdown_grace_ms).saturating_sub(SHUTDOWN_RESERVE);
    while frontend.port.connections() > 0
        && clock::now_ms() - drain_started_ms < grace.as_millis() as u64
    {
        time::sleep(Duration::from_millis(20)).await;
    }
    log_event!(
        events::STOPPED,
        "connections={}",
        frontend.port.connections()
    );
    // Gives the log writer time to flush the last line.
    time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

fn build_context(live: &Rc<LiveSettings>) -> leader::HostContext {
    let worker_connections = client_limits::worker_connections(&live.current());
    let pool = ConnectionPool::new(worker_connections);
    let slots = WorkerSlots::new(worker_connections);
    let settings = live.current();
    let store = GuardedStore::new(Store::new(pool.clone(), settings.store_address));
    let members = Rc::new(Members::new(settings.region_of_zone.clone()));
    let peers = Rc::<Peers>::default();
    let payloads = Rc::new(PayloadCache::new(
        &settings.host_name,
        &settings.zone,
        settings.peers_address,
        Rc::clone(&members),
        Rc::clone(&peers),
        store.clone(),
    ));
    let (operator_config, metrics) = (Rc::<OperatorConfig>::default(), Rc::<Metrics>::default());
    let key_checks = Rc::new(KeyChecks::new(
        Rc::clone(&operator_config),
        Rc::clone(live),
        Rc::clone(&metrics),
    ));
    leader::HostContext {
        settings: Rc::clone(live),
        relay: Rc::new(Relay::new(pool.clone(), slots, Rc::clone(&payloads))),
        payloads,
        store,
        pool,
        peers,
        members,
        operator_config,
        key_checks,
        metrics,
    }
}

/// Starts the watches of settings, configuration, members and leader, and this host's registration.
fn spawn_background_tasks(context: &leader::HostContext) {
    let settings = context.settings.current();
    let name = || settings.host_name.clone();
    let own = Host {
        address: settings.peers_address,
        zone: settings.zone.clone(),
        cpu_millicores: settings.cpu_millicores,
    };
    let store = || context.store.clone();
    let members = || Rc::clone(&context.members);
    task::spawn_local(live::watch(Rc::clone(&context.settings)));
    task::spawn_local(Rc::clone(&context.relay).close_idle_connections());
    task::spawn_local(watch_store_address(store(), Rc::clone(&context.settings)));
    task::spawn_local(operator_config::watch(
        store(),
        Rc::clone(&context.operator_config),
    ));
    task::spawn_local(members::watch(store(), members(), name()));
    let peers = Rc::clone(&context.peers);
    task::spawn_local(election::watch_leader(store(), peers, members(), name()));
    task::spawn_local(members::register(store(), members(), name(), own));
}

/// Redirects the store client when the store's address changes in the settings.
async fn watch_store_address(store: GuardedStore, live: Rc<LiveSettings>) {
    loop {
        let changed = live.changed.notified();
        store.redirect(live.current().store_address);
        changed.await;
    }
}

/// Listening sockets of the host.
#[derive(Debug)]
struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl Listeners {
    fn open(settings: &Settings, metrics_port: u16) -> Result<Self, DaemonError> {
        let metrics = match metrics_port {
            0 => None,
            port => {
                let address = SocketAddr::new(settings.peers_address.ip(), port);
                Some(listen(address, CLIENT_BUFFERS)?)
            }
        };
        Ok(Self {
            clients: listen(settings.clients_address, CLIENT_BUFFERS)?,
            readiness: listen(settings.readiness_address, CLIENT_BUFFERS)?,
            peers: listen(settings.peers_address, PEER_BUFFERS)?,
            metrics,
        })
    }

    fn serve(
        self,
        context: &leader::HostContext,
        leader: &LeaderSlot,
        frontend: &Rc<Frontend>,
        stopped: watch::Receiver<bool>,
    ) {
        let peer_calls = Rc::new(PeerCalls {
            context: context.clone(),
            leader: Rc::clone(leader),
        });
        let settings = Rc::clone(&context.settings);
        let metrics = &context.metrics;
        let port = |name, protocol, limits| Port::new(name, protocol, limits, Rc::clone(metrics));
        let limits = client_limits::peers(&settings.current());
        let peers = port("peers", Protocol::Frames, limits);
        let live = Rc::clone(&settings);
        let limits = move || client_limits::peers(&live.current());
        task::spawn_local(Rc::clone(&peers).watch(limits));
        task::spawn_local(peers::serve(self.peers, peers, move |body| {
            let peer_calls = Rc::clone(&peer_calls);
            async move { peer_calls.answer(body).await }
        }));
        let readiness = port("readiness", Protocol::Http, client_limits::readiness());
        task::spawn_local(Rc::clone(&readiness).watch(client_limits::readiness));
        task::spawn_local(frontend::serve_readiness(
            self.readiness,
            readiness,
            Rc::clone(frontend),
        ));
        let operator_config = Rc::clone(&context.operator_config);
        let limits = move || {
            let config = operator_config.current();
            client_limits::clients(&settings.current(), config.as_deref())
        };
        task::spawn_local(Rc::clone(&frontend.port).watch(limits));
        task::spawn_local(frontend::serve(self.clients, Rc::clone(frontend), stopped));
        if let Some(listener) = self.metrics {
            let port = port("metrics", Protocol::Http, client_limits::metrics());
            task::spawn_local(Rc::clone(&port).watch(client_limits::metrics));
            task::spawn_local(frontend::serve_metrics(
                listener,
                port,
                Rc::clone(&context.metrics),
            ));
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP reloads the settings.
async fn wait_for_shutdown_signal(live: &LiveSettings) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => live.reload(),
        }
    }
}

/// Runs for leader and serves each term that this host wins, for the lifetime of the process.
async fn run_leadership(context: leader::HostContext, slot: LeaderSlot) {
    let settings = context.settings.current();
    let own = LeaderRecord {
        host: settings.host_name.clone(),
        address: settings.peers_address.to_string(),
        nonce: 0,
        process: context.members.own_process_id(),
    };
    loop {
        let term = election::acquire_term(
            &context.store,
            &context.members,
            &context.operator_config,
            &own,
            &context.settings,
        )
        .await;
        leader::run(&context, term, &slot).await;
    }
}
