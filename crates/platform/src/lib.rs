//! Interfaces to the underlying platform.
//!
//! The platform consists of the external services that hickorychute depends on:
//! the key-value store, the list of workers, the agents on the workers and the
//! upstream instances that tasks provide. Each is a trait with boxed futures, so
//! that deployments, a stand-in process and in-memory fakes can implement it.
//! [`Platform`] bundles the implementations, and a [`PlatformPlugin`] registers
//! a function that connects to them.
//!
//! Correctness depends on only two properties of the platform: the store's
//! compare-and-swap, and the epoch check on the workers. Lease durations and
//! worker lists affect only the timing of actions.

pub mod events;
pub mod http;
pub mod store;
pub mod upstreams;
pub mod workers;

use std::sync::Arc;

use futures::future;
use kernel::errors;
use kernel::plugin;

/// The platform's services as used by one process.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Client of the key-value store.
    pub store: Arc<dyn store::Store>,
    /// Client of the worker list and the worker agents.
    pub workers: Arc<dyn workers::Workers>,
    /// Client of upstream instances.
    pub upstreams: Arc<dyn upstreams::Upstreams>,
}

/// A platform implementation, selected by name in the settings.
#[derive(Clone, Copy, Debug)]
pub struct PlatformPlugin {
    /// Descriptor of the plug-in; settings refer to its name.
    pub descriptor: plugin::Descriptor,
    /// Connects to the platform at an address, whose format the plug-in defines.
    pub connect: fn(address: &str) -> future::BoxFuture<'static, errors::Result<Platform>>,
}

inventory::collect!(PlatformPlugin);

/// Finds a registered platform plug-in by its name.
///
/// # Errors
///
/// [`errors::ErrorKind::Usage`] if no plug-in has that name.
pub fn find(name: &str) -> errors::Result<&'static PlatformPlugin> {
    let plugin = inventory::iter::<PlatformPlugin>
        .into_iter()
        .find(|plugin| plugin.descriptor.name == name);
    plugin.ok_or_else(|| {
        let known = plugin::registered(plugin::Extension::Platform);
        let names: Vec<&str> = known.iter().map(|descriptor| descriptor.name).collect();
        errors::Error::new(
            errors::ErrorKind::Usage,
            format!(
                "no platform plug-in {name:?}; registered: {}",
                names.join(", ")
            ),
        )
    })
}
