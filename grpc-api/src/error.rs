//! The error that ends a call.

use petrelshore_chat_gateway::FinalAnswer;
use petrelshore_gateway_core::FailureReason;
use petrelshore_gateway_core::error_response::ErrorResponse;
use petrelshore_ingress::error::CallError;
use std::fmt;
use tonic::Status;

/// The reason that a call ends without a complete answer.
#[derive(Debug)]
pub enum RpcError {
    /// The request is invalid, or the gateway rejected or aborted the call.
    Call(CallError),
    /// An error that exists only in gRPC.
    Status(Status),
    /// The client has reset the stream or disconnected, so no status can be sent.
    ClientDisconnected,
}

impl RpcError {
    /// The error of a call that was aborted after it may have run.
    pub fn aborted(reason: FailureReason) -> Self {
        ErrorResponse::aborted(reason).into()
    }

    /// The error of a final answer that is a rejection or an abort.
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
