//! Watches the endpoint list of the platform's discovery, through the agent on the gateway's own machine.

mod list_request;

use crate::gateway::PlatformGateway;
use async_io::Timer;
use futures_lite::future;
use list_request::{ListError, ListRequest, request_list};
use petrelshore::interface::Nanos;
use petrelshore_gateway_core::event_budget::EventKind;
use petrelshore_http1::connection::HttpConnection;
use petrelshore_platform_protocol::endpoint_list::EndpointList;
use petrelshore_runtime::{Call, first_success};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

// A change counts as known 6 s after discovery has it and can be reached, however the requests before ended. At the most
// there pass the rest of a watch that is out (`MAX_WATCH_TIMEOUT` + the poll interval, 2.5 s), a connection and the full
// list (`REQUEST_TIMEOUT` each): 3.5 s.
//
// What an agent that was silent has at its return counts at once, and it does not answer earlier requests. So requests
// begin a poll interval apart, whatever became of the ones before, and the list is there a part of the drain grace after
// the return. The requests before stay out for their time: an agent that is only slow answers them. One that takes up to
// `PATIENT_REQUEST_TIMEOUT` is followed: its list is there 3.5 s after the watch before it has ended at the latest.

/// What a watch asks the agent to wait for changes at the most. Short, since a change that got lost on its way, and an
/// agent that is silent, show only at its end: no more than `WATCH_TIMEOUT_DRAIN_GRACES` times the drain grace.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
const WATCH_TIMEOUT_DRAIN_GRACES: u32 = 2;
/// The agent answers at once what has no wait in it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// But discovery may be slow. So one of the requests that begin in this time stays out for longer than the others.
const PATIENT_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
const PATIENT_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Between the beginnings of two requests for the full list: a part of the drain grace, within these bounds.
const POLLS_PER_DRAIN_GRACE: u32 = 2;
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long to wait, by the drain grace of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchTimings {
    /// What a watch asks the agent to wait at the most.
    watch_timeout: Duration,
    /// Between two requests for the full list, and allowed to a watch beyond its wait.
    poll_interval: Duration,
}

impl WatchTimings {
    fn new(drain_grace: Nanos) -> Self {
        let grace = Duration::from_nanos(drain_grace);
        WatchTimings {
            watch_timeout: (grace * WATCH_TIMEOUT_DRAIN_GRACES).clamp(REQUEST_TIMEOUT, MAX_WATCH_TIMEOUT),
            poll_interval: (grace / POLLS_PER_DRAIN_GRACE).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL),
        }
    }
}

/// A connection to the agent, with the list that came on it last.
struct ListConnection {
    wire: HttpConnection,
    list: EndpointList,
}

/// The watch task: follows the endpoint list for as long as it is polled. A new address is taken up at once, from its
/// full list on.
pub async fn watch(gateway: PlatformGateway) {
    let timings = WatchTimings::new(gateway.drain_grace());
    loop {
        let address_changed = gateway.discovery_address_changed();
        let address = gateway.discovery_address();
        let watcher = Watcher { gateway: &gateway, address, timings };
        future::or(address_changed, watcher.run()).await;
    }
}

/// Watches the list at one address.
#[derive(Clone, Copy)]
struct Watcher<'a> {
    gateway: &'a PlatformGateway,
    address: SocketAddr,
    timings: WatchTimings,
}

impl<'a> Watcher<'a> {
    async fn run(self) {
        loop {
            // Guards against an agent that ends each connection with its answer.
            let poll_interval = Timer::after(self.timings.poll_interval);
            let connection = self.full_list().await;
            let reason = self.follow_changes(connection).await;
            if self.gateway.may_log(EventKind::EndpointListChanged) {
                info!(address = %self.address, %reason, "endpoint list watch ended");
            }
            poll_interval.await;
        }
    }

    /// The full list, by the first request that is answered with it.
    async fn full_list(self) -> ListConnection {
        let mut requests: Vec<Call<'a, ListConnection>> = Vec::new();
        let mut last_patient = None;
        loop {
            let is_patient =
                last_patient.is_none_or(|last: Instant| last.elapsed() >= PATIENT_REQUEST_INTERVAL);
            if is_patient {
                last_patient = Some(Instant::now());
            }
            let timeout = if is_patient { PATIENT_REQUEST_TIMEOUT } else { REQUEST_TIMEOUT };
            requests.push(Box::pin(self.try_full_list(timeout)));
            let answer = async {
                match first_success(&mut requests).await {
                    Some(connection) => Some(connection),
                    // All have failed: the next one is made when its time has come.
                    None => future::pending().await,
                }
            };
            let poll_interval = async {
                Timer::after(self.timings.poll_interval).await;
                None
            };
            if let Some(connection) = future::or(answer, poll_interval).await {
                return connection;
            }
        }
    }

    async fn try_full_list(self, timeout: Duration) -> Option<ListConnection> {
        let result = async {
            let mut wire =
                HttpConnection::connect(self.address, REQUEST_TIMEOUT).await.map_err(ListError::Connect)?;
            let request = ListRequest { address: self.address, query: "", timeout };
            let list = request_list(&mut wire, request, self.gateway.names()).await?;
            Ok::<_, ListError>(ListConnection { wire, list })
        };
        match result.await {
            Ok(connection) => Some(connection),
            Err(error) => {
                debug!(address = %self.address, %error, "endpoint list request failed");
                None
            }
        }
    }

    /// Takes a list and what changes after it. Returns why it can't be followed any further.
    async fn follow_changes(self, connection: ListConnection) -> ListError {
        let ListConnection { mut wire, mut list } = connection;
        loop {
            for error in &list.left_out {
                warn!(%error, "endpoint list entry rejected");
            }
            let index = list.index;
            self.gateway.update_endpoints(list);
            // An answer behind the one requested would be taken for the next one's, and each after it for the next.
            if !wire.is_reusable() {
                return ListError::UnexpectedData;
            }
            list = match self.next_change(&mut wire, index).await {
                // Nothing newer than the index known here would ever come.
                Ok(next) if next.index < index => {
                    return ListError::IndexWentBack { known: index, received: next.index };
                }
                Ok(next) => next,
                Err(error) => return error,
            };
        }
    }

    async fn next_change(self, wire: &mut HttpConnection, index: u64) -> Result<EndpointList, ListError> {
        let WatchTimings { watch_timeout, poll_interval } = self.timings;
        let query = format!("?since={index}&timeout_ms={}", watch_timeout.as_millis());
        let request =
            ListRequest { address: self.address, query: &query, timeout: watch_timeout + poll_interval };
        request_list(wire, request, self.gateway.names()).await
    }
}
