//! Listening ports whose connections are limited by [`crate::client_limits`].

mod http;
mod stream;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::{Context, Waker},
    time::Duration,
};

use indexmap::IndexMap;
use kernel::log_event;
use tokio::{sync::Notify, time};

pub use http::{BodyError, read_body, serve};
pub use stream::Metered;

use crate::{
    client_limits::{
        Admission, Connections, Phase, PortLimits, Reason, Reports, SMALL_BYTES, Shed,
    },
    clock, events,
    metrics::Metrics,
};

/// Interval between two looks for a place while new connections wait.
const PLACE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two looks at the time limits.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Header bytes that the memory of a connection without request includes.
const INCLUDED_HEAD_BYTES: usize = SMALL_BYTES / 2;

/// What arrives at a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP requests. A request whose body arrives is refused with a response.
    Http,
    /// Frames between hosts. A connection with an unfinished frame is closed.
    Frames,
}

/// A listening port and its connections.
#[derive(Debug)]
pub struct Port {
    name: &'static str,
    protocol: Protocol,
    connections: RefCell<Connections>,
    handles: RefCell<IndexMap<u64, Rc<Handle>>>,
    reports: RefCell<Reports>,
    metrics: Rc<Metrics>,
}

/// How the task of a connection learns that it is shed.
#[derive(Debug, Default)]
struct Handle {
    cut: Notify,
    refuse: Notify,
    reason: Cell<Option<Reason>>,
}

impl Port {
    /// A port without connections; `name` is its label in logs and metrics.
    pub fn new(
        name: &'static str,
        protocol: Protocol,
        limits: PortLimits,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            protocol,
            connections: RefCell::new(Connections::new(limits, clock::now_ms())),
            handles: RefCell::default(),
            reports: RefCell::default(),
            metrics,
        })
    }

    /// The limits in effect.
    pub fn limits(&self) -> PortLimits {
        *self.connections.borrow().limits()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.borrow().count()
    }

    /// Waits while an accepted connection would find no place but soon will. The next ones stay in the
    /// queue of the listener meanwhile, from which they are taken in the order of their arrival.
    pub async fn place_ready(&self) {
        while self.connections.borrow().admission(clock::now_ms()) == Admission::Full {
            time::sleep(PLACE_INTERVAL).await;
        }
    }

    /// A place for an accepted connection, or `None` if it is to be closed.
    pub fn accept(self: &Rc<Self>) -> Option<Guard> {
        let (id, shed) = self.connections.borrow_mut().open(clock::now_ms());
        self.apply(shed);
        let Some(id) = id else {
            self.report(Reason::Connections);
            return None;
        };
        let handle = Rc::<Handle>::default();
        self.handles.borrow_mut().insert(id, Rc::clone(&handle));
        Some(Guard {
            port: Rc::clone(self),
            id,
            handle,
            unfinished_bytes: Cell::default(),
            is_blocked: Cell::default(),
            reader: RefCell::default(),
        })
    }

    /// Applies the time limits, and the newest limits, for the lifetime of the process.
    pub async fn watch(self: Rc<Self>, limits: impl Fn() -> PortLimits) {
        loop {
            time::sleep(LOOK_INTERVAL).await;
            let now_ms = clock::now_ms();
            let shed = {
                let mut connections = self.connections.borrow_mut();
                connections.set_limits(limits());
                connections.expired(now_ms)
            };
            self.apply(shed);
            for (reason, count) in self.reports.borrow_mut().due(now_ms) {
                self.log(reason, count);
            }
        }
    }

    fn apply(&self, shed: Vec<Shed>) {
        for Shed { id, reason, phase } in shed {
            if phase != Phase::Closing {
                self.report(reason);
            }
            let handles = self.handles.borrow();
            let Some(handle) = handles.get(&id) else {
                continue;
            };
            handle.reason.set(Some(reason));
            let can_answer = self.protocol == Protocol::Http && reason != Reason::Unread;
            if can_answer && phase == Phase::Body {
                handle.refuse.notify_one();
            } else {
                handle.cut.notify_one();
            }
        }
    }

    fn report(&self, reason: Reason) {
        self.metrics.count_refusal(self.name, reason.label());
        let due = self.reports.borrow_mut().count(reason, clock::now_ms());
        if let Some(count) = due {
            self.log(reason, count);
        }
    }

    fn log(&self, reason: Reason, count: u64) {
        let connections = self.connections.borrow();
        log_event!(
            events::CLIENTS_SHED,
            "port={} reason={} count={count} connections={} memory_bytes={}",
            self.name,
            reason.label(),
            connections.count(),
            connections.used_bytes()
        );
    }
}

/// The place of a connection at its port; released on drop.
#[derive(Debug)]
pub struct Guard {
    port: Rc<Port>,
    id: u64,
    handle: Rc<Handle>,
    /// Bytes of the unfinished head or frame.
    unfinished_bytes: Cell<usize>,
    /// Whether a write waits for the client.
    is_blocked: Cell<bool>,
    /// Reader that waits for the end of that.
    reader: RefCell<Option<Waker>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.port.connections.borrow_mut().close(self.id);
        self.port.handles.borrow_mut().swap_remove(&self.id);
    }
}

impl Guard {
    /// Records that the connection enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.unfinished_bytes.set(0);
        let mut connections = self.port.connections.borrow_mut();
        connections.enter(self.id, phase, clock::now_ms());
    }

    /// Completes when the connection is to be closed.
    pub async fn cut(&self) {
        self.handle.cut.notified().await;
    }

    /// Completes when the request whose body arrives is to be refused.
    async fn refused(&self) -> Reason {
        self.handle.refuse.notified().await;
        self.handle.reason.get().unwrap_or(Reason::Memory)
    }

    /// Records payload of a body that arrived.
    fn progress(&self, bytes: usize) {
        let mut connections = self.port.connections.borrow_mut();
        connections.progress(self.id, bytes, clock::now_ms());
    }

    /// Asks for memory for the request: `bytes` in total.
    fn reserve(&self, bytes: usize) -> bool {
        let now_ms = clock::now_ms();
        let verdict = self
            .port
            .connections
            .borrow_mut()
            .reserve(self.id, bytes, now_ms);
        self.port.apply(verdict.shed);
        verdict.granted
    }

    /// Asks for memory for the complete request that is about to be handled, in total. Nothing has been
    /// done with it yet.
    pub fn reserve_handling(&self, bytes: usize) -> bool {
        let now_ms = clock::now_ms();
        let mut connections = self.port.connections.borrow_mut();
        let verdict = connections.reserve_handling(self.id, bytes, now_ms);
        drop(connections);
        self.port.apply(verdict.shed);
        if !verdict.granted {
            self.port.report(Reason::Memory);
        }
        verdict.granted
    }

    /// Records bytes read from the connection. Returns whether it may be kept.
    fn received(&self, bytes: usize) -> bool {
        let phase = self.port.connections.borrow().phase(self.id);
        let first = match self.port.protocol {
            Protocol::Http => Phase::Head,
            Protocol::Frames => Phase::Body,
        };
        if phase == Some(Phase::Idle) {
            self.enter(first);
        } else if phase != Some(first) {
            return true;
        }
        let unfinished = self.unfinished_bytes.get() + bytes;
        self.unfinished_bytes.set(unfinished);
        self.progress(bytes);
        if unfinished > INCLUDED_HEAD_BYTES && !self.reserve(unfinished) {
            self.port.report(Reason::Memory);
            return false;
        }
        true
    }

    /// Records a write that the client took, or that waits because it takes nothing.
    fn note_write(&self, blocked: bool) {
        if self.is_blocked.replace(blocked) != blocked {
            let mut connections = self.port.connections.borrow_mut();
            connections.set_blocked(self.id, blocked, clock::now_ms());
        }
        if !blocked && let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether nothing is to be read while a write waits; the reader is then woken after it.
    fn suspend_reader(&self, context: &Context<'_>) -> bool {
        if self.is_blocked.get() {
            self.reader.replace(Some(context.waker().clone()));
        }
        self.is_blocked.get()
    }
}
