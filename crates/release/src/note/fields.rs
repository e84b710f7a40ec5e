//! Typed access to the fields of a TOML table that collects faults.

use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de;

use super::fault::Fault;
use super::limits;
use super::position::{LineIndex, Located, Position};

/// Collects faults with their positions.
#[derive(Debug)]
pub(super) struct FaultList<'a> {
    lines: LineIndex<'a>,
    pub(super) faults: Vec<Fault>,
}

impl<'a> FaultList<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            lines: LineIndex::new(text),
            faults: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, offset: usize, field: String, message: impl Into<String>) {
        let position = self.position(offset);
        self.faults.push(Fault::at(position, field, message));
    }

    pub(super) fn position(&self, offset: usize) -> Position {
        self.lines.position(offset)
    }
}

/// A table with its byte offset and path in the note.
#[derive(Clone, Debug)]
pub(super) struct Table<'t> {
    pub(super) entries: &'t de::DeTable<'t>,
    pub(super) offset: usize,
    pub(super) path: String,
}

/// Reads the fields of one table, and reports fields that were not read as unknown.
#[derive(Debug)]
pub(super) struct Fields<'t, 'f, 'a> {
    table: Table<'t>,
    read: Vec<&'static str>,
    faults: &'f mut FaultList<'a>,
}

impl<'t, 'f, 'a> Fields<'t, 'f, 'a> {
    pub(super) fn new(table: Table<'t>, faults: &'f mut FaultList<'a>) -> Self {
        Self {
            table,
            read: Vec::new(),
            faults,
        }
    }

    /// Position of the start of the table.
    pub(super) fn position(&self) -> Position {
        self.faults.position(self.table.offset)
    }

    /// Reports a fault of a field that was read.
    pub(super) fn fault(&mut self, field: &'static str, message: impl Into<String>) {
        let value = self.table.entries.get(field);
        let offset = value.map_or(self.table.offset, |value| value.span().start);
        self.faults
            .push(offset, join(&self.table.path, field), message);
    }

    /// Reports every field that was not read.
    pub(super) fn finish(self) {
        for (key, _) in self.table.entries {
            let name = key.get_ref().as_ref();
            if self.read.contains(&name) {
                continue;
            }
            let path = join(&self.table.path, name);
            let allowed = self.read.join(", ");
            let message = format!("unknown field; allowed are {allowed}");
            self.faults.push(key.span().start, path, message);
        }
    }

    /// A required name.
    pub(super) fn name(&mut self, field: &'static str) -> Option<Located<&'t str>> {
        let value = self.required(field)?;
        let de::DeValue::String(text) = value.get_ref() else {
            self.wrong_type(field, value, "a name in quotes");
            return None;
        };
        let offset = value.span().start;
        self.check_name(offset, field, text)
    }

    /// A list of names; empty if absent.
    pub(super) fn names(&mut self, field: &'static str) -> Vec<Located<&'t str>> {
        let Some(value) = self.optional(field) else {
            return Vec::new();
        };
        let de::DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(field, value, "a list of names in quotes");
            return Vec::new();
        };
        let mut names: Vec<Located<&'t str>> = Vec::new();
        for item in items {
            let de::DeValue::String(text) = item.get_ref() else {
                self.wrong_type(field, item, "a list of names in quotes");
                continue;
            };
            names.extend(self.check_name(item.span().start, field, text));
        }
        names
    }

    /// An integer within a range; `None` if absent or invalid.
    pub(super) fn integer(
        &mut self,
        field: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.optional(field)?;
        self.integer_of(field, value, range)
    }

    /// A required integer within a range.
    pub(super) fn required_integer(
        &mut self,
        field: &'static str,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = self.required(field)?;
        self.integer_of(field, value, range)
    }

    /// A Boolean; `None` if absent or invalid.
    pub(super) fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.optional(field)?;
        let de::DeValue::Boolean(flag) = value.get_ref() else {
            self.wrong_type(field, value, "true or false");
            return None;
        };
        Some(*flag)
    }

    /// One of a list of choices, by their `Display` form; `None` if absent or invalid.
    pub(super) fn choice<T: Copy + ToString>(
        &mut self,
        field: &'static str,
        choices: &[T],
    ) -> Option<T> {
        let value = self.optional(field)?;
        let words: Vec<String> = choices.iter().map(ToString::to_string).collect();
        let found = match value.get_ref() {
            de::DeValue::String(text) => words.iter().position(|word| word == text.as_ref()),
            _ => None,
        };
        let Some(index) = found else {
            let expected = format!("one of {}", words.join(", "));
            self.wrong_type(field, value, &expected);
            return None;
        };
        Some(choices[index])
    }

    /// A table; `None` if absent or invalid.
    pub(super) fn table(&mut self, field: &'static str) -> Option<Table<'t>> {
        let value = self.optional(field)?;
        let path = join(&self.table.path, field);
        let de::DeValue::Table(entries) = value.get_ref() else {
            self.wrong_type(field, value, "a table");
            return None;
        };
        Some(Table {
            entries,
            offset: value.span().start,
            path,
        })
    }

    /// A list of tables; empty if absent.
    pub(super) fn tables(&mut self, field: &'static str) -> Vec<Table<'t>> {
        let Some(value) = self.optional(field) else {
            return Vec::new();
        };
        let path = join(&self.table.path, field);
        let de::DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(
                field,
                value,
                &format!("a list of tables, each under [[{path}]]"),
            );
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let de::DeValue::Table(entries) = item.get_ref() else {
                self.wrong_type(field, item, "a table");
                continue;
            };
            tables.push(Table {
                entries,
                offset: item.span().start,
                path: format!("{path}[{index}]"),
            });
        }
        tables
    }

    fn optional(&mut self, field: &'static str) -> Option<&'t Spanned<de::DeValue<'t>>> {
        self.read.push(field);
        self.table.entries.get(field)
    }

    fn required(&mut self, field: &'static str) -> Option<&'t Spanned<de::DeValue<'t>>> {
        let value = self.optional(field);
        if value.is_none() {
            let path = join(&self.table.path, field);
            self.faults.push(self.table.offset, path, "must be given");
        }
        value
    }

    fn integer_of(
        &mut self,
        field: &'static str,
        value: &Spanned<de::DeValue<'t>>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let parsed = match value.get_ref() {
            de::DeValue::Integer(number) => {
                u64::from_str_radix(number.as_str(), number.radix()).ok()
            }
            _ => None,
        };
        let Some(number) = parsed.filter(|number| range.contains(number)) else {
            self.wrong_type(field, value, &allowed);
            return None;
        };
        Some(number)
    }

    fn wrong_type(
        &mut self,
        field: &'static str,
        value: &Spanned<de::DeValue<'t>>,
        expected: &str,
    ) {
        let path = join(&self.table.path, field);
        let message = format!("must be {expected}, not {}", describe(value.get_ref()));
        self.faults.push(value.span().start, path, message);
    }

    fn check_name(
        &mut self,
        offset: usize,
        field: &'static str,
        text: &'t str,
    ) -> Option<Located<&'t str>> {
        if !is_name(text) {
            let path = join(&self.table.path, field);
            let message = format!(
                "{} is not a name: 1 to {} of a-z, 0-9 and -, starting with a letter",
                excerpt(text),
                limits::NAME_LIMIT_CHARS,
            );
            self.faults.push(offset, path, message);
            return None;
        }
        Some(Located {
            value: text,
            position: self.faults.position(offset),
        })
    }
}

/// Whether a text is a valid name of work, a team or a zone.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    text.len() <= limits::NAME_LIMIT_CHARS
        && text.starts_with(|first: char| first.is_ascii_lowercase())
        && text.bytes().all(allowed)
}

fn join(path: &str, field: &str) -> String {
    let field = excerpt_bare(field);
    if path.is_empty() {
        field
    } else {
        format!("{path}.{field}")
    }
}

fn describe(value: &de::DeValue<'_>) -> String {
    match value {
        de::DeValue::String(text) => excerpt(text),
        de::DeValue::Integer(number) => excerpt_bare(&number.to_string()),
        de::DeValue::Float(number) => excerpt_bare(&number.to_string()),
        de::DeValue::Boolean(flag) => flag.to_string(),
        de::DeValue::Datetime(_) => "a date".to_owned(),
        de::DeValue::Array(_) => "a list".to_owned(),
        de::DeValue::Table(_) => "a table".to_owned(),
    }
}

/// Maximum length of a quotation from the note in a message.
const MAX_EXCERPT_CHARS: usize = 64;

fn excerpt(text: &str) -> String {
    format!("{:?}", excerpt_bare(text))
}

fn excerpt_bare(text: &str) -> String {
    let mut short: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    if short.len() < text.len() {
        short.push_str("...");
    }
    short
}
