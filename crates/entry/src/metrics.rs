//! Counters, gauges and latency histograms in the Prometheus text format.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, time::Duration};

use adapter::clients::Request;
use indexmap::IndexMap;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 8] = [2, 5, 10, 30, 100, 300, 1_000, 3_000];

#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len() + 1],
    sum_ms: u64,
}

/// Counters, gauges and histograms of a host.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<IndexMap<&'static str, u64>>,
    gauges: RefCell<IndexMap<&'static str, u64>>,
    requests: RefCell<IndexMap<(&'static str, u16), u64>>,
    key_refusals: RefCell<IndexMap<&'static str, u64>>,
    refusals: RefCell<IndexMap<(&'static str, &'static str), u64>>,
    latency: RefCell<IndexMap<&'static str, Histogram>>,
    /// Current values with labels, by name and labels as rendered.
    labelled_gauges: RefCell<BTreeMap<String, u64>>,
}

impl Metrics {
    /// Increments the counter `hickory_{name}_total`.
    pub fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
    }

    /// Sets the gauge `hickory_{name}`.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Counts a call that was refused on account of its key.
    pub fn count_key_refusal(&self, reason: &'static str) {
        *self.key_refusals.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Increases the counter `hickory_{name}_total`, unless by 0.
    pub fn add(&self, name: &'static str, number: u64) {
        if number > 0 {
            *self.counters.borrow_mut().entry(name).or_default() += number;
        }
    }

    /// Replaces all gauges with labels.
    pub fn set_labelled_gauges(&self, gauges: BTreeMap<String, u64>) {
        *self.labelled_gauges.borrow_mut() = gauges;
    }

    /// Counts a connection or request that was refused or closed at a limit of its port.
    pub fn count_refusal(&self, port: &'static str, reason: &'static str) {
        *self
            .refusals
            .borrow_mut()
            .entry((port, reason))
            .or_default() += 1;
    }

    /// Records the status and latency of an answered request.
    pub fn observe(&self, request: Request, status: u16, took: Duration) {
        let kind = match request {
            Request::Submit(_) => "submit",
            Request::State(_) => "state",
            Request::Cancel(_) => "cancel",
            Request::Pending => "pending",
        };
        *self
            .requests
            .borrow_mut()
            .entry((kind, status))
            .or_default() += 1;
        let mut latency = self.latency.borrow_mut();
        let histogram = latency.entry(kind).or_default();
        let took_ms = took.as_millis() as u64;
        let bucket = BUCKET_BOUNDS_MS.iter().position(|&bound| took_ms <= bound);
        histogram.buckets[bucket.unwrap_or(BUCKET_BOUNDS_MS.len())] += 1;
        histogram.sum_ms += took_ms;
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in &*self.counters.borrow() {
            let _written = writeln!(text, "hickory_{name}_total {value}");
        }
        for (name, value) in &*self.gauges.borrow() {
            let _written = writeln!(text, "hickory_{name} {value}");
        }
        for ((kind, status), value) in &*self.requests.borrow() {
            let labels = format!("kind=\"{kind}\",status=\"{status}\"");
            let _written = writeln!(text, "hickory_requests_total{{{labels}}} {value}");
        }
        for (reason, value) in &*self.key_refusals.borrow() {
            let labels = format!("reason=\"{reason}\"");
            let _written = writeln!(text, "hickory_key_refusals_total{{{labels}}} {value}");
        }
        for ((port, reason), value) in &*self.refusals.borrow() {
            let labels = format!("port=\"{port}\",reason=\"{reason}\"");
            let _written = writeln!(text, "hickory_refusals_total{{{labels}}} {value}");
        }
        for (kind, histogram) in &*self.latency.borrow() {
            let mut below = 0;
            for (position, count) in histogram.buckets.iter().enumerate() {
                below += count;
                let bound = BUCKET_BOUNDS_MS
                    .get(position)
                    .map_or("+Inf".to_owned(), u64::to_string);
                let labels = format!("kind=\"{kind}\",le=\"{bound}\"");
                let _written = writeln!(text, "hickory_request_ms_bucket{{{labels}}} {below}");
            }
            let sum_ms = histogram.sum_ms;
            let _written = writeln!(text, "hickory_request_ms_sum{{kind=\"{kind}\"}} {sum_ms}");
            let _written = writeln!(text, "hickory_request_ms_count{{kind=\"{kind}\"}} {below}");
        }
        for (name, value) in &*self.labelled_gauges.borrow() {
            let _written = writeln!(text, "{name} {value}");
        }
        let dropped = crate::logs::dropped_lines();
        let _written = writeln!(text, "hickory_log_lines_dropped_total {dropped}");
        text
    }
}
