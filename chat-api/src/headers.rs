//! Reads the header fields of requests.

use hyper::header::HeaderMap;
use petrelshore::interface::Nanos;
use petrelshore_ingress::error::RequestError;
use petrelshore_ingress::metadata::CallMetadata;

const FIRST_TOKEN_BUDGET_HEADER: &str = "x-abandon-ms";
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads the header fields that all APIs share.
pub fn metadata(headers: &HeaderMap) -> CallMetadata<'_> {
    CallMetadata::from_fields(|name| text(headers, name))
}

/// Reads the header fields of a chat request: the shared fields, and the time that the client waits for the first
/// token.
pub fn chat_metadata(headers: &HeaderMap) -> Result<CallMetadata<'_>, RequestError> {
    let metadata = metadata(headers);
    let Some(value) = text(headers, FIRST_TOKEN_BUDGET_HEADER) else { return Ok(metadata) };
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => {
            let budget = millis.saturating_mul(NANOS_PER_MILLISECOND);
            Ok(CallMetadata { first_token_budget: Some(budget), ..metadata })
        }
        _ => Err(RequestError::invalid_field(
            FIRST_TOKEN_BUDGET_HEADER,
            "must be a whole number of milliseconds above 0",
        )),
    }
}
