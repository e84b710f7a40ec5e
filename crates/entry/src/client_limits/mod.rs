//! Which connections and how much of their data a listening port keeps, and which it sheds.
//!
//! The decisions are free of I/O and clock: [`Connections`] holds what is known of each connection,
//! the driver in [`crate::ports`] reports what happens and closes the connections named.

mod reports;
mod shares;

use indexmap::IndexMap;

pub use reports::Reports;
pub use shares::{
    PortLimits, Timeouts, clients, jobs, metrics, peers, readiness, starts_in_flight,
    worker_connections,
};

/// A request or frame that needs at most this much may take memory from larger ones, in bytes:
/// ordinary jobs have some kilobytes.
pub const SMALL_BYTES: usize = 16 << 10;
/// Unfinished data without a byte for this long is given up in favour of other requests, in
/// milliseconds.
pub const STALLED_MS: u64 = 500;
/// Age from which an unfinished request gives way to others although it moves, in milliseconds: an
/// ordinary request arrives whole within a few round trips.
pub const SLOW_MS: u64 = 500;
/// Age from which it gives up memory to a large request as well, in milliseconds.
pub const SLOW_LARGE_MS: u64 = 2_000;
/// Time after which a connection that was told to close is cut off, in milliseconds.
const CLOSING_MS: u64 = 1_000;
/// Longest time between two looks at the time limits that counts as waiting, in milliseconds. If the
/// process was suspended for longer, unread data may have arrived meanwhile.
const MAX_LOOK_INTERVAL_MS: u64 = 2_000;
/// Part of the memory that larger requests leave to small ones while they are handled: one byte in
/// this many.
const SMALL_MEMORY_PART: usize = 16;

/// Why a connection or request was refused or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The limit on connections is reached.
    Connections,
    /// The limit on memory is reached.
    Memory,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// A body or frame did not make progress, or took too long as a whole.
    SlowBody,
    /// No request arrived in time.
    Idle,
    /// Responses were not read in time.
    Unread,
}

impl Reason {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::Idle => "idle",
            Self::Unread => "unread",
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request, or a frame, arrives.
    Body,
    /// A complete request is handled. It may have effects, so it is never cut off to free memory.
    Handling,
    /// It was told to close.
    Closing,
}

/// A connection to shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// The connection.
    pub id: u64,
    /// Why.
    pub reason: Reason,
    /// Its phase: a request whose body arrives can be refused, any other connection is closed.
    pub phase: Phase,
}

/// Whether a port takes another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a place, or a connection that gives way.
    Open,
    /// A place becomes free soon: new connections wait for it, so that clients come in turn.
    Full,
    /// All places belong to requests that are handled: clients are better off at another host.
    Busy,
}

/// Whether a connection may have what it asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it may.
    pub granted: bool,
    /// Connections to shed for it.
    pub shed: Vec<Shed>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Whether it has completed a request.
    served: bool,
    since_ms: u64,
    /// Begin of the unfinished or handled request, or of the wait for one.
    request_ms: u64,
    progress_ms: u64,
    window_ms: u64,
    window_bytes: usize,
    /// Memory for the unfinished or handled request, in bytes.
    bytes: usize,
    blocked_since_ms: Option<u64>,
}

impl Connection {
    fn enter(&mut self, phase: Phase, now_ms: u64) {
        if phase == Phase::Idle || self.phase == Phase::Idle {
            self.request_ms = now_ms;
        }
        self.phase = phase;
        self.since_ms = now_ms;
        self.progress_ms = now_ms;
        self.window_ms = now_ms;
        self.window_bytes = 0;
    }

    fn is_unfinished(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body)
    }

    /// Whether nothing has arrived on it yet.
    fn is_new(&self) -> bool {
        self.phase == Phase::Idle && !self.served
    }

    /// Whether a new connection may replace it. A new one has as much time as a request has to arrive:
    /// its first bytes may wait to be read.
    fn gives_way(&self, now_ms: u64) -> bool {
        // A request without progress for `STALLED_MS` is at least as old.
        let is_old = || now_ms.saturating_sub(self.request_ms) >= SLOW_MS;
        let is_slow = match self.phase {
            Phase::Idle => self.served || is_old(),
            Phase::Head | Phase::Body => is_old(),
            Phase::Handling | Phase::Closing => false,
        };
        is_slow || self.is_unread(now_ms)
    }

    /// Whether its request has been unfinished for this long.
    fn is_unfinished_for(&self, age_ms: u64, now_ms: u64) -> bool {
        self.is_unfinished() && now_ms.saturating_sub(self.request_ms) >= age_ms
    }

    fn is_stalled(&self, now_ms: u64) -> bool {
        self.is_unfinished() && now_ms.saturating_sub(self.progress_ms) >= STALLED_MS
    }

    /// Whether the client has not taken its response for long enough to be replaced.
    fn is_unread(&self, now_ms: u64) -> bool {
        self.blocked_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= STALLED_MS)
            && self.phase != Phase::Closing
    }
}

/// The connections of a port.
#[derive(Debug)]
pub struct Connections {
    limits: PortLimits,
    entries: IndexMap<u64, Connection>,
    /// Memory for the requests of all connections, in bytes.
    request_bytes: usize,
    next_id: u64,
    looked_ms: u64,
}

impl Connections {
    /// A port without connections.
    pub fn new(limits: PortLimits, now_ms: u64) -> Self {
        Self {
            limits,
            entries: IndexMap::new(),
            request_bytes: 0,
            next_id: 0,
            looked_ms: now_ms,
        }
    }

    /// The limits in effect.
    pub fn limits(&self) -> &PortLimits {
        &self.limits
    }

    /// Puts limits into effect; those that are exceeded now are met as connections end.
    pub fn set_limits(&mut self, limits: PortLimits) {
        self.limits = limits;
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Memory that the connections account for, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.request_bytes + self.count() * self.limits.connection_bytes
    }

    /// Number of connections that were not told to close.
    fn open_count(&self) -> usize {
        let open = |known: &&Connection| known.phase != Phase::Closing;
        self.entries.values().filter(open).count()
    }

    /// Whether the connections that were told to close have to end before the port takes another one.
    /// They do within the next rounds of the event loop; a crowd may arrive faster.
    fn awaits_closing(&self) -> bool {
        self.count() > self.limits.max_connections + self.limits.max_connections / 16
    }

    /// Whether the port takes another connection.
    pub fn admission(&self, now_ms: u64) -> Admission {
        if self.awaits_closing() {
            return Admission::Full;
        }
        if self.open_count() < self.limits.max_connections || self.least_needed(now_ms).is_some() {
            return Admission::Open;
        }
        let gives_way_soon = |known: &Connection| known.is_unfinished() || known.is_new();
        if self.entries.values().any(gives_way_soon) {
            Admission::Full
        } else {
            Admission::Busy
        }
    }

    /// Adds a connection and returns its identifier, or `None` if the port has no place for it.
    pub fn open(&mut self, now_ms: u64) -> (Option<u64>, Vec<Shed>) {
        let mut shed = Vec::new();
        if self.open_count() >= self.limits.max_connections {
            let Some(victim) = self.least_needed(now_ms) else {
                return (None, shed);
            };
            shed.push(self.shed(victim, Reason::Connections, now_ms));
        }
        if self.awaits_closing() {
            return (None, shed);
        }
        self.next_id += 1;
        let connection = Connection {
            phase: Phase::Idle,
            served: false,
            since_ms: now_ms,
            request_ms: now_ms,
            progress_ms: now_ms,
            window_ms: now_ms,
            window_bytes: 0,
            bytes: 0,
            blocked_since_ms: None,
        };
        self.entries.insert(self.next_id, connection);
        (Some(self.next_id), shed)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: u64) {
        if let Some(ended) = self.entries.swap_remove(&id) {
            self.request_bytes -= ended.bytes;
        }
    }

    /// Records that a connection enters a phase. One that was told to close stays in that phase.
    pub fn enter(&mut self, id: u64, phase: Phase, now_ms: u64) {
        let Some(connection) = self.entries.get_mut(&id) else {
            return;
        };
        if connection.phase == Phase::Closing {
            return;
        }
        if phase == Phase::Idle {
            connection.served = true;
            self.request_bytes -= std::mem::take(&mut connection.bytes);
        }
        connection.enter(phase, now_ms);
    }

    /// Records bytes of a request or frame that arrived.
    pub fn progress(&mut self, id: u64, bytes: usize, now_ms: u64) {
        let Some(connection) = self.entries.get_mut(&id) else {
            return;
        };
        connection.progress_ms = now_ms;
        connection.window_bytes += bytes;
        if connection.window_bytes >= self.limits.body_window_bytes {
            connection.window_ms = now_ms;
            connection.window_bytes = 0;
        }
    }

    /// Records whether the client does not take what is written to it.
    pub fn set_blocked(&mut self, id: u64, blocked: bool, now_ms: u64) {
        if let Some(connection) = self.entries.get_mut(&id) {
            connection.blocked_since_ms =
                blocked.then(|| connection.blocked_since_ms.unwrap_or(now_ms));
        }
    }

    /// Phase of a connection; `None` if it has ended.
    pub fn phase(&self, id: u64) -> Option<Phase> {
        self.entries.get(&id).map(|known| known.phase)
    }

    /// Asks for memory for the request of a connection: `bytes` in total.
    ///
    /// A small request takes memory from the one without progress for longest, from the one that is
    /// unfinished for longest, or from the largest. A large one takes it only from those without progress
    /// and from slow ones, since several large ones would otherwise take it from each other and none
    /// would be completed.
    pub fn reserve(&mut self, id: u64, bytes: usize, now_ms: u64) -> Verdict {
        self.reserve_within(self.limits.memory_bytes, SMALL_BYTES, id, bytes, now_ms)
    }

    /// Asks for memory for a complete request that is about to be handled, in total. It keeps that until
    /// the response, so large ones leave some memory to small ones. A small one may also take it from
    /// unfinished ones that are not large, but larger than itself.
    pub fn reserve_handling(&mut self, id: u64, bytes: usize, now_ms: u64) -> Verdict {
        let mut limit_bytes = self.limits.memory_bytes;
        if bytes > SMALL_BYTES {
            limit_bytes -= limit_bytes / SMALL_MEMORY_PART;
        }
        self.reserve_within(limit_bytes, bytes, id, bytes, now_ms)
    }

    fn reserve_within(
        &mut self,
        limit_bytes: usize,
        spared_bytes: usize,
        id: u64,
        bytes: usize,
        now_ms: u64,
    ) -> Verdict {
        let mut verdict = Verdict::default();
        let known = self.entries.get(&id);
        let Some(own) = known.filter(|own| own.phase != Phase::Closing) else {
            return verdict;
        };
        let held = own.bytes;
        if bytes > held {
            let needed = bytes - held;
            while self.used_bytes() + needed > limit_bytes {
                let Some(victim) = self.most_expendable(id, bytes, spared_bytes, now_ms) else {
                    return verdict;
                };
                verdict.shed.push(self.shed(victim, Reason::Memory, now_ms));
            }
        }
        self.request_bytes = self.request_bytes - held + bytes;
        self.entries[&id].bytes = bytes;
        verdict.granted = true;
        verdict
    }

    /// Connections that exceed a time limit.
    pub fn expired(&mut self, now_ms: u64) -> Vec<Shed> {
        let passed_ms = now_ms.saturating_sub(self.looked_ms);
        self.looked_ms = now_ms;
        if passed_ms > MAX_LOOK_INTERVAL_MS {
            for known in self.entries.values_mut() {
                known.since_ms += passed_ms;
                known.request_ms += passed_ms;
                known.progress_ms += passed_ms;
                known.window_ms += passed_ms;
                known.blocked_since_ms = known.blocked_since_ms.map(|since| since + passed_ms);
            }
            return Vec::new();
        }
        let late: Vec<(u64, Reason)> = self
            .entries
            .iter()
            .filter_map(|(&id, known)| Some((id, self.expiry(known, now_ms)?)))
            .collect();
        late.into_iter()
            .map(|(id, reason)| self.shed(id, reason, now_ms))
            .collect()
    }

    fn expiry(&self, known: &Connection, now_ms: u64) -> Option<Reason> {
        let exceeds = |since_ms: u64, limit_ms: u64| now_ms.saturating_sub(since_ms) > limit_ms;
        let (limits, timeouts) = (&self.limits, &self.limits.timeouts);
        if let Some(since_ms) = known.blocked_since_ms
            && exceeds(since_ms, limits.write_timeout_ms)
        {
            return Some(Reason::Unread);
        }
        let idle_ms = if known.served {
            timeouts.idle_ms
        } else {
            Some(timeouts.first_request_ms)
        };
        match known.phase {
            Phase::Idle => idle_ms
                .is_some_and(|limit_ms| exceeds(known.since_ms, limit_ms))
                .then_some(Reason::Idle),
            Phase::Head => exceeds(known.since_ms, timeouts.head_ms).then_some(Reason::SlowHead),
            Phase::Body => (exceeds(known.window_ms, limits.body_window_ms)
                || exceeds(known.since_ms, limits.max_body_ms))
            .then_some(Reason::SlowBody),
            Phase::Closing => exceeds(known.since_ms, CLOSING_MS).then_some(Reason::Unread),
            Phase::Handling => None,
        }
    }

    /// The connection that a new one replaces: one that has completed no request before others, then
    /// the one whose request began, or whose wait for one began, first. A client that keeps sending a
    /// little is replaced like one that sends nothing.
    fn least_needed(&self, now_ms: u64) -> Option<u64> {
        let gives_way = self.entries.iter();
        let gives_way = gives_way.filter(|(_, known)| known.gives_way(now_ms));
        gives_way
            .min_by_key(|(_, known)| (known.served, known.request_ms))
            .map(|(&id, _)| id)
    }

    /// The connection other than `id` that gives up its memory to a request of `bytes`. Those that move
    /// and have at most `spared_bytes` give up nothing.
    fn most_expendable(
        &self,
        id: u64,
        bytes: usize,
        spared_bytes: usize,
        now_ms: u64,
    ) -> Option<u64> {
        let unfinished = || {
            self.entries.iter().filter(move |(other, known)| {
                **other != id && known.bytes > 0 && known.is_unfinished()
            })
        };
        let stalled = unfinished()
            .filter(|(_, known)| known.is_stalled(now_ms))
            .min_by_key(|(_, known)| known.progress_ms);
        let slow = || {
            unfinished()
                .filter(|(_, known)| known.is_unfinished_for(SLOW_LARGE_MS, now_ms))
                .min_by_key(|(_, known)| known.request_ms)
        };
        let found = stalled.or_else(slow).or_else(|| {
            let largest = unfinished()
                .filter(|(_, known)| known.bytes > spared_bytes)
                .max_by_key(|(_, known)| (!known.served, known.bytes));
            largest.filter(|_| bytes <= SMALL_BYTES)
        });
        found.map(|(&id, _)| id)
    }

    fn shed(&mut self, id: u64, reason: Reason, now_ms: u64) -> Shed {
        let connection = &mut self.entries[&id];
        let phase = connection.phase;
        self.request_bytes -= std::mem::take(&mut connection.bytes);
        connection.enter(Phase::Closing, now_ms);
        Shed { id, reason, phase }
    }
}
