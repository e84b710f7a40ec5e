//! State that a new leader loads before it makes decisions: job records, the roster of workers, and
//! the jobs that hosts accepted or cancelled directly in the store.

use std::{rc::Rc, time::Duration};

use adapter::store::Item;
use cell::{
    coordinator::{Coordinator, TakeoverState},
    ids::{JobId, TaskId},
    jobs::{JobRecord, Outcome},
};
use kernel::log_event;
use prost::Message;
use tokio::time;

use super::{CONFIRM_INTERVAL_MS, HostContext, Leader};
use crate::{
    clock,
    election::{self, LEADER_CHECK_INTERVAL, LEADER_RENEWAL_INTERVAL, Predecessor, Term},
    events,
    listing::{Listing, ListingReader},
    members::Departure,
    peers::{Body, LateOrder},
    prefix_watch::WatchPosition,
    records::{ARRIVALS_PREFIX, JOB_PREFIX, LEADER_KEY, ROSTER_KEY, Roster},
};

/// Run numbers reserved per term for each task.
const RUN_NUMBERS_PER_TERM: u64 = 1_000;
/// A term is abandoned once its reads have failed for this long without progress. Reading as such
/// may take much longer, depending on the number of records and the link.
const MAX_READ_STALL_MS: u64 = 8_000;
/// Timeout of the question to each host for the orders of former leaders.
const LATE_ORDERS_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A leader with all that was acknowledged before its term, but for jobs whose records it still
/// reads.
#[derive(Debug)]
pub(super) struct Takeover {
    /// The leader.
    pub(super) leader: Rc<Leader>,
    /// From where arrivals have to be watched.
    pub(super) arrivals_position: WatchPosition,
}

/// Loads records, roster and arrivals; `None` if the lease ends or the store does not return them
/// in time.
pub(super) async fn load(context: &HostContext, term: Term) -> Option<Takeover> {
    let renewal = renew_lease_until_ended(context, term);
    // Concurrent: with a slow store, sequential calls would delay the takeover.
    let read = async {
        let (jobs, roster, arrivals) = tokio::join!(
            read_listing(context, JOB_PREFIX),
            read_roster(context),
            read_listing(context, ARRIVALS_PREFIX)
        );
        let confirmed_ms = confirm_term(context, term).await?;
        Some((jobs?, roster?, arrivals?, confirmed_ms))
    };
    let (jobs, (roster, roster_revision), arrivals, confirmed_ms) = tokio::select! {
        () = renewal => return None,
        read = read => read?,
    };
    let config = context.operator_config.current()?;
    let takeover = TakeoverState {
        roster: roster.inherited(),
        expiry_ms: term.inherited_expiry_ms(roster.settled_fence),
        orders_expiry_ms: term.inherited_orders_expiry_ms(roster.settled_fence),
        run_floor: term.number * RUN_NUMBERS_PER_TERM,
    };
    let tuning = Leader::tuning(&context.settings.current());
    let mut coordinator = Coordinator::new(tuning, config, takeover);
    let unix_ms = clock::unix_ms();
    let mut open = 0;
    let job_revisions: Vec<(JobId, u64)> = jobs
        .items
        .iter()
        .filter_map(|item| {
            let record = decode(item)?;
            open += usize::from(record.outcome() == Outcome::Open);
            coordinator.add_job(&record, true, unix_ms);
            Some((JobId(record.id), item.revision))
        })
        .collect();
    log_event!(
        events::LEAD_TAKEN,
        "fence={} records={} open={open} roster={} read_ms={}",
        term.fence,
        job_revisions.len(),
        roster.workers.len(),
        clock::now_ms() - term.taken_ms
    );
    let leader = Rc::new(Leader::new(context, term, coordinator));
    leader.last_confirmed_ms.set(confirmed_ms);
    leader.revisions.borrow_mut().extend(job_revisions);
    if let Some(predecessor) = term.last_leader(roster.settled_fence) {
        leader.spawn(lower_expiry(
            Rc::clone(&leader),
            predecessor,
            roster.settled_fence,
        ));
    }
    leader.ask_for_late_orders();
    *leader.durable_roster.borrow_mut() = roster;
    leader.roster_revision.set(roster_revision);
    if leader.apply_arrivals(&arrivals).is_break() {
        return None;
    }
    Some(Takeover {
        leader,
        arrivals_position: arrivals.position(),
    })
}

impl Leader {
    /// Asks all hosts for the orders of former leaders that they have relayed and that got no response.
    /// The durable roster lacks those that were on their way when their leader ended.
    fn ask_for_late_orders(self: &Rc<Self>) {
        let fence = self.term.fence;
        let own_name = self.context.settings.current().host_name.clone();
        self.inherit_late_orders(&self.context.relay.late_orders(fence));
        let mut hosts = self.context.members.hosts();
        hosts.shift_remove(&own_name);
        self.coordinator.borrow_mut().await_late_orders(hosts.len());
        for host in hosts.into_values() {
            let leader = Rc::clone(self);
            self.spawn(async move {
                let call = Body::LateOrders(fence);
                let peers = &leader.context.peers;
                let reply = peers.call(host.address, call, LATE_ORDERS_TIMEOUT).await;
                if let Ok(Body::LateOrdersReply(reply)) = reply {
                    leader.inherit_late_orders(&reply.orders);
                }
                leader.coordinator.borrow_mut().late_orders_answered();
                leader.schedule.notify_one();
            });
        }
    }

    fn inherit_late_orders(&self, orders: &[LateOrder]) {
        let now_ms = clock::now_ms();
        for order in orders {
            let task = TaskId::from(order.task);
            let expires_ms = now_ms + order.left_ms;
            log_event!(
                events::LATE_ORDER,
                "task={task} run={} worker={} left_ms={}",
                order.run,
                order.worker,
                order.left_ms
            );
            self.coordinator.borrow_mut().inherit_late_order(
                &order.worker,
                task,
                order.run,
                expires_ms,
            );
        }
    }
}

/// Waits for the proof that the predecessor's process has ended, unless the election has found it,
/// and lowers the wait for its holds and orders.
async fn lower_expiry(leader: Rc<Leader>, predecessor: Predecessor, settled_fence: u64) {
    let ended_by_ms = loop {
        if let Some(ended_by_ms) = predecessor.ended_by_ms {
            break ended_by_ms;
        }
        if leader
            .coordinator
            .borrow()
            .outlasted_predecessors(clock::now_ms())
        {
            return;
        }
        let check = election::check_leader(&leader.context.peers, predecessor.leader);
        if let Some(Departure::Ended { by_ms }) = check.await {
            break by_ms;
        }
        time::sleep(LEADER_CHECK_INTERVAL).await;
    };
    let term = leader.term.with_predecessor_ended(ended_by_ms);
    let expiry_ms = term.inherited_expiry_ms(settled_fence);
    leader
        .coordinator
        .borrow_mut()
        .lower_inherited_expiry(expiry_ms);
    leader.schedule.notify_one();
    let now_ms = clock::now_ms();
    log_event!(
        events::PREDECESSOR_ENDED,
        "fence={} predecessor={} process={:016x} address={} proof=other_process age_ms={} expires_in_ms={}",
        term.fence,
        predecessor.leader.fence,
        predecessor.leader.process,
        predecessor.leader.address,
        now_ms - ended_by_ms,
        expiry_ms.saturating_sub(now_ms)
    );
}

fn decode(item: &Item) -> Option<JobRecord> {
    JobRecord::decode(item.value.as_slice()).ok()
}

async fn renew_lease_until_ended(context: &HostContext, term: Term) {
    loop {
        if context.store.renew_lease(term.lease).await
            == Err(adapter::store::StoreError::LeaseEnded)
        {
            return;
        }
        time::sleep(LEADER_RENEWAL_INTERVAL).await;
    }
}

/// Reads all items under a prefix; `None` once reads have failed for [`MAX_READ_STALL_MS`].
async fn read_listing(context: &HostContext, prefix: &str) -> Option<Listing> {
    let mut reader = ListingReader::new(&context.store, prefix);
    let mut pages = 0;
    let mut failing_since_ms = None;
    loop {
        if let Ok(listing) = reader.read().await {
            return Some(listing);
        }
        if reader.pages() > pages {
            pages = reader.pages();
            failing_since_ms = None;
        }
        wait_to_retry(&mut failing_since_ms).await?;
    }
}

/// Reads the roster and its store revision; `None` once reads have failed for
/// [`MAX_READ_STALL_MS`].
async fn read_roster(context: &HostContext) -> Option<(Roster, u64)> {
    let mut failing_since_ms = None;
    loop {
        if let Ok(item) = context.store.get(ROSTER_KEY).await {
            let decode = |item: Item| {
                let roster = Roster::decode(item.value.as_slice()).unwrap_or_default();
                (roster, item.revision)
            };
            return Some(item.map(decode).unwrap_or_default());
        }
        wait_to_retry(&mut failing_since_ms).await?;
    }
}

/// Confirms that the leader key is still ours; `None` if it is not, or once reads have failed for
/// [`MAX_READ_STALL_MS`]. Returns the time from which the confirmation counts. Reading can outlast
/// the authority that the election gave.
async fn confirm_term(context: &HostContext, term: Term) -> Option<u64> {
    if clock::now_ms() < term.taken_ms + CONFIRM_INTERVAL_MS {
        return Some(term.taken_ms);
    }
    let mut failing_since_ms = None;
    loop {
        let sent_ms = clock::now_ms();
        match context.store.get(LEADER_KEY).await {
            Ok(Some(item)) if item.revision == term.fence => return Some(sent_ms),
            Ok(_) => return None,
            Err(_) => wait_to_retry(&mut failing_since_ms).await?,
        }
    }
}

/// Waits before a failed read is repeated; `None` if reads have failed for [`MAX_READ_STALL_MS`].
async fn wait_to_retry(failing_since_ms: &mut Option<u64>) -> Option<()> {
    let now_ms = clock::now_ms();
    if now_ms >= *failing_since_ms.get_or_insert(now_ms) + MAX_READ_STALL_MS {
        return None;
    }
    time::sleep(RETRY_DELAY).await;
    Some(())
}
