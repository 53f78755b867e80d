//! Lists the models that the gateway serves.

use crate::error::ApiError;
use crate::headers;
use crate::response::{ApiResponse, json_response};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use petrelshore_chat_gateway::Gateway;
use petrelshore_ingress::error::{RequestError, RequestErrorKind};
use petrelshore_ingress::metadata;
use serde_json::{Value, json};

/// Returns the list of all models.
pub fn list(headers: &HeaderMap, gateway: &Gateway) -> Result<ApiResponse, ApiError> {
    metadata::authenticate(gateway.settings(), &headers::metadata(headers))?;
    let models: Vec<Value> = model_names(gateway).map(model_object).collect();
    Ok(json_response(StatusCode::OK, &json!({ "object": "list", "data": models })))
}

/// Returns the model with a given name.
pub fn get(headers: &HeaderMap, gateway: &Gateway, name: &str) -> Result<ApiResponse, ApiError> {
    metadata::authenticate(gateway.settings(), &headers::metadata(headers))?;
    match model_names(gateway).find(|served| *served == name) {
        Some(name) => Ok(json_response(StatusCode::OK, &model_object(name))),
        None => Err(RequestError::new(RequestErrorKind::UnknownPath, "this model does not exist").into()),
    }
}

fn model_names(gateway: &Gateway) -> impl Iterator<Item = &str> {
    gateway.settings().traffic.iter().flat_map(|traffic| traffic.models.iter().map(String::as_str))
}

fn model_object(name: &str) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": "petrelshore" })
}
