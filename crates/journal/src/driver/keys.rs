//! Store keys of journal entries and snapshots.

use kernel::ids;

/// Prefix of all entries of a shard.
pub(super) fn entries(shard: ids::ShardId) -> String {
    format!("journal/{:05}/", shard.0)
}

/// Key of one entry; keys sort by sequence number.
pub(super) fn entry(shard: ids::ShardId, seq: u64) -> String {
    format!("journal/{:05}/{seq:012}", shard.0)
}

/// Sequence number in the key of an entry; `None` if the key has none.
pub(super) fn entry_seq(key: &str) -> Option<u64> {
    let (_, number) = key.rsplit_once('/')?;
    number.parse().ok()
}

/// Key of the head that names a shard's snapshot in force.
pub(super) fn snapshot_head(shard: ids::ShardId) -> String {
    format!("snapshot/{:05}", shard.0)
}

/// Prefix of the chunks of all snapshots of a shard.
pub(super) fn snapshot_chunks(shard: ids::ShardId) -> String {
    format!("snapshot/{:05}/", shard.0)
}

/// Prefix of the chunks of one snapshot; prefixes sort by epoch, then by sequence number.
pub(super) fn snapshot(shard: ids::ShardId, epoch: ids::Epoch, seq: u64, session: u64) -> String {
    format!(
        "snapshot/{:05}/{:012}-{seq:012}-{session:016x}/",
        shard.0, epoch.0
    )
}

/// Key of one chunk of a snapshot.
pub(super) fn chunk(prefix: &str, index: u32) -> String {
    format!("{prefix}{index:04}")
}
