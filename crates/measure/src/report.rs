//! All figures of a run and the lines through them.

use indexmap::IndexMap;
use tabled::builder;
use tabled::settings;

use crate::figure::{Figure, Unit};
use crate::fit;

/// A quantity with the line through its figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Fitted {
    /// The quantity.
    pub name: String,
    /// Unit of its values.
    pub unit: Unit,
    /// The line.
    pub line: fit::Line,
}

/// Pairs of size and value.
type Points = Vec<(f64, f64)>;

/// All figures of a run, in the order in which they were measured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    figures: Vec<Figure>,
}

impl Report {
    /// Adds a figure.
    pub(crate) fn add(&mut self, name: impl Into<String>, size: u64, unit: Unit, value: f64) {
        self.figures.push(Figure {
            name: name.into(),
            size,
            unit,
            value,
        });
    }

    /// The measured figures.
    pub fn figures(&self) -> &[Figure] {
        &self.figures
    }

    /// The lines of all quantities that were measured at several sizes.
    pub fn lines(&self) -> Vec<Fitted> {
        let mut points: IndexMap<&str, (Unit, Points)> = IndexMap::new();
        for figure in &self.figures {
            let (_, points) = points
                .entry(&figure.name)
                .or_insert_with(|| (figure.unit, Vec::new()));
            points.push((figure.size as f64, figure.value));
        }
        let fitted = points.into_iter().filter_map(|(name, (unit, points))| {
            Some(Fitted {
                name: name.to_owned(),
                unit,
                line: fit::Line::fit(&points)?,
            })
        });
        fitted.collect()
    }

    /// The figures, and after them the parts of the lines, as one JSON array.
    ///
    /// A line of `NAME` is the figures `NAME.at_zero`, `NAME.slope` and `NAME.residual`.
    ///
    /// # Errors
    ///
    /// If a figure is not a finite number.
    pub fn to_json(&self) -> serde_json::Result<String> {
        let mut all = self.figures.clone();
        for fitted in self.lines() {
            let parts = [
                ("at_zero", fitted.unit, fitted.line.at_zero),
                ("slope", fitted.unit, fitted.line.slope),
                ("residual", Unit::Ratio, fitted.line.residual),
            ];
            all.extend(parts.map(|(part, unit, value)| Figure {
                name: format!("{}.{part}", fitted.name),
                size: 0,
                unit,
                value,
            }));
        }
        serde_json::to_string_pretty(&all)
    }

    /// The figures and the lines as two tables.
    pub fn to_table(&self) -> String {
        let mut figures = builder::Builder::default();
        figures.push_record(["name", "size", "unit", "value"]);
        for figure in &self.figures {
            let value = format!("{:.3}", figure.value);
            let (size, unit) = (figure.size.to_string(), figure.unit.to_string());
            figures.push_record([figure.name.clone(), size, unit, value]);
        }
        let mut lines = builder::Builder::default();
        lines.push_record(["name", "unit", "at size zero", "for each", "residual"]);
        for fitted in self.lines() {
            let line = fitted.line;
            lines.push_record([
                fitted.name,
                fitted.unit.to_string(),
                format!("{:.4}", line.at_zero),
                format!("{:.5}", line.slope),
                format!("{:.1}%", line.residual * 100.0),
            ]);
        }
        [figures, lines]
            .map(|table| table.build().with(settings::Style::psql()).to_string())
            .join("\n\n")
    }
}
