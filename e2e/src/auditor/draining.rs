//! Rule 3: a gateway sends no new request to a server that drains or is no longer listed. Requests may arrive for a
//! grace period after the gateway was notified of the change.

use super::{Bounds, DRAINING_RULE, MILLISECOND, Verdict, gateway_name};
use petrelshore_emulator::record::{Entry, Event, Nanos};
use std::collections::BTreeMap;

/// Identifies the state of one server as one gateway knows it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointView<'a> {
    gateway: &'a str,
    server: &'a str,
}

pub(super) fn check(entries: &[Entry], bounds: &Bounds, verdict: &mut Verdict) {
    // The times at which gateways were notified that a server accepts no new requests.
    let mut draining: BTreeMap<EndpointView, Nanos> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::GatewayNotified { gateway, server, open: false } => {
                draining.insert(EndpointView { gateway, server }, entry.at);
                verdict.drain_notifications += 1;
            }
            Event::GatewayNotified { gateway, server, open: true } => {
                draining.remove(&EndpointView { gateway, server });
            }
            // A restarted gateway only knows of the notifications that it gets after its restart.
            Event::GatewayKilled { gateway } => draining.retain(|view, _| view.gateway != gateway.as_str()),
            Event::AttemptArrived { server, gateway, request, .. } => {
                let gateway = gateway_name(gateway);
                let Some(notified) = draining.get(&EndpointView { gateway, server }) else { continue };
                if entry.at > notified + bounds.drain_grace + bounds.slack {
                    let after = (entry.at - notified) / MILLISECOND;
                    let description = format!(
                        "{gateway} sent {request} to {server} {after} ms after being notified that the server drains or is gone"
                    );
                    verdict.add(DRAINING_RULE, entry.at, description);
                }
            }
            _ => {}
        }
    }
}
