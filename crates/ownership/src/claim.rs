//! Acquires and releases units by compare-and-swap.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use platform::store;

use crate::{OwnershipTable, events};

/// The units that a host owns according to a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// The owned units with their epochs.
    pub units: IndexMap<u16, ids::Epoch>,
    /// Store revision of the table; the default if the table does not exist.
    pub revision: store::Revision,
}

/// One host's handle on the ownership table of a set of units.
#[derive(Clone, Debug)]
pub struct OwnershipClaim {
    store: Arc<dyn store::Store>,
    key: String,
    units: u16,
    host: ids::HostId,
}

impl OwnershipClaim {
    /// Creates a handle of `host` on the table under `key`, which has `units` units.
    pub fn new(store: Arc<dyn store::Store>, key: String, units: u16, host: ids::HostId) -> Self {
        Self {
            store,
            key,
            units,
            host,
        }
    }

    /// Store key of the table.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns what the host owns according to `seen`, without a store call.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the table does not decode.
    pub fn observe(&self, seen: Option<&store::Entry>) -> errors::Result<Holdings> {
        Ok(self.holdings(&decode(seen)?, seen))
    }

    /// Writes the changes planned for this host, if any, and returns what it owns afterwards.
    ///
    /// `seen` is the last known table, usually from a mirror. A conflict or a lost
    /// answer is not an error: the table is read again, and its content determines
    /// whether this host's change took effect. Because every acquisition increments
    /// the unit's epoch, a change read back cannot be confused with an earlier one.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::StoreUnavailable`] if the store does not answer; the
    /// host's holdings are then unchanged as far as it can tell.
    pub async fn settle(
        &self,
        seen: Option<&store::Entry>,
        candidates: &[ids::HostId],
    ) -> errors::Result<Holdings> {
        let mut entry = seen.cloned();
        let table = decode(entry.as_ref())?;
        let plan = table.plan(self.units, candidates, &self.host);
        if plan.is_empty() {
            return Ok(self.holdings(&table, entry.as_ref()));
        }
        let mut next = table;
        for unit in &plan.give_up {
            next.give_up(*unit, &self.host);
        }
        for unit in &plan.take {
            next.take(*unit, &self.host);
        }
        let condition = entry.as_ref().map_or(store::Condition::Absent, |entry| {
            store::Condition::Unchanged(entry.revision)
        });
        let value = Bytes::from(next.encode()?);
        match self
            .store
            .put(&self.key, value.clone(), condition, None)
            .await
        {
            Ok(revision) => {
                self.log_change(&plan);
                Ok(Holdings {
                    units: next.owned_by(&self.host),
                    revision,
                })
            }
            Err(store::StoreError::Conflict { .. } | store::StoreError::AnswerLost { .. }) => {
                entry = self.store.get(&self.key).await?;
                let table = decode(entry.as_ref())?;
                Ok(self.holdings(&table, entry.as_ref()))
            }
            Err(error) => Err(error.into()),
        }
    }

    fn holdings(&self, table: &OwnershipTable, entry: Option<&store::Entry>) -> Holdings {
        Holdings {
            units: table.owned_by(&self.host),
            revision: entry.map(|entry| entry.revision).unwrap_or_default(),
        }
    }

    fn log_change(&self, plan: &crate::Plan) {
        if !plan.take.is_empty() {
            kernel::log_event!(events::UNITS_TAKEN, "{} units {:?}", self.key, plan.take);
        }
        if !plan.give_up.is_empty() {
            kernel::log_event!(
                events::UNITS_YIELDED,
                "{} units {:?}",
                self.key,
                plan.give_up
            );
        }
    }
}

fn decode(entry: Option<&store::Entry>) -> errors::Result<OwnershipTable> {
    let Some(entry) = entry else {
        return Ok(OwnershipTable::default());
    };
    OwnershipTable::decode(&entry.value).inspect_err(|error| {
        kernel::log_event!(events::TABLE_MALFORMED, "{}: {error}", entry.key);
    })
}
