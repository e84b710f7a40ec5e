//! Start, signals, shutdown.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use adapter::{
    advice,
    http::Pool,
    settings::{self, Settings, SettingsError},
    store::Store,
};
use cell::ids::{JobId, StepId};
use clap::Parser;
use kernel::log_event;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task, time,
};

use crate::{
    carrier::Carrier,
    clock, election, events,
    front::{self, Front},
    lead,
    link::{LeadSlot, Link},
    live::{self, LiveSettings},
    members::{self, Host, Members},
    operators,
    payloads::Payloads,
    peers::{self, Advised, Body, LeadIs, Peers},
    records::LeadRecord,
    store::GuardedStore,
};

/// Command line of an entry host.
#[derive(Debug, Parser)]
#[command(version, about = "Entry host of a hickorychute cell")]
pub struct Arguments {
    /// What is logged: error, warn, info, debug or off.
    #[arg(long, env = "HICKORY_LOG", default_value = "info")]
    pub log_level: String,
    /// Port on which counters and histograms are served, as text under /metrics; 0 for none.
    #[arg(long, env = "HICKORY_METRICS_PORT", default_value_t = 0)]
    pub metrics_port: u16,
}

/// The process cannot run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// The settings cannot be used.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// The runtime cannot start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Why.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// How long a host that was told to stop still takes connections: the platform asks twice, a
/// second apart, before it sends them elsewhere.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is kept for the end itself.
const END_RESERVE: Duration = Duration::from_millis(700);

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start.
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

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

async fn serve(settings: Settings, arguments: Arguments) -> Result<(), DaemonError> {
    let listeners = Listeners::open(&settings, arguments.metrics_port).await?;
    let live = Rc::new(LiveSettings::new(settings));
    let settings = live.current();
    let around = surroundings(&live);
    let lead = LeadSlot::default();
    let front = Rc::new(Front {
        operators: Rc::clone(&around.operators),
        link: Link {
            lead: Rc::clone(&lead),
            members: Rc::clone(&around.members),
            peers: Rc::clone(&around.peers),
            store: around.store.clone(),
            in_doubt: RefCell::default(),
            payloads: Rc::clone(&around.payloads),
            writes_until: Cell::new(Instant::now()),
        },
        metrics: Rc::clone(&around.metrics),
        own_address: settings.peers_address.to_string(),
        draining: false.into(),
        open_connections: 0.into(),
    });
    let (stop, stopped) = watch::channel(false);
    follow_platform(&around);
    let own_lead = Rc::clone(&lead);
    let coordinates = move || own_lead.borrow().is_some();
    task::spawn_local(around.store.clone().watch_outages(coordinates));
    let members = Rc::clone(&around.members);
    listeners.serve(&around, &lead, &front, stopped);
    let coordination = task::spawn_local(coordinate(around, Rc::clone(&lead)));
    log_event!(
        events::STARTED,
        "host={} zone={} clients={} peers={}",
        settings.host_name,
        settings.zone,
        settings.clients_address,
        settings.peers_address
    );
    wait_for_stop(&live).await?;
    let began_ms = clock::now_ms();
    log_event!(
        events::DRAINING,
        "connections={}",
        front.open_connections.get()
    );
    front.draining.set(true);
    members.leave();
    let own = lead.borrow_mut().take();
    if let Some(own) = own {
        own.resign().await;
    }
    coordination.abort();
    time::sleep(LINGER).await;
    stop.send_replace(true);
    let grace = Duration::from_millis(live.current().shutdown_grace_ms).saturating_sub(END_RESERVE);
    while front.open_connections.get() > 0 && clock::now_ms() - began_ms < grace.as_millis() as u64
    {
        time::sleep(Duration::from_millis(20)).await;
    }
    log_event!(
        events::STOPPED,
        "connections={}",
        front.open_connections.get()
    );
    // Leaves the writer of the log time for the last line.
    time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

fn surroundings(live: &Rc<LiveSettings>) -> lead::Surroundings {
    let pool = Pool::default();
    let settings = live.current();
    let store = GuardedStore::new(Store::new(pool.clone(), settings.store_address));
    let members = Rc::new(Members::new(settings.region_of_zone.clone()));
    let peers = Rc::<Peers>::default();
    let payloads = Rc::new(Payloads::new(
        &settings.host_name,
        &settings.zone,
        Rc::clone(&members),
        Rc::clone(&peers),
        store.clone(),
    ));
    lead::Surroundings {
        settings: Rc::clone(live),
        carrier: Rc::new(Carrier::new(pool.clone(), Rc::clone(&payloads))),
        payloads,
        store,
        pool,
        peers,
        members,
        operators: Rc::default(),
        metrics: Rc::default(),
    }
}

/// Follows configuration and members, and keeps this host among them.
fn follow_platform(around: &lead::Surroundings) {
    let settings = around.settings.current();
    let name = || settings.host_name.clone();
    let own = Host {
        address: settings.peers_address,
        zone: settings.zone.clone(),
        cpu_millicores: settings.cpu_millicores,
    };
    let store = || around.store.clone();
    let members = || Rc::clone(&around.members);
    task::spawn_local(live::follow(Rc::clone(&around.settings)));
    task::spawn_local(Rc::clone(&around.carrier).sweep());
    task::spawn_local(follow_store_address(store(), Rc::clone(&around.settings)));
    task::spawn_local(operators::follow(store(), Rc::clone(&around.operators)));
    task::spawn_local(members::follow(store(), members(), name()));
    let peers = Rc::clone(&around.peers);
    task::spawn_local(election::watch_lead(store(), peers, members(), name()));
    task::spawn_local(members::register(store(), members(), name(), own));
}

/// Sends calls to the store where the settings say that it is.
async fn follow_store_address(store: GuardedStore, live: Rc<LiveSettings>) {
    loop {
        let changed = live.changed.notified();
        store.redirect(live.current().store_address);
        changed.await;
    }
}

/// Sockets that the host takes connections on.
#[derive(Debug)]
struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl Listeners {
    async fn open(settings: &Settings, metrics_port: u16) -> Result<Self, DaemonError> {
        let metrics = match metrics_port {
            0 => None,
            port => Some(listen(SocketAddr::new(settings.peers_address.ip(), port)).await?),
        };
        Ok(Self {
            clients: listen(settings.clients_address).await?,
            readiness: listen(settings.readiness_address).await?,
            peers: listen(settings.peers_address).await?,
            metrics,
        })
    }

    fn serve(
        self,
        around: &lead::Surroundings,
        lead: &LeadSlot,
        front: &Rc<Front>,
        stopped: watch::Receiver<bool>,
    ) {
        let (lead, members) = (Rc::clone(lead), Rc::clone(&around.members));
        let (pool, settings) = (around.pool.clone(), Rc::clone(&around.settings));
        let carrier = Rc::clone(&around.carrier);
        task::spawn_local(peers::serve(self.peers, move |body| {
            let (lead, members) = (Rc::clone(&lead), Rc::clone(&members));
            let (pool, carrier) = (pool.clone(), Rc::clone(&carrier));
            let advice_address = settings.current().advice_address;
            answer_peer(body, lead, members, carrier, pool, advice_address)
        }));
        task::spawn_local(front::serve_readiness(self.readiness, Rc::clone(front)));
        task::spawn_local(front::serve(self.clients, Rc::clone(front), stopped));
        if let Some(listener) = self.metrics {
            task::spawn_local(front::serve_metrics(listener, Rc::clone(&around.metrics)));
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP reads the settings again.
async fn wait_for_stop(live: &LiveSettings) -> Result<(), DaemonError> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => live.look(),
        }
    }
}

/// Takes over whenever nobody coordinates.
async fn coordinate(surroundings: lead::Surroundings, slot: LeadSlot) {
    let settings = surroundings.settings.current();
    let own = LeadRecord {
        host: settings.host_name.clone(),
        address: settings.peers_address.to_string(),
        nonce: 0,
        process: surroundings.members.own_process(),
    };
    loop {
        let term = election::take_over(
            &surroundings.store,
            &surroundings.members,
            &surroundings.operators,
            &own,
            &surroundings.settings,
        )
        .await;
        lead::run(&surroundings, term, &slot).await;
    }
}

/// Answers another host's call.
async fn answer_peer(
    body: Body,
    lead: LeadSlot,
    members: Rc<Members>,
    carrier: Rc<Carrier>,
    pool: Pool,
    advice_address: Option<SocketAddr>,
) -> Body {
    if let Body::Advise(call) = body {
        let advised = match advice_address {
            Some(address) => ask_advice(&pool, address, &call).await,
            None => Advised::default(),
        };
        return Body::Advised(advised);
    }
    if matches!(body, Body::WhoLeads(_)) {
        let address = members.lead_address().map(|address| address.to_string());
        return Body::LeadIs(LeadIs {
            address: address.unwrap_or_default(),
            process: members.own_process(),
        });
    }
    if matches!(
        body,
        Body::Hold(_) | Body::Start(_) | Body::Stop(_) | Body::Pace(_) | Body::Payload(_)
    ) {
        return carrier.carry(body).await.unwrap_or(Body::NotHere(true));
    }
    let own = lead.borrow().clone();
    match own {
        Some(lead) => lead.answer(body).await,
        None => Body::NotHere(true),
    }
}

/// Asks the advice service from this host.
pub async fn ask_advice(pool: &Pool, address: SocketAddr, call: &peers::AdviseCall) -> Advised {
    let step = StepId {
        job: JobId(call.job),
        occurrence: call.occurrence,
        step: call.step,
    };
    let timeout = Duration::from_millis(call.timeout_ms);
    let Some(answer) = advice::ask(pool, address, step, &call.workers, timeout).await else {
        return Advised::default();
    };
    let mut advised = Advised {
        answered: true,
        valid_ms: answer.valid_ms,
        ..Advised::default()
    };
    for (worker, ticket) in answer.rows {
        if let Some(position) = call.workers.iter().position(|named| *named == worker) {
            advised.workers.push(position as u32);
            advised.tickets.push(ticket);
        }
    }
    advised
}
