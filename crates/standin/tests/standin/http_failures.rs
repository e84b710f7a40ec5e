//! Answers over HTTP that are lost, truncated or belong to another attempt.

use bytes::Bytes;
use hickorychute_standin as standin;
use kernel::ids;
use platform::store::{Condition, StoreError};
use platform::upstreams::{UpstreamAddress, UpstreamError};
use platform::workers::WorkerError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net;

use crate::support;
use crate::support::Served;

struct Case {
    name: &'static str,
    response: &'static str,
    complete: bool,
}

const CASES: [Case; 7] = [
    Case {
        name: "complete, with content length",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 1\r\ncontent-length: 4\r\n\r\nbody",
        complete: true,
    },
    Case {
        name: "complete, chunked",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        complete: true,
    },
    Case {
        name: "shorter than the content length",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 1\r\ncontent-length: 5\r\n\r\nbody",
        complete: false,
    },
    Case {
        name: "without the last chunk",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        complete: false,
    },
    Case {
        name: "without content length or chunks",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 1\r\nconnection: close\r\n\r\nbody",
        complete: false,
    },
    Case {
        name: "of another attempt",
        response: "HTTP/1.1 200 OK\r\nx-attempt-id: 2\r\ncontent-length: 4\r\n\r\nbody",
        complete: false,
    },
    Case {
        name: "no answer at all",
        response: "",
        complete: false,
    },
];

/// Sends a canned response to one request and closes the connection.
async fn respond(listener: net::TcpListener, response: &'static str) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 4_096];
    let _ = stream.read(&mut buffer).await.unwrap();
    stream.write_all(response.as_bytes()).await.unwrap();
}

#[tokio::test]
async fn only_a_complete_answer_is_returned() {
    for case in CASES {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let responder = tokio::spawn(respond(listener, case.response));
        let connection = platform::http::connect(&address).unwrap();
        let target = UpstreamAddress {
            address,
            run: support::run("bankbuch", 1),
        };
        let call = support::call(1, "/", b"");
        let got = connection.upstreams.call(&target, &call).await;
        responder.await.unwrap();
        if case.complete {
            assert_eq!(got.unwrap().body, "body", "{}", case.name);
        } else {
            let lost = matches!(got, Err(UpstreamError::AnswerLost { .. }));
            assert!(lost, "{}: {got:?}", case.name);
        }
    }
}

#[tokio::test]
async fn a_write_takes_effect_when_its_answer_is_lost() {
    let served = Served::start().await;
    let connection = served.connect("muc-ost").await;
    let lost = standin::LostAnswers {
        prefix: "journal/".to_owned(),
        count: Some(1),
        probability: None,
    };
    served
        .platform
        .apply(standin::Fault::LoseStoreAnswers(lost));
    let value = Bytes::from_static(b"entry");
    let put = connection
        .store
        .put("journal/1", value, Condition::Absent, None);
    let written = put.await;
    let is_lost = matches!(written, Err(StoreError::AnswerLost { .. }));
    assert!(is_lost, "{written:?}");
    let entry = connection.store.get("journal/1").await.unwrap();
    assert_eq!(entry.unwrap().value, "entry");
}

#[tokio::test]
async fn a_start_takes_effect_once_when_its_reply_is_lost() {
    let served = Served::start().await;
    let connection = served.connect("muc-ost").await;
    let zone = ids::ZoneId::new("muc-ost");
    let worker = &connection.workers.list(&zone).await.unwrap()[0];
    served.platform.apply(standin::Fault::LoseWorkerReplies {
        worker: worker.id.clone(),
        count: 1,
    });
    let request = support::starts(1, vec![support::batch("report", 1, 60_000)]);
    let first = connection.workers.sync(worker, &request).await;
    let is_lost = matches!(first, Err(WorkerError::ReplyLost { .. }));
    assert!(is_lost, "{first:?}");
    let late = connection.workers.sync(worker, &request).await;
    assert!(matches!(late, Err(WorkerError::OutOfOrder)), "{late:?}");
    let request = support::next(&request);
    let second = connection.workers.sync(worker, &request).await.unwrap();
    assert_eq!(second.running.unwrap().len(), 1);
    assert!(second.refused.is_empty(), "{:?}", second.refused);
    let started = served.history.records(0);
    let started = started
        .iter()
        .filter(|record| matches!(record.event, kernel::history::Event::TaskStarted { .. }));
    assert_eq!(started.count(), 1);
}
