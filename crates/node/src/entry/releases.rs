//! Handlers for release notes and releases.

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Request};
use kernel::errors;
use kernel::ids;
use kernel::lifecycle;

use super::Entry;
use super::body;
use super::calls::header;
use super::params::PathParams;
use super::reply::HandlerResult;
use crate::operators;

/// Accepts a release note.
pub(super) async fn submit(
    State(entry): State<Entry>,
    request: Request<Body>,
) -> HandlerResult<Json<api::SubmitReply>> {
    let (submitter, base) = read_headers(request.headers())?;
    let (note, _memory) = body::read(&entry, request.into_body()).await?;
    let accepted = entry
        .operations
        .submit_release(&note, &submitter, base)
        .await?;
    Ok(Json(api::SubmitReply {
        version: accepted.version,
        added: accepted.changes.added,
        changed: accepted.changes.changed,
        withdrawn: accepted.changes.withdrawn,
    }))
}

fn read_headers(headers: &HeaderMap) -> errors::Result<(String, Option<ids::ReleaseVersion>)> {
    let bad_request = |detail: &str| errors::Error::new(errors::ErrorKind::BadRequest, detail);
    let submitter = header(headers, api::headers::SUBMITTER_ID)
        .filter(|submitter| !submitter.is_empty())
        .ok_or_else(|| {
            bad_request("x-submitter-id is required; send a note again under the same id")
        })?;
    let base = header(headers, api::headers::BASE_VERSION)
        .map(|text| text.parse().map(ids::ReleaseVersion))
        .transpose()
        .map_err(|_| bad_request("x-base-version is not a whole number"))?;
    Ok((submitter, base))
}

/// The release in force on this host.
pub(super) async fn current(State(entry): State<Entry>) -> HandlerResult<Json<api::ReleaseView>> {
    let accepted = entry.shared.releases.shared().current().ok_or_else(|| {
        errors::Error::new(
            errors::ErrorKind::NotFound,
            "no release has been accepted yet",
        )
    })?;
    Ok(Json(view(&accepted)))
}

/// One release by version, from this host if it is in force, else from the store.
pub(super) async fn show(
    State(entry): State<Entry>,
    PathParams(version): PathParams<u64>,
) -> HandlerResult<Json<api::ReleaseView>> {
    let version = ids::ReleaseVersion(version);
    if let Some(accepted) = entry.shared.releases.shared().current()
        && accepted.version() == version
    {
        return Ok(Json(view(&accepted)));
    }
    let key = release::accepted::key(version);
    let found = entry
        .shared
        .platform
        .store
        .get(&key)
        .await
        .map_err(errors::Error::from)?;
    let found = found.ok_or_else(|| {
        errors::Error::new(
            errors::ErrorKind::NotFound,
            format!("release {version} does not exist or is no longer kept"),
        )
    })?;
    let accepted = release::AcceptedRelease::from_entry(&found)?;
    Ok(Json(view(&accepted)))
}

fn view(accepted: &release::AcceptedRelease) -> api::ReleaseView {
    api::ReleaseView {
        submitter: accepted.submitter.clone(),
        note: accepted.note.clone(),
        release: accepted.release.clone(),
    }
}

/// The release version in force on each known host.
pub(super) async fn status(State(entry): State<Entry>) -> Json<api::ReleaseStatus> {
    let shared = &entry.shared;
    let version = shared.releases.version();
    let hosts = shared
        .membership()
        .hosts(shared.now_ms())
        .into_iter()
        .enumerate()
        .map(|(position, host)| api::HostRelease {
            host: ids::HostId::new(&host.rumor.host),
            zone: ids::ZoneId::new(&host.rumor.zone),
            phase: operators::parse_phase(&host.rumor.phase).unwrap_or(lifecycle::Phase::Joining),
            // The local host comes first. Its gossip entry lags by up to one round, so the
            // version is read directly.
            version: if position == 0 {
                version
            } else {
                ids::ReleaseVersion(host.rumor.release_version)
            },
            heard_ms_ago: host.heard_ms_ago,
        })
        .collect();
    Json(api::ReleaseStatus { version, hosts })
}
