//! Requests that are delivered although their sender has given them up.

use std::panic;

use tokio::task;

/// Runs a future to its end, even if whoever waits for it goes away.
///
/// A request that has left cannot be called back, so the fakes run it apart
/// from the caller, who may stop waiting at any time.
pub(super) async fn detached<T: Send + 'static>(
    future: impl Future<Output = T> + Send + 'static,
) -> T {
    match task::spawn(future).await {
        Ok(output) => output,
        Err(error) => match error.try_into_panic() {
            Ok(payload) => panic::resume_unwind(payload),
            // Only a runtime that shuts down cancels the task, and the caller with it.
            Err(_) => std::future::pending().await,
        },
    }
}
