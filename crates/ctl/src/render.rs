//! Prints answers as tables or JSON.

use kernel::errors;
use serde::Serialize;
use tabled::builder;
use tabled::settings;

use crate::Answer;
use crate::plan;

/// Rows of a table; the first one has the titles.
#[derive(Clone, Debug)]
pub(crate) struct Rows(Vec<Vec<String>>);

impl Rows {
    /// A table with these titles and no rows.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self(vec![titles.iter().map(ToString::to_string).collect()])
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, cells: Vec<String>) {
        self.0.push(cells);
    }

    fn print(self) -> String {
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

/// The answer in the form that the settings ask for.
pub(crate) fn answer<T: Serialize>(
    output: plan::Output,
    value: &T,
    rows: impl FnOnce(&T) -> Rows,
) -> errors::Result<Answer> {
    let text = match output {
        plan::Output::Table => rows(value).print(),
        plan::Output::Json => serde_json::to_string_pretty(value).map_err(|error| {
            errors::Error::with_source(errors::ErrorKind::Internal, "write JSON", error)
        })?,
    };
    Ok(Answer {
        text: format!("{text}\n").into_bytes(),
        exit_code: errors::EXIT_DONE,
    })
}

/// A list of names for one cell of a table.
pub(crate) fn list<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let texts: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if texts.is_empty() {
        "-".to_owned()
    } else {
        texts.join(" ")
    }
}
