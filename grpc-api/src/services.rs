//! Handlers of calls that do not run on a model server: the list of models, health and reflection.

use crate::error::RpcError;
use crate::message::{self, RequestStream};
use crate::responder::Responder;
use crate::{health, request, v1};
use http::HeaderMap;
use petrelshore_ingress::metadata;
use tonic_health::pb::{HealthCheckRequest, HealthCheckResponse};
use tonic_reflection::pb::v1::ServerReflectionRequest;

/// Lists the served models.
pub async fn list_models(
    responder: &mut Responder,
    headers: &HeaderMap,
    mut requests: RequestStream,
) -> Result<(), RpcError> {
    let gateway = responder.gateway().clone();
    metadata::authenticate(gateway.settings(), &request::call_metadata(headers)?)?;
    let v1::ListModelsRequest {} = responder.receive_only(&mut requests).await?;
    let models = gateway.settings().traffic.iter().flat_map(|traffic| traffic.models.iter().cloned());
    responder.send_only(&v1::ListModelsResponse { models: models.collect() }).await
}

/// Responds with the health of a service.
pub async fn check_health(responder: &mut Responder, mut requests: RequestStream) -> Result<(), RpcError> {
    let request: HealthCheckRequest = responder.receive_only(&mut requests).await?;
    let response = health::check(responder.gateway(), &request.service).map_err(RpcError::Status)?;
    responder.send_only(&response).await
}

/// Sends the health of a service at once and after each change, until the gateway drains.
pub async fn watch_health(responder: &mut Responder, mut requests: RequestStream) -> Result<(), RpcError> {
    let request: HealthCheckRequest = responder.receive_only(&mut requests).await?;
    let gateway = responder.gateway().clone();
    responder.send_head(None)?;
    let mut last_status = None;
    loop {
        let changed = health::next_change(&gateway, &request.service, last_status);
        let status = responder.unless_disconnected(changed).await?;
        let message = HealthCheckResponse { status: status.into() };
        responder.send(message::encode(&message), None).await?;
        if gateway.is_draining() {
            // A longer watch would only keep the connection open: a draining gateway never serves again.
            return Ok(());
        }
        last_status = Some(status);
    }
}

/// Describes the served services, with one response to each request on the stream.
pub async fn reflect(responder: &mut Responder, mut requests: RequestStream) -> Result<(), RpcError> {
    let descriptors = responder.connection().descriptors.clone();
    responder.send_head(None)?;
    loop {
        let request = requests.next_message::<ServerReflectionRequest>();
        let Some(request) = responder.unless_disconnected(request).await?? else { return Ok(()) };
        responder.send(message::encode(&descriptors.respond(request)), None).await?;
    }
}
