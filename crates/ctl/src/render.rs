//! Formats command results as tables or JSON.

use kernel::errors;
use serde::Serialize;
use tabled::builder;
use tabled::settings;

use crate::CommandOutput;
use crate::plan;

/// Rows of a table; the first row is the header.
#[derive(Clone, Debug)]
pub(crate) struct TableRows(Vec<Vec<String>>);

impl TableRows {
    /// Creates a table with a header and no rows.
    pub(crate) fn new(header: &[&str]) -> Self {
        Self(vec![header.iter().map(ToString::to_string).collect()])
    }

    /// Appends a row.
    pub(crate) fn push(&mut self, cells: Vec<String>) {
        self.0.push(cells);
    }

    fn format(self) -> String {
        let mut builder = builder::Builder::default();
        for row in self.0 {
            builder.push_record(row);
        }
        let mut table = builder.build();
        table.with(settings::Style::blank());
        table.with(settings::Padding::new(0, 1, 0, 0));
        let text = table.to_string();
        let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
        lines.join("\n")
    }
}

/// Formats a value as JSON, or as the table that `rows` builds.
pub(crate) fn format_output<T: Serialize>(
    format: plan::OutputFormat,
    value: &T,
    rows: impl FnOnce(&T) -> TableRows,
) -> errors::Result<CommandOutput> {
    let text = match format {
        plan::OutputFormat::Table => rows(value).format(),
        plan::OutputFormat::Json => serde_json::to_string_pretty(value).map_err(|error| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "failed to serialize the output as JSON",
                error,
            )
        })?,
    };
    Ok(CommandOutput {
        stdout: format!("{text}\n").into_bytes(),
        exit_code: errors::EXIT_DONE,
    })
}

/// Joins items with spaces; `-` if there are none.
pub(crate) fn join_or_dash<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if texts.is_empty() {
        "-".to_owned()
    } else {
        texts.join(" ")
    }
}
