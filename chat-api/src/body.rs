//! Receives request bodies within the limits on size, time and memory.

use async_io::Timer;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use petrelshore_ingress::error::{CallError, RequestError, RequestErrorKind};
use petrelshore_ingress::listener::{BodyReservation, ClientGuard};
use std::time::Duration;

/// A body that has been received in full, with the memory reserved for it.
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// The memory reservation, which ends when the body is dropped.
    _reservation: BodyReservation,
}

/// Receives a body within its size limit, its timeout and the memory that is available for bodies.
pub async fn receive(
    incoming: Incoming,
    client: &ClientGuard,
    timeout: Duration,
) -> Result<ReceivedBody, CallError> {
    let mut reservation = client.reserve_body();
    let expired = async {
        Timer::after(timeout).await;
        let message = "the request body was not received in full within the time limit";
        Err(CallError::from(RequestError::new(RequestErrorKind::ReceiveTimeout, message)))
    };
    let bytes = future::or(read(incoming, &mut reservation), expired).await?;
    Ok(ReceivedBody { bytes, _reservation: reservation })
}

async fn read(mut incoming: Incoming, reservation: &mut BodyReservation) -> Result<Vec<u8>, CallError> {
    let announced = usize::try_from(incoming.size_hint().lower()).unwrap_or(usize::MAX);
    reservation.grow_to(announced)?;
    let mut body = Vec::with_capacity(announced);
    while let Some(frame) = incoming.frame().await {
        let frame = frame
            .map_err(|_| RequestError::new(RequestErrorKind::Malformed, "the request body is incomplete"))?;
        let bytes = frame.into_data().unwrap_or_default();
        reservation.grow_to(body.len() + bytes.len())?;
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}
