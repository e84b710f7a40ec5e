//! What the end of a job is worth, by how late it is.

/// Multiple of a job's objective up to which a late completion still has value.
pub const MAX_LATENESS_FACTOR: u64 = 3;
/// Lateness of a job whose result has no value any more.
pub const MAX_LATENESS: u8 = 2;

/// Lateness of a job that was due to begin at `since_unix_ms`, may take `allowed_ms`, and ends at
/// `ends_unix_ms`: 0 if it meets its objective, 1 if it is late but its result still has value,
/// [`MAX_LATENESS`] otherwise.
pub fn lateness(since_unix_ms: u64, allowed_ms: u64, ends_unix_ms: u64) -> u8 {
    let within_ms = |duration_ms| since_unix_ms.saturating_add(duration_ms);
    if ends_unix_ms <= within_ms(allowed_ms) {
        0
    } else if ends_unix_ms <= within_ms(allowed_ms.saturating_mul(MAX_LATENESS_FACTOR)) {
        1
    } else {
        MAX_LATENESS
    }
}
