//! What decides which clients may access a job.

use std::rc::Rc;

use super::Coordinator;
use crate::ids::JobId;

impl Coordinator {
    /// Tenant under which a job was accepted; empty if it has none, `None` if the job is unknown.
    pub fn job_tenant(&self, id: JobId) -> Option<&Rc<str>> {
        match self.jobs.get(&id) {
            Some(job) => Some(&job.tenant),
            None => self.ended_jobs.tenant(id),
        }
    }
}
