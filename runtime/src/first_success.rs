//! Waits for the first of several concurrent calls that succeeds.

use futures_lite::future;
use std::pin::Pin;
use std::task::Poll;

/// A call that returns nothing where it has failed.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Option<T>> + 'a>>;

/// What the first successful call returns; nothing once all have failed. Calls that have ended are removed, the others
/// stay and may be waited for again.
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
