//! Watches the endpoint list of the platform's discovery service through the discovery agent on the gateway's machine.

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

// A change counts as known to the gateway 6 s after the discovery service has the change and can be reached, however
// earlier requests ended. The gateway needs at most 3.5 s: the rest of a watch in progress (`MAX_WATCH_TIMEOUT` plus
// the poll interval, 2.5 s), then `REQUEST_TIMEOUT` to connect and `REQUEST_TIMEOUT` to fetch the full list.
//
// When an agent answers again after a silence, its list counts as known to the gateway at once, and the agent does not
// answer requests from before its return. So the gateway starts a request for the full list every poll interval,
// whatever became of earlier requests, and has the list a fraction of the drain grace after the return. Earlier
// requests stay in progress until their timeouts, because an agent that is only slow will still answer them. The
// gateway can follow an agent that takes up to `LONG_REQUEST_TIMEOUT` to answer: its list arrives at most 3.5 s after
// the end of the previous watch.

/// The maximum time that a watch request asks the agent to wait for changes. The time is short because a lost change or
/// a silent agent is noticed only when the request ends. The time is also limited to `WATCH_TIMEOUT_DRAIN_GRACES` times
/// the drain grace, but is at least `REQUEST_TIMEOUT`.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
const WATCH_TIMEOUT_DRAIN_GRACES: u32 = 2;
/// Timeout of a request that does not ask the agent to wait. The agent answers such a request at once.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between the starts of two requests with `LONG_REQUEST_TIMEOUT`. The discovery service may be slow, so
/// one request per interval may take longer than the others.
const LONG_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
const LONG_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of requests for the full list that start per drain grace. The time between two starts is clamped to
/// `MIN_POLL_INTERVAL..=MAX_POLL_INTERVAL`.
const POLLS_PER_DRAIN_GRACE: u32 = 2;
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeouts and intervals that depend on the drain grace in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchTimings {
    /// The maximum time that a watch request asks the agent to wait for changes.
    watch_timeout: Duration,
    /// The time between the starts of two requests for the full list. Also the time that a watch request may take
    /// beyond `watch_timeout`.
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

/// A connection to the agent, with the last list that arrived on this connection.
struct ListConnection {
    http: HttpConnection,
    list: EndpointList,
}

/// The watch task. It follows the endpoint list and never ends. When the address of the discovery agent changes, the
/// task immediately requests the full list from the new address.
pub async fn watch(gateway: PlatformGateway) {
    let timings = WatchTimings::new(gateway.drain_grace());
    loop {
        let address_changed = gateway.discovery_address_changed();
        let address = gateway.discovery_address();
        let watcher = Watcher { gateway: &gateway, address, timings };
        future::or(address_changed, watcher.run()).await;
    }
}

/// Watches the endpoint list of the agent at one address.
#[derive(Clone, Copy)]
struct Watcher<'a> {
    gateway: &'a PlatformGateway,
    address: SocketAddr,
    timings: WatchTimings,
}

impl<'a> Watcher<'a> {
    async fn run(self) {
        loop {
            // Limits the rate of connections to an agent that closes each connection after its answer.
            let poll_interval = Timer::after(self.timings.poll_interval);
            let connection = self.fetch_full_list().await;
            let reason = self.follow_changes(connection).await;
            if self.gateway.may_log(EventKind::EndpointListChanged) {
                info!(address = %self.address, %reason, "endpoint list watch ended");
            }
            poll_interval.await;
        }
    }

    /// Requests the full list repeatedly until one of the requests succeeds.
    async fn fetch_full_list(self) -> ListConnection {
        let mut requests: Vec<Call<'a, ListConnection>> = Vec::new();
        let mut last_long_start = None;
        loop {
            let is_long =
                last_long_start.is_none_or(|start: Instant| start.elapsed() >= LONG_REQUEST_INTERVAL);
            if is_long {
                last_long_start = Some(Instant::now());
            }
            let timeout = if is_long { LONG_REQUEST_TIMEOUT } else { REQUEST_TIMEOUT };
            requests.push(Box::pin(self.request_full_list(timeout)));
            let answer = async {
                match first_success(&mut requests).await {
                    Some(connection) => Some(connection),
                    // All requests have failed. The next request starts after the poll interval.
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

    async fn request_full_list(self, timeout: Duration) -> Option<ListConnection> {
        let result = async {
            let mut http =
                HttpConnection::connect(self.address, REQUEST_TIMEOUT).await.map_err(ListError::Connect)?;
            let request = ListRequest { address: self.address, query: "", timeout };
            let list = request_list(&mut http, request, self.gateway.names()).await?;
            Ok::<_, ListError>(ListConnection { http, list })
        };
        match result.await {
            Ok(connection) => Some(connection),
            Err(error) => {
                debug!(address = %self.address, %error, "endpoint list request failed");
                None
            }
        }
    }

    /// Applies a list and then its changes as they arrive. Returns the error that ends the watch.
    async fn follow_changes(self, connection: ListConnection) -> ListError {
        let ListConnection { mut http, mut list } = connection;
        loop {
            for error in &list.left_out {
                warn!(%error, "endpoint list entry rejected");
            }
            let index = list.index;
            self.gateway.update_endpoints(list);
            // If an unrequested answer follows, the next request would read it as its own answer, and every later
            // request would read the answer to the request before it.
            if !http.is_reusable() {
                return ListError::UnexpectedData;
            }
            list = match self.next_change(&mut http, index).await {
                // An agent whose index went back would never send anything newer than the known index.
                Ok(next) if next.index < index => {
                    return ListError::IndexWentBack { known: index, received: next.index };
                }
                Ok(next) => next,
                Err(error) => return error,
            };
        }
    }

    async fn next_change(self, http: &mut HttpConnection, index: u64) -> Result<EndpointList, ListError> {
        let WatchTimings { watch_timeout, poll_interval } = self.timings;
        let query = format!("?since={index}&timeout_ms={}", watch_timeout.as_millis());
        let request =
            ListRequest { address: self.address, query: &query, timeout: watch_timeout + poll_interval };
        request_list(http, request, self.gateway.names()).await
    }
}
