//! Waits for conditions on state that the tasks of one thread share.

use event_listener::Event;

/// Returns once `condition` holds. `changed` must be notified whenever the condition may have become true.
pub async fn wait_until(changed: &Event, condition: impl Fn() -> bool) {
    wait_for(changed, || condition().then_some(())).await;
}

/// Returns the value of `ready` as soon as `ready` returns `Some`. `changed` must be notified whenever the result of
/// `ready` may have changed.
pub async fn wait_for<T>(changed: &Event, ready: impl Fn() -> Option<T>) -> T {
    loop {
        let listener = changed.listen();
        if let Some(value) = ready() {
            return value;
        }
        listener.await;
    }
}
