//! A request as passed from an ingress to the gateway.

use petrelshore_gateway_core::buffered::Request;
use std::rc::Rc;

/// A request as decoded by an ingress, with the fields that are forwarded to the model servers unchanged.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The fields that the request table uses.
    pub request: Request,
    /// The texts that end the generation.
    pub stop: Rc<[String]>,
    /// The sampling parameters by their names in the API.
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
}
