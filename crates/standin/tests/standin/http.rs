//! The `http` platform plug-in against the stand-in server on loopback.

use bytes::Bytes;
use hickorychute_standin as standin;
use kernel::ids;
use platform::store::{Condition, StoreError};
use platform::upstreams::{UpstreamAddress, UpstreamError};

use crate::support;
use crate::support::Served;

#[tokio::test]
async fn a_call_reaches_a_started_minion() {
    let served = Served::start().await;
    let connection = served.connect("muc-ost").await;
    let zone = ids::ZoneId::new("muc-ost");
    let workers = connection.workers.list(&zone).await.unwrap();
    assert_eq!(workers.len(), 16);

    let order = support::service("bankbuch", 1);
    let request = support::starts(1, vec![order.clone()]);
    let reply = connection
        .workers
        .sync(&workers[0], &request)
        .await
        .unwrap();
    assert!(reply.refused.is_empty(), "{reply:?}");

    let target = UpstreamAddress {
        address: workers[0].address.clone(),
        run: order.run,
    };
    let call = support::call(7, "/bookings?request=3", b"bay 4");
    let answer = connection.upstreams.call(&target, &call).await.unwrap();
    let echo: standin::model::Echo = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((echo.service.as_str(), echo.attempt_id), ("bankbuch", 7));
    assert_eq!(echo.digest, standin::digest(b"bay 4"));

    let pattern = format!("{:016x}", echo.digest).into_bytes();
    for path in ["/size/3000000", "/chunked/3000000"] {
        let call = support::call(8, path, b"bay 4");
        let answer = connection.upstreams.call(&target, &call).await.unwrap();
        let expected = pattern.iter().cycle().take(3_000_000);
        assert!(answer.body.iter().eq(expected), "{path}");
    }
    let failed = support::call(9, "/fail", b"bay 4");
    let failed = connection.upstreams.call(&target, &failed).await.unwrap();
    assert_eq!((failed.status, failed.attempt_id), (500, 9));

    let leaving = workers[0].id.clone();
    assert!(
        served
            .platform
            .change_fleet(|fleet, now_ms| fleet.leave(&leaving, now_ms))
    );
    let refused = connection.upstreams.call(&target, &call).await;
    let leaving_refusal = matches!(refused, Err(UpstreamError::NotRun { leaving: true, .. }));
    assert!(leaving_refusal, "{refused:?}");
}

#[tokio::test]
async fn the_store_compares_and_swaps() {
    let served = Served::start().await;
    let store = served.connect("lan-sued").await.store;
    let value = Bytes::from_static(&[0, 159, 146, 150]);
    let first = store.put("a/b c#1", value.clone(), Condition::Absent, None);
    let revision = first.await.unwrap();
    let entry = store.get("a/b c#1").await.unwrap().unwrap();
    assert_eq!((entry.value, entry.revision), (value.clone(), revision));
    let second = store.put("a/b c#1", value, Condition::Absent, None).await;
    let Err(StoreError::Conflict { current }) = second else {
        panic!("expected a conflict, got {second:?}");
    };
    assert_eq!(current.unwrap().revision, revision);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let connection = platform::http::connect(&address.to_string()).unwrap();
    let got = connection.store.get("key").await;
    assert!(
        matches!(got, Err(StoreError::Unavailable { .. })),
        "{got:?}"
    );
    let target = UpstreamAddress {
        address: address.to_string(),
        run: support::run("bankbuch", 1),
    };
    let called = connection
        .upstreams
        .call(&target, &support::call(1, "/", b""))
        .await;
    let not_run = matches!(called, Err(UpstreamError::NotRun { leaving: false, .. }));
    assert!(not_run, "{called:?}");
}
