//! The registry into which plug-ins put themselves.
//!
//! A crate that offers a plug-in submits a [`Descriptor`] beside its typed
//! entry point; whoever links the crate finds it here. The descriptor serves
//! listings and checks of settings that name a plug-in.

use derive_more::Display;

/// What a plug-in provides.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Extension {
    /// A connection to the platform: store, worker list, worker agents, upstreams.
    Platform,
    /// A score for a worker in placement.
    Scorer,
}

/// The name and purpose of one plug-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptor {
    /// What the plug-in provides.
    pub extension: Extension,
    /// The name by which settings choose it.
    pub name: &'static str,
    /// One sentence for `--help` and listings.
    pub summary: &'static str,
}

inventory::collect!(Descriptor);

/// The registered plug-ins of one kind, by name.
pub fn registered(extension: Extension) -> Vec<Descriptor> {
    let mut found: Vec<Descriptor> = inventory::iter::<Descriptor>
        .into_iter()
        .filter(|descriptor| descriptor.extension == extension)
        .copied()
        .collect();
    found.sort_by_key(|descriptor| descriptor.name);
    found
}
