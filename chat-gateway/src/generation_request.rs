//! What an ingress hands to the gateway.

use petrelshore_gateway_core::buffered::Request;
use std::rc::Rc;

/// A request as an ingress has decoded it, with what is forwarded to the model servers unchanged.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// What the request table needs of it.
    pub request: Request,
    /// Stop sequences.
    pub stop: Rc<[String]>,
    /// Sampling parameters, by their names in the API.
    pub sampling: Rc<serde_json::Map<String, serde_json::Value>>,
}
