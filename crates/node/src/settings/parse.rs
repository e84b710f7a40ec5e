//! Parsing of individual settings; collects all errors.

use std::ops;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

/// Maximum length of a host's name.
const MAX_NAME_CHARS: usize = 63;

/// Errors of individual settings, one line each.
#[derive(Debug, Default)]
pub(super) struct SettingErrors {
    lines: Vec<String>,
}

impl SettingErrors {
    /// Adds an error for the flag `name`, given without its dashes.
    pub(super) fn add(&mut self, name: &str, problem: &str) {
        let variable = name.replace('-', "_").to_uppercase();
        self.lines
            .push(format!("--{name} (HICKORY_{variable}): {problem}"));
    }

    /// Fails with all collected errors, if there are any.
    pub(super) fn into_result(self) -> errors::Result<()> {
        if self.lines.is_empty() {
            return Ok(());
        }
        Err(errors::Error::new(
            errors::ErrorKind::Usage,
            self.lines.join("\n"),
        ))
    }

    /// Parses a whole number in a range; returns the start of the range on error.
    pub(super) fn number(
        &mut self,
        name: &str,
        text: &str,
        range: ops::RangeInclusive<u64>,
    ) -> u64 {
        match text.parse::<u64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.add(
                    name,
                    &format!("{text:?} is not a whole number from {low} to {high}"),
                );
                *range.start()
            }
        }
    }

    /// Checks that a text is `IP:PORT` and returns it unchanged.
    pub(super) fn address(&mut self, name: &str, text: &str) -> String {
        if super::parse_address(text).is_none() {
            self.add(
                name,
                &format!("{text:?} is not IP:PORT, such as 127.0.0.1:7070"),
            );
        }
        text.to_owned()
    }

    /// Parses a list of `IP:PORT`, separated by commas; empty parts are skipped.
    pub(super) fn addresses(&mut self, name: &str, text: &str) -> Vec<String> {
        text.split(',')
            .filter(|part| !part.is_empty())
            .map(|part| self.address(name, part))
            .collect()
    }

    /// Checks the name of a host.
    pub(super) fn name(&mut self, name: &str, text: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if text.is_empty() || text.len() > MAX_NAME_CHARS || !text.chars().all(allowed) {
            self.add(
                name,
                &format!("{text:?} is not 1 to 63 letters, digits and hyphens"),
            );
        }
    }

    /// Parses a list of `ZONE=REGION`, separated by commas.
    pub(super) fn zones(
        &mut self,
        name: &str,
        text: Option<&str>,
    ) -> IndexMap<ids::ZoneId, ids::RegionId> {
        let mut zones = IndexMap::new();
        let Some(text) = text else {
            self.add(name, "is required, as ZONE=REGION,ZONE=REGION");
            return zones;
        };
        for part in text.split(',') {
            let Some((zone, region)) = part.split_once('=') else {
                self.add(name, &format!("{part:?} is not ZONE=REGION"));
                continue;
            };
            if zones
                .insert(ids::ZoneId::new(zone), ids::RegionId::new(region))
                .is_some()
            {
                self.add(name, &format!("zone {zone:?} is listed twice"));
            }
        }
        zones
    }

    /// Parses the host's zone, which must be one of `zones`.
    pub(super) fn zone(
        &mut self,
        name: &str,
        text: Option<&str>,
        zones: &IndexMap<ids::ZoneId, ids::RegionId>,
    ) -> ids::ZoneId {
        let zone = ids::ZoneId::new(text.unwrap_or_default());
        if text.is_none() {
            self.add(name, "is required");
        } else if !zones.contains_key(&zone) {
            self.add(name, &format!("{zone:?} is not one of --zones"));
        }
        zone
    }
}
