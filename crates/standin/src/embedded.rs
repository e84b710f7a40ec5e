//! The in-memory platform that a single process carries with it.

use std::sync::Arc;

use kernel::history;
use kernel::ids;
use platform::Platform;

use crate::config;
use crate::memory;

/// A firm's platform in the memory of this process.
#[derive(Clone, Debug)]
pub struct Embedded {
    config: config::Config,
    platform: memory::MemoryPlatform,
}

impl Embedded {
    /// Starts a firm's platform at today's size. Must be called within a tokio runtime.
    pub fn start(firm: config::Firm, sink: Arc<dyn history::Sink>) -> Self {
        Self::with_config(config::Config::preset(firm), sink)
    }

    /// Starts a platform of any size. Must be called within a tokio runtime.
    pub fn with_config(config: config::Config, sink: Arc<dyn history::Sink>) -> Self {
        let platform = memory::MemoryPlatform::new(&config, SEED, sink);
        Self { config, platform }
    }

    /// Connections of a host in a zone.
    pub fn connect(&self, zone: &ids::ZoneId) -> Platform {
        self.platform.connect(zone)
    }

    /// The availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &ids::ZoneId> {
        self.config.topology.zones.keys()
    }

    /// The sizes and places of the platform.
    pub const fn config(&self) -> &config::Config {
        &self.config
    }

    /// The platform itself, for faults and counters.
    pub const fn platform(&self) -> &memory::MemoryPlatform {
        &self.platform
    }
}

/// Seed of the embedded platform, which draws nothing unless faults are set.
const SEED: u64 = 1;
