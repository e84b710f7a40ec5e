//! Release notes.

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
use super::params::Params;
use super::reply::Reply;
use crate::operators;

/// Accepts a release note.
pub(super) async fn submit(
    State(entry): State<Entry>,
    request: Request<Body>,
) -> Reply<Json<api::SubmitReply>> {
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
    let bad = |detail: &str| errors::Error::new(errors::ErrorKind::BadRequest, detail);
    let submitter = header(headers, api::headers::SUBMITTER_ID)
        .filter(|submitter| !submitter.is_empty())
        .ok_or_else(|| bad("x-submitter-id is required; send a note again under the same id"))?;
    let base = header(headers, api::headers::BASE_VERSION)
        .map(|text| text.parse().map(ids::ReleaseVersion))
        .transpose()
        .map_err(|_| bad("x-base-version is not a whole number"))?;
    Ok((submitter, base))
}

/// The release in force at this host.
pub(super) async fn current(State(entry): State<Entry>) -> Reply<Json<api::ReleaseView>> {
    let accepted = entry.shared.releases.shared().current().ok_or_else(|| {
        errors::Error::new(errors::ErrorKind::NotFound, "no release was accepted yet")
    })?;
    Ok(Json(view(&accepted)))
}

/// One release, from this host or the store.
pub(super) async fn show(
    State(entry): State<Entry>,
    Params(version): Params<u64>,
) -> Reply<Json<api::ReleaseView>> {
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

/// Which host has which release.
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
            // The local host comes first, and its rumor is up to a round of gossip old.
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
