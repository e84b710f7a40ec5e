//! Decides whether a request may be sent to the next host.

use kernel::errors;

/// What sending a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: the request only reads, or running it twice is as good as once.
    Harmless,
    /// Nothing: a key lets the system recognize the second one.
    Recognized,
    /// It must not be sent again unless it certainly did not run.
    Forbidden,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection: the host never got the request.
    NotSent,
    /// The host answered with an error of this kind.
    Refused(errors::ErrorKind),
    /// The request may have been sent, and no whole answer came back.
    Lost,
}

impl AttemptEnd {
    /// Whether the request may have run in spite of this end.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotSent => false,
            Self::Refused(kind) => kind.answer().outcome != errors::Outcome::NotRun,
            Self::Lost => true,
        }
    }

    /// Whether the next host may be asked.
    pub fn allows_next(self, repeat: Repeat) -> bool {
        match self {
            Self::NotSent => true,
            Self::Lost => repeat != Repeat::Forbidden,
            Self::Refused(kind) => {
                let answer = kind.answer();
                match answer.outcome {
                    errors::Outcome::NotRun => answer.retryable,
                    errors::Outcome::Unknown => repeat != Repeat::Forbidden,
                    errors::Outcome::Done => false,
                }
            }
        }
    }
}
