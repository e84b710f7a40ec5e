//! Calls to services.

use std::path::Path;

use kernel::errors;

use super::read_file;
use crate::Answer;
use crate::client;
use crate::plan;

/// Largest body that is sent, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Time beyond the deadline in which a host can still say what became of the request.
const ANSWER_GRACE_MS: u64 = 500;

pub(super) async fn call(settings: &plan::Settings, call: &plan::Call) -> errors::Result<Answer> {
    let timeout_ms = call.deadline_ms + ANSWER_GRACE_MS;
    let client = client::Client::new(settings.hosts.clone(), timeout_ms);
    let reply = client.send(&request(call)?).await?;
    let exit_code = if reply.status.is_success() {
        errors::EXIT_DONE
    } else {
        errors::EXIT_FAILED
    };
    Ok(Answer {
        text: reply.body.into(),
        exit_code,
    })
}

fn request(call: &plan::Call) -> errors::Result<client::Request> {
    let body = read_body(&call.data)?;
    let has_body = !body.is_empty();
    let method = if has_body {
        http::Method::POST
    } else {
        http::Method::GET
    };
    let repeat = if call.key.is_some() {
        client::Repeat::Forbidden
    } else {
        client::Repeat::Harmless
    };
    let mut request = client::Request {
        method,
        body: body.into(),
        repeat,
        ..client::Request::get(api::paths::call(&call.service, &call.path))
    }
    .header(api::headers::DEADLINE_MS, &call.deadline_ms.to_string())?
    .header(api::headers::URGENCY, &call.urgency.to_string())?;
    if let Some(team) = &call.team {
        request = request.header(api::headers::TEAM, team.as_str())?;
    }
    if let Some(key) = &call.key {
        request = request.header(api::headers::IDEMPOTENCY_KEY, key.as_str())?;
    }
    Ok(request)
}

fn read_body(data: &str) -> errors::Result<Vec<u8>> {
    let Some(path) = data.strip_prefix('@') else {
        return Ok(data.as_bytes().to_vec());
    };
    let body = read_file(Path::new(path), BODY_LIMIT_BYTES)?;
    if body.len() > BODY_LIMIT_BYTES {
        let detail = format!("{path} is larger than {BODY_LIMIT_BYTES} bytes");
        return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
    }
    Ok(body)
}
