//! Rule 3: nothing new to a server past the grace period after the sending gateway was notified.

use super::{Bounds, DRAINING_RULE, MILLISECOND, Verdict, gateway_name};
use petrelshore_emulator::record::{Entry, Event, Nanos};
use std::collections::BTreeMap;

/// Identifies what one gateway knows of one server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointView<'a> {
    gateway: &'a str,
    server: &'a str,
}

pub(super) fn check(entries: &[Entry], bounds: &Bounds, verdict: &mut Verdict) {
    // Since when gateways know that a server accepts nothing new.
    let mut closed: BTreeMap<EndpointView, Nanos> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::GatewayNotified { gateway, server, open: false } => {
                closed.insert(EndpointView { gateway, server }, entry.at);
                verdict.drain_notifications += 1;
            }
            Event::GatewayNotified { gateway, server, open: true } => {
                closed.remove(&EndpointView { gateway, server });
            }
            // A restarted gateway knows what it is notified of from then on.
            Event::GatewayKilled { gateway } => closed.retain(|view, _| view.gateway != gateway.as_str()),
            Event::AttemptArrived { server, gateway, request, .. } => {
                let gateway = gateway_name(gateway);
                let Some(notified) = closed.get(&EndpointView { gateway, server }) else { continue };
                if entry.at > notified + bounds.drain_grace + bounds.slack {
                    let after = (entry.at - notified) / MILLISECOND;
                    let description =
                        format!("{gateway} sent {request} to {server} {after} ms after it was told to stop");
                    verdict.add(DRAINING_RULE, entry.at, description);
                }
            }
            _ => {}
        }
    }
}
