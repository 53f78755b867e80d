//! What a call's header or metadata fields say, and whose call it is.

use crate::error::{RequestError, RequestErrorKind};
use petrelshore::interface::{Nanos, TenantId};
use petrelshore_settings::Settings;

const BEARER: &str = "Bearer ";

/// The header or metadata fields of a call, by the same names in every API.
#[derive(Clone, Copy, Default)]
pub struct CallMetadata<'a> {
    /// The credentials: `Bearer KEY`.
    pub authorization: Option<&'a str>,
    /// Names the call, so that a repeat of it does not run again.
    pub idempotency_key: Option<&'a str>,
    /// Names a session whose turns share a history.
    pub session: Option<&'a str>,
    /// Names the traffic type, where one model serves several.
    pub traffic_type: Option<&'a str>,
    /// How long the client waits for a first token; it may only shorten what the traffic type allows.
    pub first_token_budget: Option<Nanos>,
    /// How long the client waits for the complete answer.
    pub completion_budget: Option<Nanos>,
}

impl<'a> CallMetadata<'a> {
    /// Reads the fields by a lookup of header or metadata fields. Budgets are left to each API.
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
        self.authorization.and_then(|value| value.strip_prefix(BEARER)).map(str::trim)
    }
}

/// Finds the tenant whose API key a call carries; none where the settings admit anonymous callers.
pub fn authenticate(settings: &Settings, metadata: &CallMetadata) -> Result<Option<TenantId>, RequestError> {
    let api_key = metadata.api_key();
    match api_key.and_then(|api_key| settings.tenant(api_key)) {
        Some(tenant) => Ok(Some(tenant)),
        None if settings.allow_anonymous => Ok(None),
        None => Err(RequestError::new(
            RequestErrorKind::Unauthenticated,
            match api_key {
                Some(_) => "this API key is not known here",
                None => "an API key is needed: Authorization: Bearer KEY",
            },
        )),
    }
}
