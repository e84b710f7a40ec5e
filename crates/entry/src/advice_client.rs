//! Queries to the advice service from this host.

use std::{net::SocketAddr, time::Duration};

use adapter::{advice, http::ConnectionPool};
use cell::ids::{JobId, StepId};

use crate::peers::{AdviceCall, AdviceReply};

/// Queries the advice service from this host. The default reply, with `answered` unset, means that
/// it did not answer.
pub async fn query(pool: &ConnectionPool, address: SocketAddr, call: &AdviceCall) -> AdviceReply {
    let step = StepId {
        job: JobId(call.job),
        occurrence: call.occurrence,
        step: call.step,
    };
    let timeout = Duration::from_millis(call.timeout_ms);
    let Some(answer) = advice::ask(pool, address, step, &call.workers, timeout).await else {
        return AdviceReply::default();
    };
    let mut reply = AdviceReply {
        answered: true,
        valid_ms: answer.valid_ms,
        ..AdviceReply::default()
    };
    for (worker, ticket) in answer.rows {
        if let Some(position) = call.workers.iter().position(|named| *named == worker) {
            reply.workers.push(position as u32);
            reply.tickets.push(ticket);
        }
    }
    reply
}
