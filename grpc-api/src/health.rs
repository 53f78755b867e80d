//! The standard gRPC health service, which reports whether this gateway can serve calls.

use crate::SERVICE;
use async_io::Timer;
use futures_lite::future;
use petrelshore_chat_gateway::Gateway;
use std::time::Duration;
use tonic::Status;
use tonic_health::pb::HealthCheckResponse;
use tonic_health::pb::health_check_response::ServingStatus;

/// Interval at which the status is polled, since changes of the list of servers send no notification.
const STATUS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The status of the gateway itself, under the empty name, or of the chat service; `None` for any other service.
fn serving_status(gateway: &Gateway, service: &str) -> Option<ServingStatus> {
    match service {
        "" | SERVICE if gateway.is_draining() || gateway.servers() == 0 => Some(ServingStatus::NotServing),
        "" | SERVICE => Some(ServingStatus::Serving),
        _ => None,
    }
}

/// The current status of a service, or an error if the service is unknown.
pub fn check(gateway: &Gateway, service: &str) -> Result<HealthCheckResponse, Status> {
    let status = serving_status(gateway, service).ok_or_else(|| Status::not_found("unknown service"))?;
    Ok(HealthCheckResponse { status: status.into() })
}

/// Returns the status of a service once it differs from `last_status`.
pub async fn next_change(
    gateway: &Gateway,
    service: &str,
    last_status: Option<ServingStatus>,
) -> ServingStatus {
    loop {
        let status = serving_status(gateway, service).unwrap_or(ServingStatus::ServiceUnknown);
        if Some(status) != last_status {
            return status;
        }
        let poll_timer = async {
            Timer::after(STATUS_POLL_INTERVAL).await;
        };
        // While the gateway is draining, `wait_until_draining` returns at once and would make this a busy loop.
        match gateway.is_draining() {
            true => poll_timer.await,
            false => future::or(gateway.wait_until_draining(), poll_timer).await,
        }
    }
}
