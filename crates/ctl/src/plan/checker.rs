//! Collects everything that is wrong with the flags.

use std::ops::RangeInclusive;

use kernel::errors;
use release::note;

/// Reads values and keeps a line for each wrong one.
#[derive(Debug, Default)]
pub(super) struct Checker {
    faults: Vec<String>,
}

impl Checker {
    /// Adds a fault of a flag.
    pub(super) fn fault(&mut self, flag: &str, message: &str) {
        self.faults.push(format!("{flag}: {message}"));
    }

    /// A whole number within a range; the range's start if it is wrong.
    pub(super) fn number(&mut self, flag: &str, text: &str, range: &RangeInclusive<u64>) -> u64 {
        let parsed = text.parse().ok().filter(|number| range.contains(number));
        parsed.unwrap_or_else(|| {
            let (start, end) = (range.start(), range.end());
            let message = format!("must be a whole number from {start} to {end}, not {text:?}");
            self.fault(flag, &message);
            *start
        })
    }

    /// One of a list of words; the first one if it is wrong.
    pub(super) fn choice<T: Copy + ToString>(
        &mut self,
        flag: &str,
        text: &str,
        choices: &[T],
    ) -> T {
        let words: Vec<String> = choices.iter().map(ToString::to_string).collect();
        let found = words.iter().position(|word| word == text);
        if found.is_none() {
            let message = format!("must be one of {}, not {text:?}", words.join(", "));
            self.fault(flag, &message);
        }
        choices[found.unwrap_or(0)]
    }

    /// A name of work, a team or a zone.
    pub(super) fn name<'a>(&mut self, flag: &str, text: &'a str) -> &'a str {
        if !note::is_name(text) {
            let message = format!(
                "must be 1 to {} of a-z, 0-9 and -, starting with a letter, not {text:?}",
                note::limits::NAME_LIMIT_CHARS
            );
            self.fault(flag, &message);
        }
        text
    }

    /// The name of an existing job, which may have been made from a key.
    pub(super) fn job_name<'a>(&mut self, text: &'a str) -> &'a str {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.is_empty() || !text.bytes().all(allowed) {
            let message = format!("must have letters, digits, -, _ and . alone, not {text:?}");
            self.fault("JOB", &message);
        }
        text
    }

    /// Text that can stand in a header.
    pub(super) fn token(&mut self, flag: &str, text: &str) -> String {
        let is_token = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > release::SUBMITTER_LIMIT_BYTES || !is_token {
            let message = format!(
                "must have 1 to {} printable ASCII characters, not {text:?}",
                release::SUBMITTER_LIMIT_BYTES
            );
            self.fault(flag, &message);
        }
        text.to_owned()
    }

    /// Returns `value` if nothing was wrong.
    pub(super) fn finish<T>(self, value: T) -> errors::Result<T> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        let detail = self.faults.join("\n");
        Err(errors::Error::new(errors::ErrorKind::Usage, detail))
    }
}
