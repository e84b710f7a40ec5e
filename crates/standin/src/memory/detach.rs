//! Runs requests independently of the caller that awaits them.

use std::panic;

use tokio::task;

/// Runs a future to completion in its own task, even if the returned future is dropped.
///
/// A request that has been sent cannot be recalled, so it must take effect even
/// if the caller times out.
pub(super) async fn run_detached<T: Send + 'static>(
    future: impl Future<Output = T> + Send + 'static,
) -> T {
    match task::spawn(future).await {
        Ok(output) => output,
        Err(error) => match error.try_into_panic() {
            Ok(payload) => panic::resume_unwind(payload),
            // The task is cancelled only on runtime shutdown, which cancels the caller as well.
            Err(_) => std::future::pending().await,
        },
    }
}
