//! The rules, each a function from a history to violations.

mod calls;
mod leaving;
mod releases;
mod tasks;
mod work;

pub(crate) use calls::{check_answered, check_calls};
pub use leaving::LEAVING_LIMIT_MS;
pub(crate) use leaving::check_leaving;
pub use releases::RELEASE_LIMIT_MS;
pub(crate) use releases::check_releases;
pub(crate) use tasks::check_tasks;
pub(crate) use work::check_accepted;
