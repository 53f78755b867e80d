//! The OpenAI-style chat API over the gateway.
