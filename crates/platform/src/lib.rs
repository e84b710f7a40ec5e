//! Interfaces to the platform.
//!
//! The platform is everything that hickorychute does not run itself: the
//! key-value store, the list of workers, the agents on the workers and the
//! upstream instances that tasks offer. Each is a trait with boxed futures, so
//! that a deployment, a stand-in process or an in-memory fake can take its
//! place; [`Platform`] bundles one of each and [`PlatformPlugin`] registers a
//! way to connect.
//!
//! Safety rests on two properties of the platform and on nothing else: the
//! store's compare-and-swap, and the epoch that a worker compares. Lease times
//! and lists only decide when something is tried.

pub mod http;
pub mod store;
pub mod upstreams;
pub mod workers;

use std::sync::Arc;

use futures::future;
use kernel::errors;
use kernel::plugin;

/// One connection of each kind.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The key-value store.
    pub store: Arc<dyn store::Store>,
    /// The list of workers and their agents.
    pub workers: Arc<dyn workers::Workers>,
    /// Calls to upstream instances.
    pub upstreams: Arc<dyn upstreams::Upstreams>,
}

/// A way to connect to a platform, chosen by name in the settings.
#[derive(Clone, Copy, Debug)]
pub struct PlatformPlugin {
    /// The plug-in's descriptor; its name is what settings choose.
    pub descriptor: plugin::Descriptor,
    /// Connects to the platform at an address.
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
