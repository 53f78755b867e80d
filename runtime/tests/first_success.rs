//! Waiting for the first successful call of several.

use futures_lite::future;
use petrelshore_runtime::{Call, first_success};

/// Returns a call that completes at once with `result`.
fn completed_call(result: Option<u32>) -> Call<'static, u32> {
    Box::pin(future::ready(result))
}

#[test]
fn first_successful_call_is_returned_and_pending_calls_stay() {
    let mut calls = vec![
        completed_call(None),
        Box::pin(future::pending()),
        completed_call(Some(1)),
        completed_call(Some(2)),
    ];
    assert_eq!(future::block_on(first_success(&mut calls)), Some(1));
    assert_eq!(calls.len(), 1);
}

#[test]
fn success_after_pending_call_is_waited_for() {
    let late = async {
        future::yield_now().await;
        Some(3)
    };
    let mut calls: Vec<Call<'_, u32>> = vec![completed_call(None), Box::pin(late)];
    assert_eq!(future::block_on(first_success(&mut calls)), Some(3));
}

#[test]
fn no_call_that_succeeds_returns_none() {
    assert_eq!(future::block_on(first_success(&mut vec![completed_call(None), completed_call(None)])), None);
    assert_eq!(future::block_on(first_success::<u32>(&mut Vec::new())), None);
}
