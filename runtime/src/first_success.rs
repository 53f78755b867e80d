//! Waits for the first of several concurrent calls that succeeds.

use futures_lite::future;
use std::pin::Pin;
use std::task::Poll;

/// A concurrent call. Its output is `None` if the call failed.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Option<T>> + 'a>>;

/// Returns the result of the first successful call, or `None` once all calls have failed. Completed calls are removed
/// from `calls`. Pending calls stay in `calls`, and the caller may wait for them again.
pub async fn first_success<T>(calls: &mut Vec<Call<'_, T>>) -> Option<T> {
    future::poll_fn(|context| {
        let mut success = None;
        calls.retain_mut(|call| match call.as_mut().poll(context) {
            Poll::Pending => true,
            Poll::Ready(result) => {
                success = success.take().or(result);
                false
            }
        });
        if success.is_some() || calls.is_empty() { Poll::Ready(success) } else { Poll::Pending }
    })
    .await
}
