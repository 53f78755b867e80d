//! The published health service: whether this gateway takes calls.

use crate::SERVICE;
use async_io::Timer;
use futures_lite::future;
use petrelshore_chat_gateway::Gateway;
use std::time::Duration;
use tonic::Status;
use tonic_health::pb::HealthCheckResponse;
use tonic_health::pb::health_check_response::ServingStatus;

/// Changes that nobody tells of, as of the list of servers, are looked for this often.
const LOOK: Duration = Duration::from_secs(1);

/// The state of a service: of the gateway as a whole, with the empty name, or of the chat service.
pub fn state(gateway: &Gateway, service: &str) -> Option<ServingStatus> {
    match service {
        "" | SERVICE if gateway.is_draining() || gateway.servers() == 0 => Some(ServingStatus::NotServing),
        "" | SERVICE => Some(ServingStatus::Serving),
        _ => None,
    }
}

pub fn check(gateway: &Gateway, service: &str) -> Result<HealthCheckResponse, Status> {
    let state = state(gateway, service).ok_or_else(|| Status::not_found("there is no such service here"))?;
    Ok(HealthCheckResponse { status: state.into() })
}

/// Returns once the state is another than `last`.
pub async fn changed(gateway: &Gateway, service: &str, last: Option<ServingStatus>) -> ServingStatus {
    loop {
        let now = state(gateway, service).unwrap_or(ServingStatus::ServiceUnknown);
        if Some(now) != last {
            return now;
        }
        let look = async {
            Timer::after(LOOK).await;
        };
        // A gateway that drains already tells nothing new.
        if gateway.is_draining() { look.await } else { future::or(gateway.wait_until_draining(), look).await }
    }
}
