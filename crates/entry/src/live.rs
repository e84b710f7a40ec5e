//! The settings in force, and how they follow their file.
//!
//! The file is read again on SIGHUP and, since it may change without a signal, at a steady pace.
//! What can change under a running process takes force at once. The host's name, its zone and the
//! addresses that it listens on stay as they were until it starts again.

use std::{cell::RefCell, rc::Rc, time::Duration};

use adapter::settings::{self, Settings, SettingsError};
use kernel::log_event;
use tokio::{sync::Notify, time};

use crate::events;

/// Time between two looks at the file. Well below the 3 s in which changes must be in force.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings in force.
#[derive(Debug)]
pub struct LiveSettings {
    current: RefCell<Rc<Settings>>,
    /// The last failure to read the file, so that it is logged once.
    failure: RefCell<Option<String>>,
    /// Notified when other settings take force.
    pub changed: Notify,
    /// Asks for a look at the file at once.
    reload: Notify,
}

impl LiveSettings {
    /// Puts the settings that the process started with in force.
    pub fn new(settings: Settings) -> Self {
        Self {
            current: RefCell::new(Rc::new(settings)),
            failure: RefCell::default(),
            changed: Notify::new(),
            reload: Notify::new(),
        }
    }

    /// The settings in force.
    pub fn current(&self) -> Rc<Settings> {
        Rc::clone(&self.current.borrow())
    }

    /// Reads the file again soon, as SIGHUP asks for.
    pub fn reload(&self) {
        self.reload.notify_one();
    }

    /// Puts what was read in force as far as a running process can. Returns whether anything
    /// changed.
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

/// Keeps the settings in step with their file for as long as the process runs.
pub async fn watch(live: Rc<LiveSettings>) {
    loop {
        let requested = time::timeout(POLL_INTERVAL, live.reload.notified())
            .await
            .is_ok();
        live.handle_read(settings::load(), requested);
    }
}
