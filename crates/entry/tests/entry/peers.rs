//! Calls between hosts, and what their messages keep.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cell::{
    coordinator::StartAnswer,
    workers::{EndKind, HoldReport, ShownEnd, ShownRun},
};
use hickorychute_entry::peers::{self, Body, Held, LeadIs, PeerError, Peers};
use prost::Message;
use tokio::{net::TcpListener, task::LocalSet};

async fn host() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it has an address");
    (listener, address)
}

async fn answer(body: Body) -> Body {
    match body {
        Body::WhoLeads(_) => Body::LeadIs(LeadIs::default()),
        other => other,
    }
}

/// A host that restarts closes its connections. The next call to it must not wait for an answer
/// over one of those.
#[tokio::test]
async fn a_call_after_the_other_side_closed_goes_over_a_new_connection() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = host().await;
            let calls = Peers::default();
            let closing = tokio::task::spawn_local(async move {
                let accepted = listener.accept().await.expect("a caller connects");
                drop(accepted);
                listener
            });
            let timeout = Duration::from_secs(2);
            let first = calls.call(address, Body::WhoLeads(true), timeout).await;
            assert!(first.is_err(), "{first:?}");
            let listener = closing.await.expect("it does not panic");
            tokio::task::spawn_local(peers::serve(listener, answer));
            let began = Instant::now();
            let second = calls.call(address, Body::WhoLeads(true), timeout).await;
            assert_eq!(second, Ok(Body::LeadIs(LeadIs::default())));
            assert!(began.elapsed() < timeout / 2, "{:?}", began.elapsed());
        })
        .await;
}

#[tokio::test]
async fn calls_made_at_once_share_a_connection() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = host().await;
            tokio::task::spawn_local(peers::serve(listener, answer));
            let calls = Peers::default();
            let call = |n| calls.call(address, Body::State(n), Duration::from_secs(2));
            let answers = futures::future::join_all((0..50).map(call)).await;
            for (n, answer) in answers.into_iter().enumerate() {
                assert_eq!(answer, Ok(Body::State(n as u64)));
            }
        })
        .await;
}

#[tokio::test]
async fn a_host_that_is_gone_is_told_from_one_that_is_silent() {
    LocalSet::new()
        .run_until(async {
            let (listener, silent) = host().await;
            let (gone_listener, gone) = host().await;
            drop(gone_listener);
            let calls = Peers::default();
            let timeout = Duration::from_millis(300);
            let to_gone = calls.call(gone, Body::WhoLeads(true), timeout).await;
            assert_eq!(to_gone, Err(PeerError::NotSent));
            assert!(peers::refuses(gone).await);
            let to_silent = calls.call(silent, Body::WhoLeads(true), timeout).await;
            assert_eq!(to_silent, Err(PeerError::Unanswered));
            assert!(!peers::refuses(silent).await);
            drop(listener);
        })
        .await;
}

fn report() -> HoldReport {
    let task = |text: &str| text.parse().expect("a task's name");
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
    ];
    let ended = kinds.into_iter().enumerate().map(|(n, kind)| ShownEnd {
        number: n as u64 + 1,
        task: task("0123456789abcdef.3.2.1"),
        run: 7,
        kind,
        checkpoint: "saved".to_owned(),
    });
    HoldReport {
        clock_ms: 99,
        born_unix_ms: 1_800_000_000_000,
        running: vec![ShownRun {
            task: task("fedcba9876543210.0.0.41"),
            run: 1_001,
            checkpoint: String::new(),
            percent: 41,
            figure: 250,
        }],
        ended: ended.collect(),
    }
}

#[test]
fn lists_arrive_as_they_were_shown() {
    let report = report();
    let sent = Held::listed(5, &report).encode_to_vec();
    let received = Held::decode(sent.as_slice()).expect("it can be read");
    assert_eq!(received.connection, 5);
    assert_eq!(received.report(), report);
}

#[test]
fn rows_that_cannot_be_read_are_left_out() {
    let mut held = Held::listed(5, &report());
    held.running[0].task = None;
    held.ended[0].kind = 77;
    held.ended[1].task = None;
    let read = held.report();
    assert_eq!(read.running.len(), 0);
    assert_eq!(read.ended.len(), 4);
}

#[test]
fn answers_to_starts_keep_their_meaning_and_unknown_ones_leave_doubt() {
    let answers = [
        StartAnswer::Started,
        StartAnswer::Fenced,
        StartAnswer::OldRun,
        StartAnswer::TooLate,
        StartAnswer::NoRoom,
        StartAnswer::BadTicket,
        StartAnswer::Unhealthy,
        StartAnswer::OtherLife,
        StartAnswer::Malformed,
        StartAnswer::NoText,
        StartAnswer::Unknown,
    ];
    for answer in answers {
        let number = peers::encode_start_answer(answer);
        assert_eq!(peers::decode_start_answer(number), answer);
    }
    assert_eq!(peers::decode_start_answer(4_000), StartAnswer::Unknown);
}
