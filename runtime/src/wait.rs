//! Waits for a condition on state that a single thread shares.

use event_listener::Event;

/// Returns once `condition` holds. `changed` is to be notified whenever it may have come to hold.
pub async fn wait_until(changed: &Event, condition: impl Fn() -> bool) {
    wait_for(changed, || condition().then_some(())).await;
}

/// Returns what `ready` yields, as soon as it yields something. `changed` is to be notified whenever it may do so.
pub async fn wait_for<T>(changed: &Event, ready: impl Fn() -> Option<T>) -> T {
    loop {
        let listener = changed.listen();
        if let Some(value) = ready() {
            return value;
        }
        listener.await;
    }
}
