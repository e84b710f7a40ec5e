//! Deadlines, carried from hop to hop as time left.
//!
//! Clocks of different hosts are never compared: a message carries how much time
//! is left, and the receiver counts it from the receipt. Each hop therefore keeps back
//! what message and answer need on their way there and back. So the hop that knows
//! most about a call is the first whose deadline passes, and its definite answer
//! still reaches the caller in time.

use std::marker;

use kernel::errors;

use crate::router;

/// Time kept back for the way there and back within a zone.
const ZONE_RESERVE_MS: u64 = 2;
/// Time kept back for the way there and back between zones of a region.
const REGION_RESERVE_MS: u64 = 5;
/// Time kept back for the way there and back across the link between regions.
const LINK_RESERVE_MS: u64 = 70;

/// The work was not handed over: a passed deadline means that it did not run.
#[derive(Clone, Copy, Debug)]
pub struct NotStarted;
/// The work was handed over: a passed deadline leaves open whether it ran.
#[derive(Clone, Copy, Debug)]
pub struct Started;

/// When an answer must leave this process, on this process's own clock.
#[derive(Clone, Copy, Debug)]
pub struct Deadline<S> {
    at_ms: u64,
    state: marker::PhantomData<S>,
}

impl Deadline<NotStarted> {
    /// Makes a deadline from the time left that a message carried.
    pub fn new(time_left_ms: u64, now_ms: u64) -> Self {
        Self {
            at_ms: now_ms.saturating_add(time_left_ms),
            state: marker::PhantomData,
        }
    }

    /// The time left to put into a message to the next hop.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineBeforeStart`] if nothing is left after the reserve
    /// for the way there and back.
    pub fn next_hop_ms(&self, distance: router::Distance, now_ms: u64) -> errors::Result<u64> {
        let left_ms = self.left_ms(now_ms);
        let left_ms = left_ms.saturating_sub(hop_reserve_ms(distance));
        if left_ms == 0 {
            return Err(too_late(errors::ErrorKind::DeadlineBeforeStart));
        }
        Ok(left_ms)
    }

    /// Hands the work over, to an upstream or to another host.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineBeforeStart`] if the deadline has passed.
    pub fn start(self, now_ms: u64) -> errors::Result<Deadline<Started>> {
        if self.left_ms(now_ms) == 0 {
            return Err(too_late(errors::ErrorKind::DeadlineBeforeStart));
        }
        Ok(Deadline {
            at_ms: self.at_ms,
            state: marker::PhantomData,
        })
    }
}

impl Deadline<Started> {
    /// Checks that the answer can still be given.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::DeadlineAfterStart`] if the deadline has passed.
    pub fn check(&self, now_ms: u64) -> errors::Result<()> {
        if self.left_ms(now_ms) == 0 {
            return Err(too_late(errors::ErrorKind::DeadlineAfterStart));
        }
        Ok(())
    }
}

impl<S> Deadline<S> {
    /// The deadline on this process's own clock.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Time left; zero once the deadline has passed.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.at_ms.saturating_sub(now_ms)
    }
}

/// What a hop keeps back for the way over a distance and back.
pub fn hop_reserve_ms(distance: router::Distance) -> u64 {
    match distance {
        router::Distance::SameZone => ZONE_RESERVE_MS,
        router::Distance::SameRegion => REGION_RESERVE_MS,
        router::Distance::OtherRegion => LINK_RESERVE_MS,
    }
}

fn too_late(kind: errors::ErrorKind) -> errors::Error {
    errors::Error::new(kind, "the time that the caller allowed is over")
}
