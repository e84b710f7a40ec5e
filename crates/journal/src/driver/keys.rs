//! Keys of the journal in the store.

use kernel::ids;

/// Prefix of all entries of a shard.
pub(super) fn entries(shard: ids::ShardId) -> String {
    format!("journal/{:05}/", shard.0)
}

/// Key of one entry; keys sort as their numbers.
pub(super) fn entry(shard: ids::ShardId, seq: u64) -> String {
    format!("journal/{:05}/{seq:012}", shard.0)
}

/// The number in the key of an entry.
pub(super) fn entry_seq(key: &str) -> Option<u64> {
    let (_, number) = key.rsplit_once('/')?;
    number.parse().ok()
}

/// Key of the head of a shard's snapshot.
pub(super) fn snapshot_head(shard: ids::ShardId) -> String {
    format!("snapshot/{:05}", shard.0)
}

/// Prefix of the chunks of all snapshots of a shard.
pub(super) fn snapshot_chunks(shard: ids::ShardId) -> String {
    format!("snapshot/{:05}/", shard.0)
}

/// Prefix of the chunks of one snapshot; prefixes sort as epoch and number.
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
