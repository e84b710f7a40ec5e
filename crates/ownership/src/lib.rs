//! Membership of the entry hosts and ownership of rack groups and shards.
//!
//! Two mechanisms have separate responsibilities:
//!
//! - *Membership* ([`Membership`]) distributes by gossip which hosts are alive,
//!   what they own and how loaded they are. It is independent of the store and
//!   may be wrong; no safety property depends on it.
//! - *Ownership* ([`OwnershipTable`], [`OwnershipClaim`]) determines which host
//!   may act. Every table is one value in the store, changed by compare-and-swap,
//!   and every change of owner increments the unit's epoch. Receivers of orders
//!   compare epochs, so an owner that was replaced while it was paused is refused.
//!
//! A host's lease in the store ([`Session`]) only affects when a takeover is
//! attempted. [`Mirror`] maintains a local copy of the few shared keys with a
//! single long-polling watch per host.

mod claim;
mod events;
mod membership;
mod mirror;
mod session;
mod table;

pub use claim::{Holdings, OwnershipClaim};
pub use membership::{HostView, Liveness, Membership, MembershipConfig};
pub use mirror::{Mirror, MirrorView};
pub use session::{MemberRecord, Session, SessionConfig};
pub use table::{OwnershipTable, Plan, UnitOwner};

/// Prefix of all keys that every host mirrors.
pub const SHARED_PREFIX: &str = "cell/";

/// Key of the value that lists the owners of a zone's rack groups.
pub fn zone_key(zone: &kernel::ids::ZoneId) -> String {
    format!("{SHARED_PREFIX}ownership/zone/{zone}")
}

/// Key of the value that lists the owners of the shards.
pub fn shards_key() -> String {
    format!("{SHARED_PREFIX}ownership/shards")
}

/// Prefix of the keys under which hosts register.
pub fn members_prefix() -> String {
    format!("{SHARED_PREFIX}members/")
}
