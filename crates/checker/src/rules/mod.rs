//! Rules, each a function from a history to the violations found.

mod calls;
mod leaving;
mod releases;
mod tasks;
mod work;

pub(crate) use calls::{check_answered, check_calls};
pub use leaving::MAX_LEAVING_WORK_MS;
pub(crate) use leaving::check_leaving;
pub use releases::MAX_RELEASE_DELAY_MS;
pub(crate) use releases::check_releases;
pub(crate) use tasks::check_tasks;
pub(crate) use work::check_accepted;
