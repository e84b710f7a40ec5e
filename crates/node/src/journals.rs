//! Opening the journals of shards.

use std::sync::Arc;

use journal::ShardJournal;
use kernel::errors;
use kernel::ids;

use crate::shared;

/// Timeout for records to become durable, in milliseconds.
pub(crate) const APPEND_WAIT_MS: u64 = 5_000;

/// Additional time for a write in flight to complete, in milliseconds; longer than one call to
/// the store takes.
pub(crate) const APPEND_GRACE_MS: u64 = 1_500;

/// Opens a shard's journal under an epoch, which fences earlier owners.
///
/// # Errors
///
/// As [`ShardJournal::open`].
pub(crate) async fn open(
    shared: &Arc<shared::Shared>,
    shard: ids::ShardId,
    epoch: ids::Epoch,
) -> errors::Result<ShardJournal> {
    let config = shared.journals.clone();
    let store = Arc::clone(&shared.platform.store);
    ShardJournal::open(store, shard, &shared.config.host, epoch, config).await
}
