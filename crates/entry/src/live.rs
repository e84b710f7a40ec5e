//! The current settings, reloaded when their file changes.
//!
//! The file is read on SIGHUP and, because it may change without a signal, at a fixed interval.
//! Most settings take effect immediately; the host name, its zone and the listen addresses take
//! effect at the next start.

use std::{cell::RefCell, rc::Rc, time::Duration};

use adapter::settings::{self, Settings, SettingsError};
use kernel::log_event;
use tokio::{sync::Notify, time};

use crate::events;

/// Interval between two reads of the file; changes must take effect within 3 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The current settings.
#[derive(Debug)]
pub struct LiveSettings {
    current: RefCell<Rc<Settings>>,
    /// The last read error, so that a repeated error is logged only once.
    failure: RefCell<Option<String>>,
    /// Notified when changed settings take effect.
    pub changed: Notify,
    /// Notified to read the file immediately.
    reload: Notify,
}

impl LiveSettings {
    /// Starts with the settings that the process was started with.
    pub fn new(settings: Settings) -> Self {
        Self {
            current: RefCell::new(Rc::new(settings)),
            failure: RefCell::default(),
            changed: Notify::new(),
            reload: Notify::new(),
        }
    }

    /// The settings in effect, including any reload so far.
    pub fn current(&self) -> Rc<Settings> {
        Rc::clone(&self.current.borrow())
    }

    /// Requests an immediate read of the file, as on SIGHUP.
    pub fn reload(&self) {
        self.reload.notify_one();
    }

    /// Applies all settings that can change at run time. Returns whether any of them changed.
    fn apply(&self, read: &Settings) -> bool {
        let previous = self.current();
        let mut next = read.clone();
        next.host_name.clone_from(&previous.host_name);
        next.zone.clone_from(&previous.zone);
        next.clients_address = previous.clients_address;
        next.readiness_address = previous.readiness_address;
        next.peers_address = previous.peers_address;
        let needs_restart = next != *read;
        let changed = next != *previous;
        if changed {
            *self.current.borrow_mut() = Rc::new(next);
            self.changed.notify_waiters();
        }
        if changed || needs_restart {
            log_event!(
                events::RELOADED,
                "changed={changed} waits_for_restart={needs_restart}"
            );
        }
        changed
    }

    fn handle_read(&self, read: Result<Settings, SettingsError>, requested: bool) {
        match read {
            Ok(read) => {
                self.failure.take();
                if !self.apply(&read) && requested {
                    log_event!(events::RELOADED, "changed=false");
                }
            }
            Err(error) => {
                let text = error.to_string();
                if self.failure.borrow().as_ref() != Some(&text) {
                    log_event!(events::RELOAD_FAILED, "error={error}");
                    *self.failure.borrow_mut() = Some(text);
                }
            }
        }
    }
}

/// Reloads the settings for the lifetime of the process.
pub async fn watch(live: Rc<LiveSettings>) {
    loop {
        let requested = time::timeout(POLL_INTERVAL, live.reload.notified())
            .await
            .is_ok();
        live.handle_read(settings::load(), requested);
    }
}
