//! Why a call fails.

use petrelshore_chat_gateway::FinalAnswer;
use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::error_response::{ErrorCause, ErrorResponse, Retry};
use petrelshore_ingress::error::CallError;
use std::fmt;
use tonic::Status;

/// Why a call ends without an answer.
#[derive(Debug)]
pub enum RpcError {
    /// It is invalid, or the gateway did not answer it.
    Call(CallError),
    /// An error that only this protocol has.
    Status(Status),
    /// The client has reset the stream or disconnected: no status can be sent.
    ClientDisconnected,
}

impl RpcError {
    /// The gateway gave up a call that may have run.
    pub fn aborted(reason: FailureReason) -> Self {
        ErrorResponse { cause: ErrorCause::Aborted(reason), retry: Retry::Never }.into()
    }

    /// The error of a final answer that came in place of a complete one.
    pub fn from_final_answer(answer: &FinalAnswer) -> Self {
        ErrorResponse::from_final_answer(answer)
            .map_or_else(|| RpcError::aborted(FailureReason::StreamBroken), RpcError::from)
    }
}

impl fmt::Display for RpcError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RpcError::Call(error) => error.fmt(formatter),
            RpcError::Status(status) => status.fmt(formatter),
            RpcError::ClientDisconnected => formatter.write_str("the client has disconnected"),
        }
    }
}

impl std::error::Error for RpcError {}

impl<E: Into<CallError>> From<E> for RpcError {
    fn from(error: E) -> RpcError {
        RpcError::Call(error.into())
    }
}
