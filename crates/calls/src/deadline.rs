//! Deadlines, propagated from hop to hop as remaining time.
//!
//! Clocks of different hosts are never compared: a message carries the remaining time,
//! and the receiver counts it from receipt. Each hop therefore reserves the round-trip
//! time to the next. As a result the last hop, which knows whether the call ran, is the
//! first whose deadline passes, and its definite outcome still reaches the caller in
//! time.

use std::marker;

use kernel::errors;

use crate::router;

/// Round-trip time reserved for a hop within a zone.
const ZONE_ROUND_TRIP_RESERVE_MS: u64 = 2;
/// Round-trip time reserved for a hop between zones of a region.
const REGION_ROUND_TRIP_RESERVE_MS: u64 = 5;
/// Round-trip time reserved for a hop across the link between regions.
const LINK_ROUND_TRIP_RESERVE_MS: u64 = 70;

/// State of a deadline before the call was handed over: if it passes, the call did not
/// run.
#[derive(Clone, Copy, Debug)]
pub struct NotStarted;
/// State of a deadline after the call was handed over: if it passes, the call may have
/// run.
#[derive(Clone, Copy, Debug)]
pub struct Started;

/// Time by which a response must leave this process, on the clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Deadline<S> {
    at_ms: u64,
    state: marker::PhantomData<S>,
}

impl Deadline<NotStarted> {
    /// Creates a deadline from the remaining time in a received message.
    pub fn new(remaining_ms: u64, now_ms: u64) -> Self {
        Self {
            at_ms: now_ms.saturating_add(remaining_ms),
            state: marker::PhantomData,
        }
    }

    /// The remaining time to put into a message to the next hop.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineBeforeStart`] if nothing remains after the
    /// reserve for the round trip.
    pub fn next_hop_ms(&self, distance: router::Distance, now_ms: u64) -> errors::Result<u64> {
        let remaining_ms = self.remaining_ms(now_ms);
        let remaining_ms = remaining_ms.saturating_sub(hop_reserve_ms(distance));
        if remaining_ms == 0 {
            return Err(deadline_exceeded(errors::ErrorKind::DeadlineBeforeStart));
        }
        Ok(remaining_ms)
    }

    /// Marks the call as handed over to an upstream or to another host.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineBeforeStart`] if the deadline has passed.
    pub fn start(self, now_ms: u64) -> errors::Result<Deadline<Started>> {
        if self.remaining_ms(now_ms) == 0 {
            return Err(deadline_exceeded(errors::ErrorKind::DeadlineBeforeStart));
        }
        Ok(Deadline {
            at_ms: self.at_ms,
            state: marker::PhantomData,
        })
    }
}

impl Deadline<Started> {
    /// Checks that the deadline has not passed.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineAfterStart`] if the deadline has passed.
    pub fn check(&self, now_ms: u64) -> errors::Result<()> {
        if self.remaining_ms(now_ms) == 0 {
            return Err(deadline_exceeded(errors::ErrorKind::DeadlineAfterStart));
        }
        Ok(())
    }
}

impl<S> Deadline<S> {
    /// The deadline on the clock of this process.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Remaining time; zero once the deadline has passed.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.at_ms.saturating_sub(now_ms)
    }
}

/// Round-trip time that a hop over `distance` reserves.
pub fn hop_reserve_ms(distance: router::Distance) -> u64 {
    match distance {
        router::Distance::SameZone => ZONE_ROUND_TRIP_RESERVE_MS,
        router::Distance::SameRegion => REGION_ROUND_TRIP_RESERVE_MS,
        router::Distance::OtherRegion => LINK_ROUND_TRIP_RESERVE_MS,
    }
}

fn deadline_exceeded(kind: errors::ErrorKind) -> errors::Error {
    errors::Error::new(kind, "deadline exceeded")
}
