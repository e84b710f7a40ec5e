//! An in-memory platform embedded in a single process, without HTTP.

use std::sync::Arc;

use kernel::history;
use kernel::ids;
use platform::Platform;

use crate::config;
use crate::memory;

/// An in-memory platform together with the configuration it was created from.
#[derive(Clone, Debug)]
pub struct Embedded {
    config: config::Config,
    platform: memory::MemoryPlatform,
}

impl Embedded {
    /// Starts the preset platform of a firm. Must be called within a tokio runtime.
    pub fn start(firm: config::Firm, sink: Arc<dyn history::Sink>) -> Self {
        Self::with_config(config::Config::preset(firm), sink)
    }

    /// Starts a platform from a configuration. Must be called within a tokio runtime.
    pub fn with_config(config: config::Config, sink: Arc<dyn history::Sink>) -> Self {
        let platform = memory::MemoryPlatform::new(&config, SEED, sink);
        Self { config, platform }
    }

    /// Connects a host in the given zone to the platform.
    pub fn connect(&self, zone: &ids::ZoneId) -> Platform {
        self.platform.connect(zone)
    }

    /// The availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &ids::ZoneId> {
        self.config.topology.zones.keys()
    }

    /// The configuration the platform was created from.
    pub const fn config(&self) -> &config::Config {
        &self.config
    }

    /// The underlying platform, which gives access to faults and counters.
    pub const fn platform(&self) -> &memory::MemoryPlatform {
        &self.platform
    }
}

/// Random seed of the embedded platform; random numbers are used only while faults are set.
const SEED: u64 = 1;
