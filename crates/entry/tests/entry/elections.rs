//! What a new leader believes about the holds and orders of its predecessor.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use adapter::{
    http::ConnectionPool,
    settings,
    store::{Committed, Store, Txn},
};
use hickorychute_entry::{
    clock,
    election::{self, AUTHORITY_TIMEOUT_MS, MAX_HOLD_MS, MAX_STALL_MS, StallDetector, Term},
    live::LiveSettings,
    members::{self, Host, Members},
    operator_config::{self, OperatorConfig},
    peers::{self, Body, LeaderInfo, Peers},
    records::{LEADER_KEY, LeaderRecord, TERM_KEY, TermRecord},
    store::GuardedStore,
};
use platform_standin::Platform;
use prost::Message;
use tokio::{
    net::TcpListener,
    task::{self, LocalSet},
    time,
};

use crate::{client_limits, support::DelayedLink};

/// Process identifiers of the leader and of a later process of its host.
const LEADER_PROCESS: u64 = 11;
const LATER_PROCESS: u64 = 12;
/// Maximum time for anything that a test waits for.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(MAX_WAIT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

fn client(address: SocketAddr) -> GuardedStore {
    GuardedStore::new(Store::new(ConnectionPool::default(), address))
}

/// A host that may succeed the leader.
struct Successor {
    store: GuardedStore,
    members: Rc<Members>,
    operator_config: Rc<OperatorConfig>,
    live: Rc<LiveSettings>,
}

impl Successor {
    /// Starts the watches of a host that reaches the store at `store_address`.
    async fn start(store_address: SocketAddr) -> Self {
        let (_, own_address) = listener().await;
        let text = format!(
            "node=successor\nzone=a\nregion=r\nip=127.0.0.1\nlisten.front={own_address}\n\
             listen.ready={own_address}\nport_range={},{}\nplatform.address={store_address}\n",
            own_address.port(),
            own_address.port(),
        );
        let settings = settings::parse(&text).expect("the settings are valid");
        let own = Host {
            address: own_address,
            zone: settings.zone.clone(),
            cpu_millicores: settings.cpu_millicores,
        };
        let started = Self {
            store: client(store_address),
            members: Rc::new(Members::new(settings.region_of_zone.clone())),
            operator_config: Rc::default(),
            live: Rc::new(LiveSettings::new(settings)),
        };
        let store = || started.store.clone();
        let members = || Rc::clone(&started.members);
        let name = || "successor".to_owned();
        task::spawn_local(members::watch(store(), members(), name()));
        task::spawn_local(members::register(store(), members(), name(), own));
        let operator_config = Rc::clone(&started.operator_config);
        task::spawn_local(operator_config::watch(store(), operator_config));
        wait_until("registration and configuration", || {
            started.members.has_most_cpu("successor") && started.operator_config.current().is_some()
        })
        .await;
        started
    }

    /// Begins to check the leader, as a host does from its start.
    fn watch_leader(&self) {
        let members = Rc::clone(&self.members);
        let name = "successor".to_owned();
        let watch = election::watch_leader(self.store.clone(), Rc::default(), members, name);
        task::spawn_local(watch);
    }

    async fn acquire_term(&self) -> Term {
        let own = LeaderRecord {
            host: "successor".to_owned(),
            process: self.members.own_process_id(),
            ..LeaderRecord::default()
        };
        let (store, config) = (&self.store, &self.operator_config);
        let acquired = election::acquire_term(store, &self.members, config, &own, &self.live);
        time::timeout(MAX_WAIT, acquired)
            .await
            .expect("the leader is replaced")
    }
}

/// Writes the key of a leader as at a takeover, and returns its fence.
async fn write_leader(store: &GuardedStore, address: SocketAddr, process: u64) -> u64 {
    let leader = LeaderRecord {
        host: "predecessor".to_owned(),
        address: address.to_string(),
        nonce: process,
        process,
    };
    let txn = Txn::default()
        .put(LEADER_KEY, &leader.encode_to_vec(), 0)
        .put(TERM_KEY, &TermRecord { number: 3 }.encode_to_vec(), 0);
    match store.commit(&txn).await {
        Ok(Committed::Done { revision }) => revision,
        other => panic!("the leader key is written: {other:?}"),
    }
}

/// Answers calls at the leader's peer address with the content of `info`.
fn serve_peer(listener: TcpListener, info: &Rc<RefCell<LeaderInfo>>) {
    let info = Rc::clone(info);
    task::spawn_local(peers::serve(
        listener,
        client_limits::peer_port(),
        move |_| {
            let info = Rc::clone(&info);
            async move { Body::LeaderInfo(info.borrow().clone()) }
        },
    ));
}

fn info(process: u64, leaving: bool) -> LeaderInfo {
    LeaderInfo {
        process,
        leaving,
        ..LeaderInfo::default()
    }
}

async fn platform() -> Platform {
    let platform = Platform::start(0).await;
    platform.configure(1, &["batch"], false);
    platform
}

/// Guards against TWICE: a leader that is leaving confirms its key until its successor's transaction
/// is committed, and its authority was counted from before that transaction was sent.
#[tokio::test]
async fn the_wait_covers_confirmations_during_a_slow_takeover() {
    /// Shorter than the time-out of a call to the store.
    const DELAY_MS: u64 = 250;
    LocalSet::new()
        .run_until(async {
            let platform = platform().await;
            let direct = client(platform.store_address);
            let link = DelayedLink::start(platform.store_address).await;
            let (listener, address) = listener().await;
            serve_peer(listener, &Rc::new(RefCell::new(info(LEADER_PROCESS, true))));
            let fence = write_leader(&direct, address, LEADER_PROCESS).await;
            let successor = Successor::start(link.address).await;
            link.set_delays(DELAY_MS, 0);
            let last_confirmed_ms = Rc::<Cell<u64>>::default();
            let confirmed_ms = Rc::clone(&last_confirmed_ms);
            let confirming = task::spawn_local(async move {
                loop {
                    let sent_ms = clock::now_ms();
                    match direct.get(LEADER_KEY).await {
                        Ok(Some(item)) if item.revision == fence => confirmed_ms.set(sent_ms),
                        Ok(_) => return,
                        Err(_) => {}
                    }
                    time::sleep(POLL_INTERVAL).await;
                }
            });
            successor.watch_leader();
            let term = successor.acquire_term().await;
            confirming.await.expect("the task does not panic");
            let safe_ms = last_confirmed_ms.get() + AUTHORITY_TIMEOUT_MS + MAX_HOLD_MS;
            let expiry_ms = term.inherited_expiry_ms(fence);
            assert!(
                expiry_ms >= safe_ms,
                "expires {} ms too early",
                safe_ms - expiry_ms
            );
        })
        .await;
}

/// Guards against TWICE: a refused connection was taken for the end of the leader's process, and a
/// cut may refuse as well.
#[tokio::test]
async fn only_an_answer_of_another_process_shortens_the_wait() {
    struct Case {
        name: &'static str,
        /// What answers at the leader's address; nothing listens there if absent.
        answers: Option<LeaderInfo>,
        leader_process: u64,
        predecessor_settled: bool,
        shortens: bool,
    }
    let case = Case {
        name: "another process",
        answers: Some(info(LATER_PROCESS, false)),
        leader_process: LEADER_PROCESS,
        predecessor_settled: true,
        shortens: true,
    };
    let cases = [
        Case {
            name: "another process, takeover incomplete",
            answers: Some(info(LATER_PROCESS, false)),
            predecessor_settled: false,
            shortens: false,
            ..case
        },
        Case {
            name: "leaving",
            answers: Some(info(LEADER_PROCESS, true)),
            shortens: false,
            ..case
        },
        Case {
            name: "leaving, process unknown",
            answers: Some(info(LATER_PROCESS, true)),
            leader_process: 0,
            shortens: false,
            ..case
        },
        Case {
            name: "refused",
            answers: None,
            shortens: false,
            ..case
        },
        case,
    ];
    for case in cases {
        LocalSet::new()
            .run_until(async {
                let platform = platform().await;
                let (listener, address) = listener().await;
                match case.answers {
                    Some(info) => serve_peer(listener, &Rc::new(RefCell::new(info))),
                    None => drop(listener),
                }
                let direct = client(platform.store_address);
                let fence = write_leader(&direct, address, case.leader_process).await;
                let successor = Successor::start(platform.store_address).await;
                let began_ms = clock::now_ms();
                successor.watch_leader();
                let term = successor.acquire_term().await;
                let settled_fence = if case.predecessor_settled { fence } else { 1 };
                let expiry_ms = term.inherited_expiry_ms(settled_fence);
                let whole_ms = began_ms + AUTHORITY_TIMEOUT_MS + MAX_HOLD_MS;
                assert_eq!(expiry_ms < whole_ms, case.shortens, "{}", case.name);
                assert!(expiry_ms >= began_ms + MAX_HOLD_MS, "{}", case.name);
            })
            .await;
    }
}

/// Guards against TWICE: evidence about the leader's process was applied to a later term of its
/// host that began during the check.
#[tokio::test]
async fn evidence_about_a_former_process_does_not_end_a_later_term() {
    LocalSet::new()
        .run_until(async {
            let platform = platform().await;
            let direct = client(platform.store_address);
            let (listener, address) = listener().await;
            write_leader(&direct, address, LEADER_PROCESS).await;
            let successor = Successor::start(platform.store_address).await;
            let members = Rc::clone(&successor.members);
            wait_until("the leader", || members.current_leader().is_some()).await;
            // The check of the first term ends after the second one is known.
            let (asked, answered) = (Rc::<Cell<bool>>::default(), Rc::<Cell<bool>>::default());
            let (asking, answering) = (Rc::clone(&asked), Rc::clone(&answered));
            let known = Rc::clone(&members);
            task::spawn_local(peers::serve(
                listener,
                client_limits::peer_port(),
                move |_| {
                    let (asking, answering) = (Rc::clone(&asking), Rc::clone(&answering));
                    let (known, first) = (Rc::clone(&known), known.current_leader());
                    async move {
                        asking.set(true);
                        while known.current_leader() == first && !answering.get() {
                            time::sleep(POLL_INTERVAL).await;
                        }
                        answering.set(true);
                        Body::LeaderInfo(info(LATER_PROCESS, false))
                    }
                },
            ));
            successor.watch_leader();
            wait_until("the check", || asked.get()).await;
            let fence = write_leader(&direct, address, LATER_PROCESS).await;
            wait_until("the answer", || answered.get()).await;
            let checked = Peers::default();
            let call = checked.call(address, Body::GetLeader(true), MAX_WAIT);
            assert!(call.await.is_ok());
            let fence_seen = members.current_leader().map(|leader| leader.fence);
            assert_eq!(fence_seen, Some(fence));
            assert_eq!(members.replaceable_revision(), None);
        })
        .await;
}

#[test]
fn a_confirmation_counts_only_if_it_was_sent_after_the_last_stall() {
    struct Case {
        name: &'static str,
        /// Pauses between successive times at which the process is seen to run, in milliseconds.
        pauses_ms: &'static [u64],
        stalls_ms: &'static [u64],
        /// When the confirmation was sent, in milliseconds since the start.
        sent_ms: u64,
        counts: bool,
    }
    let cases = [
        Case {
            name: "no stall",
            pauses_ms: &[60, MAX_STALL_MS, 60],
            stalls_ms: &[],
            sent_ms: 0,
            counts: true,
        },
        Case {
            name: "sent before the stall",
            pauses_ms: &[60, MAX_STALL_MS + 1, 60],
            stalls_ms: &[MAX_STALL_MS + 1],
            sent_ms: 60,
            counts: false,
        },
        Case {
            name: "sent after the stall",
            pauses_ms: &[60, 2_000, 60],
            stalls_ms: &[2_000],
            sent_ms: 2_060,
            counts: true,
        },
        Case {
            name: "second stall",
            pauses_ms: &[2_000, 60, 3_000],
            stalls_ms: &[2_000, 3_000],
            sent_ms: 2_060,
            counts: false,
        },
    ];
    for case in cases {
        let start_ms = 1_000;
        let mut now_ms = start_ms;
        let detector = StallDetector::new(now_ms);
        let mut stalls_ms = Vec::new();
        for pause_ms in case.pauses_ms {
            now_ms += pause_ms;
            stalls_ms.extend(detector.record_running(now_ms));
        }
        assert_eq!(stalls_ms, case.stalls_ms, "{}", case.name);
        let counts = detector.has_run_since(start_ms + case.sent_ms);
        assert_eq!(counts, case.counts, "{}", case.name);
    }
}
