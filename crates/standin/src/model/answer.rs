//! Computes a minion's answer from the path of a call.

use bytes::Bytes;
use kernel::ids;
use platform::upstreams::{BODY_LIMIT_BYTES, UpstreamCall};

use super::digest;
use super::minion::{Echo, MinionAnswer};

/// Maximum processing time that `/sleep/MS` can request.
const MAX_SLEEP_MS: u64 = 600_000;

/// The answer to a call: an echo, modified by the paths `/size/N`, `/chunked/N`, `/sleep/MS` and `/fail`.
pub(super) fn answer(run: &ids::TaskAttempt, call: &UpstreamCall, call_ms: u64) -> MinionAnswer {
    let echo = Echo {
        service: run.task.work.to_string(),
        instance: run.to_string(),
        attempt_id: call.attempt_id,
        digest: digest::digest(&call.body),
    };
    let path = call.path.split('?').next().unwrap_or_default();
    let mut parts = path.trim_start_matches('/').split('/');
    let command = parts.next().unwrap_or_default();
    let number: Option<u64> = parts.next().and_then(|part| part.parse().ok());
    let mut answer = MinionAnswer {
        status: 200,
        body: Bytes::new(),
        sized: true,
        work_ms: call_ms,
    };
    match (command, number) {
        ("size", Some(bytes)) => answer.body = digest_body(&echo, bytes),
        ("chunked", Some(bytes)) => {
            answer.body = digest_body(&echo, bytes);
            answer.sized = false;
        }
        ("sleep", Some(ms)) => {
            answer.work_ms = ms.min(MAX_SLEEP_MS);
            answer.body = echo_json(&echo);
        }
        ("fail", _) => {
            answer.status = 500;
            answer.body = echo_json(&echo);
        }
        _ => answer.body = echo_json(&echo),
    }
    answer
}

/// The request number from the query parameter `?request=N`; zero if absent.
pub(super) fn request_number(path: &str) -> u64 {
    let Some((_, query)) = path.split_once('?') else {
        return 0;
    };
    let number = query
        .split('&')
        .find_map(|part| part.strip_prefix("request="));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn echo_json(echo: &Echo) -> Bytes {
    Bytes::from(serde_json::to_vec(echo).unwrap_or_default())
}

/// A body of `bytes` bytes that repeats the request's digest in hexadecimal.
fn digest_body(echo: &Echo, bytes: u64) -> Bytes {
    let length = usize::try_from(bytes).unwrap_or(usize::MAX);
    let pattern = format!("{:016x}", echo.digest).into_bytes();
    pattern
        .into_iter()
        .cycle()
        .take(length.min(BODY_LIMIT_BYTES))
        .collect()
}
