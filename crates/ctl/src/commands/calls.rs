//! The `call` command.

use std::path::Path;

use kernel::errors;

use super::read_file;
use crate::CommandOutput;
use crate::client;
use crate::plan;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time beyond the deadline in which a host can still report the outcome of the request.
const RESPONSE_GRACE_MS: u64 = 500;

pub(super) async fn call(
    settings: &plan::Settings,
    call: &plan::Call,
) -> errors::Result<CommandOutput> {
    let timeout_ms = call.deadline_ms + RESPONSE_GRACE_MS;
    let client = client::Client::new(settings.hosts.clone(), timeout_ms);
    let response = client.send(&request(call)?).await?;
    let exit_code = if response.status.is_success() {
        errors::EXIT_DONE
    } else {
        errors::EXIT_FAILED
    };
    Ok(CommandOutput {
        stdout: response.body.into(),
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
    let idempotency = if call.key.is_some() {
        client::Idempotency::NonIdempotent
    } else {
        client::Idempotency::Idempotent
    };
    let mut request = client::Request {
        method,
        body: body.into(),
        idempotency,
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
    let body = read_file(Path::new(path), MAX_BODY_BYTES)?;
    if body.len() > MAX_BODY_BYTES {
        let detail = format!("{path} is larger than the limit of {MAX_BODY_BYTES} bytes");
        return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
    }
    Ok(body)
}
