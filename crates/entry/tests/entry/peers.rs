//! Calls between hosts and the encoding of their messages.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cell::{
    coordinator::StartResponse,
    workers::{EndKind, HoldReport, ReportedEnd, ReportedRun},
};
use hickorychute_entry::peers::{self, Body, HoldReply, LeaderInfo, PeerError, Peers};
use prost::Message;
use tokio::{net::TcpListener, task::LocalSet};

use crate::client_limits;

async fn host() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

async fn answer(body: Body) -> Body {
    match body {
        Body::GetLeader(_) => Body::LeaderInfo(LeaderInfo::default()),
        other => other,
    }
}

/// A restarting host closes its connections. The next call to it must not wait for an answer on one
/// of them.
#[tokio::test]
async fn a_call_after_the_peer_closed_uses_a_new_connection() {
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
            let first = calls.call(address, Body::GetLeader(true), timeout).await;
            assert!(first.is_err(), "{first:?}");
            let listener = closing.await.expect("the task does not panic");
            tokio::task::spawn_local(peers::serve(listener, client_limits::peer_port(), answer));
            let began = Instant::now();
            let second = calls.call(address, Body::GetLeader(true), timeout).await;
            assert_eq!(second, Ok(Body::LeaderInfo(LeaderInfo::default())));
            assert!(began.elapsed() < timeout / 2, "{:?}", began.elapsed());
        })
        .await;
}

#[tokio::test]
async fn concurrent_calls_share_a_connection() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = host().await;
            tokio::task::spawn_local(peers::serve(listener, client_limits::peer_port(), answer));
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
async fn a_stopped_host_is_distinguished_from_an_unresponsive_host() {
    LocalSet::new()
        .run_until(async {
            let (listener, silent) = host().await;
            let (gone_listener, gone) = host().await;
            drop(gone_listener);
            let calls = Peers::default();
            let timeout = Duration::from_millis(300);
            let to_gone = calls.call(gone, Body::GetLeader(true), timeout).await;
            assert_eq!(to_gone, Err(PeerError::NotSent));
            assert!(peers::refuses_connections(gone).await);
            let to_silent = calls.call(silent, Body::GetLeader(true), timeout).await;
            assert_eq!(to_silent, Err(PeerError::Unanswered));
            assert!(!peers::refuses_connections(silent).await);
            drop(listener);
        })
        .await;
}

fn report() -> HoldReport {
    let task = |text: &str| text.parse().expect("a valid task ID");
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
    ];
    let ended = kinds.into_iter().enumerate().map(|(n, kind)| ReportedEnd {
        number: n as u64 + 1,
        task: task("0123456789abcdef.3.2.1"),
        run: 7,
        kind,
        checkpoint: "saved".to_owned(),
    });
    HoldReport {
        clock_ms: 99,
        started_unix_ms: 1_800_000_000_000,
        running: vec![ReportedRun {
            task: task("fedcba9876543210.0.0.41"),
            run: 1_001,
            checkpoint: String::new(),
            percent: 41,
            measured_value: 250,
        }],
        ended: ended.collect(),
        ends_truncated: true,
    }
}

#[test]
fn hold_reports_round_trip() {
    let report = report();
    let sent = HoldReply::listed(5, &report).encode_to_vec();
    let received = HoldReply::decode(sent.as_slice()).expect("the message decodes");
    assert_eq!(received.connection, 5);
    assert_eq!(received.report(), report);
}

#[test]
fn malformed_rows_are_skipped() {
    let mut held = HoldReply::listed(5, &report());
    held.running[0].task = None;
    held.ended[0].kind = 77;
    held.ended[1].task = None;
    let read = held.report();
    assert_eq!(read.running.len(), 0);
    assert_eq!(read.ended.len(), 4);
}

#[test]
fn start_answers_round_trip_and_unknown_numbers_decode_as_unknown() {
    let answers = [
        StartResponse::Started,
        StartResponse::Fenced,
        StartResponse::OldRun,
        StartResponse::TooLate,
        StartResponse::NoRoom,
        StartResponse::BadTicket,
        StartResponse::Unhealthy,
        StartResponse::OtherLife,
        StartResponse::Malformed,
        StartResponse::NoText,
        StartResponse::Unknown,
    ];
    for answer in answers {
        let number = peers::encode_start_response(answer);
        assert_eq!(peers::decode_start_response(number), answer);
    }
    assert_eq!(peers::decode_start_response(4_000), StartResponse::Unknown);
}
