//! Clients of the cell: they remember what they sent and what was answered.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use platform_standin::run_log;
use serde_json::{Value, json};
use tokio::time;

use crate::tenants::{self, KeyedCall, Tenants};

/// Deadline that clients send with a request.
const DEADLINE_MS: u64 = 3_000;
/// Time after which a client gives a request up.
const PATIENCE: Duration = Duration::from_secs(4);
/// Delay before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay between two calls of a probe.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// What clients know of a job.
#[derive(Clone, Debug, Default)]
pub struct ClientJob {
    /// Payload that they sent.
    pub spec: String,
    /// Whether a submission was accepted.
    pub accepted: bool,
    /// Whether any attempt may have been accepted.
    pub in_doubt: bool,
    /// When the cancellation was acknowledged, on the machine's clock.
    pub cancelled_ms: Option<u64>,
}

/// Clients that send requests to any host.
#[derive(Debug)]
pub struct Clients {
    /// Tenants with whose keys they call, if the cell has any.
    pub tenants: Option<Tenants>,
    hosts: Vec<SocketAddr>,
    jobs: Mutex<BTreeMap<String, ClientJob>>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Clients {
    /// Clients of the hosts at these addresses.
    pub fn new(hosts: Vec<SocketAddr>, tenants: Option<Tenants>) -> Self {
        Self {
            tenants,
            hosts,
            jobs: Mutex::default(),
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    fn lock_jobs(&self) -> MutexGuard<'_, BTreeMap<String, ClientJob>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What clients know of all jobs, by id.
    pub fn jobs(&self) -> BTreeMap<String, ClientJob> {
        self.lock_jobs().clone()
    }

    /// Submits a job of `count` tasks until it is accepted, at most for 10 s.
    pub async fn submit(&self, number: u64, count: u32, run_ms: u64) {
        let id = format!("{number:016x}");
        let spec = format!("run={run_ms} job={id}");
        let body = json!({
            "spec": spec,
            "steps": [{"count": count, "cpu": 1_000, "mem_mb": 10, "estimate_ms": run_ms}],
        });
        let job = ClientJob {
            spec,
            ..ClientJob::default()
        };
        self.lock_jobs().insert(id.clone(), job);
        for attempt in 0..50 {
            let status = self.send(attempt, "POST", &id, Some(&body)).await.0;
            if let Some(job) = self.lock_jobs().get_mut(&id) {
                job.accepted |= status == 200;
                job.in_doubt |= ![401, 404, 429, 503].contains(&status);
            }
            if status == 200 {
                return;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Cancels a job until that is acknowledged.
    pub async fn cancel(&self, number: u64) {
        let id = format!("{number:016x}");
        for attempt in 0..50 {
            let status = self.send(attempt, "DELETE", &id, None).await.0;
            if [200, 410].contains(&status) {
                if let Some(job) = self.lock_jobs().get_mut(&id) {
                    job.cancelled_ms = Some(run_log::machine_ms());
                }
                return;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until all accepted jobs that were not cancelled are completed; returns those that are not.
    pub async fn wait_for_completion(&self, limit: Duration) -> Vec<String> {
        let until = time::Instant::now() + limit;
        let mut open: Vec<String> = self
            .jobs()
            .into_iter()
            .filter(|(_, job)| job.accepted && job.cancelled_ms.is_none())
            .map(|(id, _)| id)
            .collect();
        let mut attempt = 0;
        while let Some(id) = open.last() {
            attempt += 1;
            if self.send(attempt, "GET", id, None).await.1["state"] == "completed" {
                open.pop();
            } else if time::Instant::now() >= until {
                break;
            } else {
                time::sleep(Duration::from_millis(50)).await;
            }
        }
        open
    }

    /// Sends calls about jobs to a host, with current and revoked keys, until the future is dropped.
    pub async fn probe(&self, host: usize) {
        let Some(tenants) = &self.tenants else {
            return;
        };
        for choice in 0_usize.. {
            let accepted = |(id, job): (String, ClientJob)| job.accepted.then_some(id);
            let jobs: Vec<String> = self.jobs().into_iter().filter_map(accepted).collect();
            // Every other call counts jobs.
            let id = match jobs.len() {
                0 => "",
                _ if choice % 2 == 0 => "",
                count => jobs[choice / 2 % count].as_str(),
            };
            let tenant = match number_of(id) {
                Some(number) => tenants::tenant_of(number),
                None => choice / 2 % tenants::TENANTS,
            };
            // Every third choice may be a revoked key.
            let key = tenants.key_for(tenant, 3 * choice + 2 * (choice / 6 % 2));
            self.exchange(host, "GET", id, None, Some((tenant, key)))
                .await;
            time::sleep(PROBE_DELAY).await;
        }
    }

    /// Sends a request to one of the hosts; the status is 0 if there is no answer.
    async fn send(
        &self,
        attempt: usize,
        method: &str,
        id: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let number = usize::from_str_radix(&id[8..], 16).unwrap_or_default();
        let host = (number + attempt) % self.hosts.len();
        let tenant = tenants::tenant_of(number as u64);
        let key = self.tenants.as_ref();
        let key = key.map(|tenants| (tenant, tenants.key_for(tenant, number + attempt)));
        self.exchange(host, method, id, body, key).await
    }

    /// Sends a request to a host, with a tenant's key if there is one.
    async fn exchange(
        &self,
        host: usize,
        method: &str,
        id: &str,
        body: Option<&Value>,
        key: Option<(usize, String)>,
    ) -> (u16, Value) {
        let body = body.map(Value::to_string).unwrap_or_default();
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/batch/{id}", self.hosts[host]))
            .header("host", "jobs.example")
            .header("x-deadline-ms", DEADLINE_MS.to_string());
        if let Some((_, key)) = &key {
            request = request.header("authorization", format!("Token {key}"));
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .expect("the request is valid");
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await.ok()?.to_bytes();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some((status, body))
        };
        let sent_ms = run_log::machine_ms();
        let reply = time::timeout(PATIENCE, exchange).await;
        let reply = reply.ok().flatten().unwrap_or((0, Value::Null));
        if let (Some(tenants), Some((tenant, key))) = (&self.tenants, key) {
            tenants.record(KeyedCall {
                sent_ms,
                answered_ms: run_log::machine_ms(),
                host,
                call: format!("{method} {id}"),
                tenant,
                key,
                status: reply.0,
            });
        }
        reply
    }
}

/// Number of a job.
fn number_of(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}
