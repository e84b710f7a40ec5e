//! The measurements of a run, with their linear fits and output formats.

use indexmap::IndexMap;
use tabled::builder;
use tabled::settings;

use crate::figure::{Measurement, Unit};
use crate::fit;

/// A measured quantity with the line fitted to its values.
#[derive(Clone, Debug, PartialEq)]
pub struct FittedQuantity {
    /// Name of the quantity, as in [`Measurement::name`].
    pub name: String,
    /// Unit of the values, and of the line at size zero.
    pub unit: Unit,
    /// Line of value against size.
    pub line: fit::LinearFit,
}

/// `(size, value)` points.
type Points = Vec<(f64, f64)>;

/// The measurements of a run, in the order in which they were made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    measurements: Vec<Measurement>,
}

impl Report {
    /// Adds a measurement.
    pub(crate) fn add(&mut self, name: impl Into<String>, size: u64, unit: Unit, value: f64) {
        self.measurements.push(Measurement {
            name: name.into(),
            size,
            unit,
            value,
        });
    }

    /// All measurements.
    pub fn measurements(&self) -> &[Measurement] {
        &self.measurements
    }

    /// Fits a line to each quantity that was measured at two or more sizes.
    pub fn linear_fits(&self) -> Vec<FittedQuantity> {
        let mut points: IndexMap<&str, (Unit, Points)> = IndexMap::new();
        for measurement in &self.measurements {
            let (_, points) = points
                .entry(&measurement.name)
                .or_insert_with(|| (measurement.unit, Vec::new()));
            points.push((measurement.size as f64, measurement.value));
        }
        let fitted = points.into_iter().filter_map(|(name, (unit, points))| {
            Some(FittedQuantity {
                name: name.to_owned(),
                unit,
                line: fit::LinearFit::fit(&points)?,
            })
        });
        fitted.collect()
    }

    /// Serialises the measurements, followed by the fitted lines, as one JSON array.
    ///
    /// The line of `NAME` appears as the entries `NAME.at_zero`, `NAME.slope` and `NAME.residual`,
    /// each with size 0.
    ///
    /// # Errors
    ///
    /// If serialisation fails.
    pub fn to_json(&self) -> serde_json::Result<String> {
        let mut all = self.measurements.clone();
        for fitted in self.linear_fits() {
            let parts = [
                ("at_zero", fitted.unit, fitted.line.intercept),
                ("slope", fitted.unit, fitted.line.slope),
                ("residual", Unit::Ratio, fitted.line.residual),
            ];
            all.extend(parts.map(|(part, unit, value)| Measurement {
                name: format!("{}.{part}", fitted.name),
                size: 0,
                unit,
                value,
            }));
        }
        serde_json::to_string_pretty(&all)
    }

    /// Formats the measurements and the fitted lines as two text tables.
    pub fn to_table(&self) -> String {
        let mut measurements = builder::Builder::default();
        measurements.push_record(["name", "size", "unit", "value"]);
        for measurement in &self.measurements {
            let value = format!("{:.3}", measurement.value);
            let (size, unit) = (measurement.size.to_string(), measurement.unit.to_string());
            measurements.push_record([measurement.name.clone(), size, unit, value]);
        }
        let mut lines = builder::Builder::default();
        lines.push_record(["name", "unit", "at size zero", "for each", "residual"]);
        for fitted in self.linear_fits() {
            let line = fitted.line;
            lines.push_record([
                fitted.name,
                fitted.unit.to_string(),
                format!("{:.4}", line.intercept),
                format!("{:.5}", line.slope),
                format!("{:.1}%", line.residual * 100.0),
            ]);
        }
        [measurements, lines]
            .map(|table| table.build().with(settings::Style::psql()).to_string())
            .join("\n\n")
    }
}
