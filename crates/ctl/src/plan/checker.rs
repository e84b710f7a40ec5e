//! Validates flag values and collects the errors of all of them.

use std::ops::RangeInclusive;

use kernel::errors;
use release::note;

/// Parses and validates values, recording one message per invalid value.
#[derive(Debug, Default)]
pub(super) struct Checker {
    messages: Vec<String>,
}

impl Checker {
    /// Records an error for a flag.
    pub(super) fn add_error(&mut self, flag: &str, message: &str) {
        self.messages.push(format!("{flag}: {message}"));
    }

    /// Parses an integer within a range; returns the start of the range if it is invalid.
    pub(super) fn number(&mut self, flag: &str, text: &str, range: &RangeInclusive<u64>) -> u64 {
        let parsed = text.parse().ok().filter(|number| range.contains(number));
        parsed.unwrap_or_else(|| {
            let (start, end) = (range.start(), range.end());
            let message = format!("must be an integer from {start} to {end}, not {text:?}");
            self.add_error(flag, &message);
            *start
        })
    }

    /// Parses one of a set of keywords; returns the first choice if it is invalid.
    pub(super) fn choice<T: Copy + ToString>(
        &mut self,
        flag: &str,
        text: &str,
        choices: &[T],
    ) -> T {
        let keywords: Vec<String> = choices.iter().map(ToString::to_string).collect();
        let found = keywords.iter().position(|keyword| keyword == text);
        if found.is_none() {
            let message = format!("must be one of {}, not {text:?}", keywords.join(", "));
            self.add_error(flag, &message);
        }
        choices[found.unwrap_or(0)]
    }

    /// Validates the name of work, a team or a zone.
    pub(super) fn name<'a>(&mut self, flag: &str, text: &'a str) -> &'a str {
        if !note::is_name(text) {
            let message = format!(
                "must be 1 to {} of a-z, 0-9 and -, starting with a letter, not {text:?}",
                note::limits::NAME_LIMIT_CHARS
            );
            self.add_error(flag, &message);
        }
        text
    }

    /// Validates a reference to a job, whose name may be derived from an idempotency key.
    pub(super) fn job_name<'a>(&mut self, text: &'a str) -> &'a str {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.is_empty() || !text.bytes().all(allowed) {
            let message =
                format!("must consist of letters, digits, '-', '_' and '.', not {text:?}");
            self.add_error("JOB", &message);
        }
        text
    }

    /// Validates a key or identifier that is sent as a header value.
    pub(super) fn token(&mut self, flag: &str, text: &str) -> String {
        let is_token = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > release::SUBMITTER_LIMIT_BYTES || !is_token {
            let message = format!(
                "must consist of 1 to {} printable ASCII characters without spaces, not {text:?}",
                release::SUBMITTER_LIMIT_BYTES
            );
            self.add_error(flag, &message);
        }
        text.to_owned()
    }

    /// Returns `value`, or a `usage` error with all recorded messages.
    pub(super) fn finish<T>(self, value: T) -> errors::Result<T> {
        if self.messages.is_empty() {
            return Ok(value);
        }
        let detail = self.messages.join("\n");
        Err(errors::Error::new(errors::ErrorKind::Usage, detail))
    }
}
