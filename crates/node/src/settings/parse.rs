//! Parsing of single settings, with all faults collected.

use std::ops;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

const NAME_LIMIT_CHARS: usize = 63;

/// The faults found so far.
#[derive(Debug, Default)]
pub(super) struct Faults {
    lines: Vec<String>,
}

impl Faults {
    /// Adds a fault of the flag `name`.
    pub(super) fn add(&mut self, name: &str, fault: &str) {
        let variable = name.replace('-', "_").to_uppercase();
        self.lines
            .push(format!("--{name} (HICKORY_{variable}): {fault}"));
    }

    /// Fails if there is any fault.
    pub(super) fn into_result(self) -> errors::Result<()> {
        if self.lines.is_empty() {
            return Ok(());
        }
        Err(errors::Error::new(
            errors::ErrorKind::Usage,
            self.lines.join("\n"),
        ))
    }

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

    pub(super) fn address(&mut self, name: &str, text: &str) -> String {
        if super::parse_address(text).is_none() {
            self.add(
                name,
                &format!("{text:?} is not IP:PORT, such as 127.0.0.1:7070"),
            );
        }
        text.to_owned()
    }

    pub(super) fn addresses(&mut self, name: &str, text: &str) -> Vec<String> {
        text.split(',')
            .filter(|part| !part.is_empty())
            .map(|part| self.address(name, part))
            .collect()
    }

    pub(super) fn name(&mut self, name: &str, text: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if text.is_empty() || text.len() > NAME_LIMIT_CHARS || !text.chars().all(allowed) {
            self.add(
                name,
                &format!("{text:?} is not 1 to 63 letters, digits and hyphens"),
            );
        }
    }

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
