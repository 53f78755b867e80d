//! Reads the header or metadata fields of a call, and authenticates its tenant.

use crate::error::{RequestError, RequestErrorKind};
use petrelshore::interface::{Nanos, TenantId};
use petrelshore_settings::Settings;

const BEARER_PREFIX: &str = "Bearer ";

/// The header or metadata fields of a call, which have the same names in every API.
#[derive(Clone, Copy, Default)]
pub struct CallMetadata<'a> {
    /// The credentials, in the form `Bearer KEY`.
    pub authorization: Option<&'a str>,
    /// The idempotency key of the call, so that a retry by the client does not run again.
    pub idempotency_key: Option<&'a str>,
    /// The name of a session, whose turns share a history.
    pub session: Option<&'a str>,
    /// The name of the traffic type, for a model that serves several.
    pub traffic_type: Option<&'a str>,
    /// The time that the client waits for the first token. It can only shorten the time that the traffic type allows.
    pub first_token_budget: Option<Nanos>,
    /// The time that the client waits for the complete answer.
    pub completion_budget: Option<Nanos>,
}

impl<'a> CallMetadata<'a> {
    /// Reads the fields through `field`, which looks up a header or metadata field by its name. Each API reads the
    /// budgets itself.
    pub fn from_fields(field: impl Fn(&str) -> Option<&'a str>) -> Self {
        CallMetadata {
            authorization: field("authorization"),
            idempotency_key: field("idempotency-key"),
            session: field("x-session-id"),
            traffic_type: field("x-traffic-type"),
            first_token_budget: None,
            completion_budget: None,
        }
    }

    fn api_key(&self) -> Option<&'a str> {
        self.authorization.and_then(|value| value.strip_prefix(BEARER_PREFIX)).map(str::trim)
    }
}

/// Returns the tenant whose API key a call carries. If no tenant has this key, or if the call carries no key,
/// returns `None` where the settings allow anonymous calls, and an error otherwise.
pub fn authenticate(settings: &Settings, metadata: &CallMetadata) -> Result<Option<TenantId>, RequestError> {
    let api_key = metadata.api_key();
    match api_key.and_then(|api_key| settings.tenant(api_key)) {
        Some(tenant) => Ok(Some(tenant)),
        None if settings.allow_anonymous => Ok(None),
        None => Err(RequestError::new(
            RequestErrorKind::Unauthenticated,
            match api_key {
                Some(_) => "the API key is unknown",
                None => "an API key is required: Authorization: Bearer KEY",
            },
        )),
    }
}
