//! The published health service: whether this gateway accepts calls.

use crate::SERVICE;
use async_io::Timer;
use futures_lite::future;
use petrelshore_chat_gateway::Gateway;
use std::time::Duration;
use tonic::Status;
use tonic_health::pb::HealthCheckResponse;
use tonic_health::pb::health_check_response::ServingStatus;

/// Changes without a notification, as of the list of servers, are polled for this often.
const STATUS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The status of a service: of the gateway itself, by the empty name, or of the chat service.
fn serving_status(gateway: &Gateway, service: &str) -> Option<ServingStatus> {
    match service {
        "" | SERVICE if gateway.is_draining() || gateway.servers() == 0 => Some(ServingStatus::NotServing),
        "" | SERVICE => Some(ServingStatus::Serving),
        _ => None,
    }
}

/// The status of a service now.
pub fn check(gateway: &Gateway, service: &str) -> Result<HealthCheckResponse, Status> {
    let status =
        serving_status(gateway, service).ok_or_else(|| Status::not_found("there is no such service here"))?;
    Ok(HealthCheckResponse { status: status.into() })
}

/// Returns once the status of a service differs from `last`.
pub async fn next_change(gateway: &Gateway, service: &str, last: Option<ServingStatus>) -> ServingStatus {
    loop {
        let status = serving_status(gateway, service).unwrap_or(ServingStatus::ServiceUnknown);
        if Some(status) != last {
            return status;
        }
        let poll_timer = async {
            Timer::after(STATUS_POLL_INTERVAL).await;
        };
        // Once the gateway is draining, waiting for that returns at once.
        match gateway.is_draining() {
            true => poll_timer.await,
            false => future::or(gateway.wait_until_draining(), poll_timer).await,
        }
    }
}
