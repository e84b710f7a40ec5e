//! Listings of a prefix of the store, read page by page.
//!
//! A listing makes progress with every page: when a call fails, the pages read so far are kept and
//! the next attempt continues after them. A listing that started over instead would never complete
//! on a link that fails more often than the whole listing takes.

use adapter::store::{Item, StoreError};
use kernel::log_event;

use crate::{clock, events, prefix_watch::WatchPosition, store::GuardedStore};

/// Failures of one listing are logged at most once in this time, in milliseconds.
const FAILURE_LOG_INTERVAL_MS: u64 = 2_000;

/// All items under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the first page; a watch from here reports every change that the listing lacks.
    pub as_of: u64,
    /// When the listing was begun, in milliseconds of [`clock::now_ms`].
    pub began_ms: u64,
    /// When its first page was requested for the last time, in milliseconds of [`clock::now_ms`].
    pub first_page_sent_ms: u64,
}

impl Listing {
    /// Position from which a watch reports every change that the listing lacks.
    pub(crate) fn position(&self) -> WatchPosition {
        WatchPosition {
            after: self.as_of,
            covered_ms: self.began_ms,
        }
    }
}

/// A listing in progress.
#[derive(Debug)]
pub struct ListingReader<'a> {
    store: &'a GuardedStore,
    prefix: &'a str,
    items: Vec<Item>,
    /// Revision of the first page; `None` before it has been read.
    as_of: Option<u64>,
    pages: u32,
    failures: u32,
    began_ms: u64,
    first_page_sent_ms: u64,
    /// When a failure was last logged; `None` before the first one.
    failure_logged_ms: Option<u64>,
}

impl<'a> ListingReader<'a> {
    /// A listing of which nothing has been read yet.
    pub fn new(store: &'a GuardedStore, prefix: &'a str) -> Self {
        Self {
            store,
            prefix,
            items: Vec::new(),
            as_of: None,
            pages: 0,
            failures: 0,
            began_ms: clock::now_ms(),
            first_page_sent_ms: 0,
            failure_logged_ms: None,
        }
    }

    /// Number of pages read so far.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Reads the remaining pages.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store does not return a page; a further call continues with it.
    pub async fn read(&mut self) -> Result<Listing, StoreError> {
        loop {
            if self.as_of.is_none() {
                self.first_page_sent_ms = clock::now_ms();
            }
            let after = self.items.last().map_or("", |item| &item.key);
            let page = match self.store.read_page(self.prefix, after).await {
                // Without a last key the next page cannot be named, and what follows is not absent.
                Ok(page) if page.more && page.items.is_empty() => Err(StoreError::InvalidResponse),
                page => page,
            };
            let page = page.inspect_err(|error| self.log_failure(*error))?;
            self.pages += 1;
            let as_of = *self.as_of.get_or_insert(page.as_of);
            self.items.extend(page.items);
            if !page.more {
                self.log_completion();
                let items = std::mem::take(&mut self.items);
                return Ok(Listing {
                    items,
                    as_of,
                    began_ms: self.began_ms,
                    first_page_sent_ms: self.first_page_sent_ms,
                });
            }
        }
    }

    fn log_failure(&mut self, error: StoreError) {
        self.failures += 1;
        let now_ms = clock::now_ms();
        let is_due = |logged_ms: u64| now_ms >= logged_ms + FAILURE_LOG_INTERVAL_MS;
        if self.failure_logged_ms.is_none_or(is_due) {
            self.failure_logged_ms = Some(now_ms);
            log_event!(
                events::LISTING_FAILED,
                "prefix={} pages={} items={} failures={} since_ms={} error={error}",
                self.prefix,
                self.pages,
                self.items.len(),
                self.failures,
                now_ms - self.began_ms
            );
        }
    }

    fn log_completion(&self) {
        if self.failures > 0 {
            log_event!(
                events::LISTING_COMPLETE,
                "prefix={} pages={} items={} failures={} took_ms={}",
                self.prefix,
                self.pages,
                self.items.len(),
                self.failures,
                clock::now_ms() - self.began_ms
            );
        }
    }
}
