//! The registry of linked plug-ins.
//!
//! A crate that provides a plug-in submits a [`Descriptor`] beside its typed
//! entry point, and the registry collects the descriptors of all linked crates.
//! They are used to list plug-ins and to validate settings that name one.

use derive_more::Display;

/// Extension point that a plug-in implements.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Extension {
    /// Access to the platform: store, worker list, worker agents and upstreams.
    Platform,
    /// Scoring of workers in placement.
    Scorer,
}

/// Description of a plug-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptor {
    /// Extension point that the plug-in implements.
    pub extension: Extension,
    /// Name of the plug-in in settings.
    pub name: &'static str,
    /// One-sentence description for `--help` and listings.
    pub summary: &'static str,
}

inventory::collect!(Descriptor);

/// The linked plug-ins for an extension point, sorted by name.
pub fn registered(extension: Extension) -> Vec<Descriptor> {
    let mut found: Vec<Descriptor> = inventory::iter::<Descriptor>
        .into_iter()
        .filter(|descriptor| descriptor.extension == extension)
        .copied()
        .collect();
    found.sort_by_key(|descriptor| descriptor.name);
    found
}
