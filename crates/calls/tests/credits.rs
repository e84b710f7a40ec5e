//! Granting, renewal and expiry of credits.

use hickorychute_calls as calls;
use kernel::ids;
use kernel::work::Urgency;

const SLOTS: u32 = 8;

fn run() -> ids::TaskAttempt {
    ids::TaskAttempt {
        task: ids::TaskId::new(&ids::WorkId::new("s"), 0),
        attempt: ids::Attempt(1),
    }
}

struct Owner {
    dispatcher: calls::Dispatcher,
    ledger: calls::CreditLedger,
}

impl Owner {
    fn new(epoch: u64) -> Self {
        let mut dispatcher = calls::Dispatcher::new(calls::DispatcherConfig::default(), 1);
        dispatcher.set_instance(&run(), "127.0.0.1:1", SLOTS, 64, 0);
        let config = calls::CreditConfig::default();
        Self {
            dispatcher,
            ledger: calls::CreditLedger::new(ids::Epoch(epoch), config),
        }
    }

    fn exchange(
        &mut self,
        host: &str,
        request: &calls::CreditRequest,
        now_ms: u64,
    ) -> calls::CreditGrant {
        let host = ids::HostId::new(host);
        self.ledger
            .exchange(&host, request, &mut self.dispatcher, now_ms)
    }
}

#[test]
fn two_hosts_hold_no_more_credits_than_slots() {
    let mut owner = Owner::new(1);
    let mut pools = [calls::CreditPool::new(), calls::CreditPool::new()];
    for round in 0..20 {
        let now_ms = round * 500;
        for (pool, name) in pools.iter_mut().zip(["a", "b"]) {
            let request = pool.request(SLOTS, now_ms);
            assert!(pool.accept(owner.exchange(name, &request, now_ms)));
        }
        let held: usize = pools.iter().map(|pool| pool.idle() + pool.in_use()).sum();
        assert!(held <= SLOTS as usize);
        assert_eq!(owner.dispatcher.load().open_calls, held as u64);
    }
    let held = pools.each_ref().map(calls::CreditPool::idle);
    assert_eq!(held, [4, 4], "equal shares for equal demand");
}

#[test]
fn a_slot_is_in_use_until_its_credit_expires_on_the_slowest_clock() {
    let mut owner = Owner::new(1);
    let mut pool = calls::CreditPool::new();
    let request = pool.request(SLOTS, 0);
    assert!(pool.accept(owner.exchange("a", &request, 0)));
    let config = calls::CreditConfig::default();
    assert!(
        pool.acquire(config.lifetime_ms + 1).is_none(),
        "expires before the deadline"
    );
    assert!(pool.acquire(config.lifetime_ms).is_some());
    owner
        .ledger
        .expire(&mut owner.dispatcher, config.lifetime_ms);
    assert_eq!(owner.ledger.len(), SLOTS as usize);
    owner
        .ledger
        .expire(&mut owner.dispatcher, config.fence_ms());
    assert!(owner.ledger.is_empty());
    assert_eq!(owner.dispatcher.load().free_slots, SLOTS);
}

#[test]
fn grants_of_older_epochs_and_requests_are_dropped() {
    let mut old = Owner::new(1);
    let mut new = Owner::new(2);
    let mut pool = calls::CreditPool::new();
    let request = pool.request(SLOTS, 0);
    let late = old.exchange("a", &request, 0);
    let request = pool.request(SLOTS, 1);
    assert!(!pool.accept(late), "does not belong to the latest request");
    let stale = old.exchange("a", &request, 1);
    assert!(pool.accept(new.exchange("a", &request, 1)));
    assert!(!pool.accept(stale), "older epoch");
    assert_eq!(pool.epoch(), ids::Epoch(2));
}

#[test]
fn a_credit_that_expired_at_the_owner_is_not_reused() {
    let mut owner = Owner::new(1);
    let mut pool = calls::CreditPool::new();
    let request = pool.request(1, 0);
    assert!(pool.accept(owner.exchange("a", &request, 0)));
    let credit = pool.acquire(1_000).unwrap();
    let later_ms = 60_000;
    let request = pool.request(1, later_ms);
    assert!(pool.accept(owner.exchange("a", &request, later_ms)));
    let idle = pool.idle();
    pool.release(credit);
    assert_eq!(pool.idle(), idle);
}

#[test]
fn waiting_calls_take_precedence_over_credits() {
    let mut owner = Owner::new(1);
    for id in 0..=u64::from(SLOTS) {
        let request = calls::CallTicket {
            id: calls::CallId(id),
            team: ids::TeamId::new("t"),
            urgency: Urgency::Normal,
            deadline_at_ms: 10_000,
            body_bytes: 0,
        };
        owner.dispatcher.admit(request, 0);
    }
    let request = calls::CreditPool::new().request(1, 0);
    assert!(owner.exchange("a", &request, 0).credits.is_empty());
}
