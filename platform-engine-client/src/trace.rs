//! What an exchange shows of itself while it is in progress: it may be cancelled before it can report an end.

use std::cell::Cell;

/// Which connection carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionSource {
    /// None was established yet.
    NotConnected,
    /// An idle one that had served another request.
    Pooled,
    /// One that was established for it.
    New,
}

/// What is known of whether a request reached a running server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Its last byte was not written.
    NotWritten,
    /// It is written; nothing proves that a running server has it.
    Unproven,
    /// A running server has it.
    Proven,
}

/// The progress of one exchange.
#[derive(Debug)]
pub struct ExchangeTrace {
    connection: Cell<ConnectionSource>,
    delivery: Cell<Delivery>,
}

impl Default for ExchangeTrace {
    fn default() -> Self {
        ExchangeTrace {
            connection: Cell::new(ConnectionSource::NotConnected),
            delivery: Cell::new(Delivery::NotWritten),
        }
    }
}

impl ExchangeTrace {
    /// Which connection carries the request.
    pub fn connection(&self) -> ConnectionSource {
        self.connection.get()
    }

    /// What is known of its delivery.
    pub fn delivery(&self) -> Delivery {
        self.delivery.get()
    }

    pub(crate) fn connected(&self, connection: ConnectionSource) {
        self.connection.set(connection);
    }

    pub(crate) fn written(&self) {
        self.delivery.set(Delivery::Unproven);
    }

    pub(crate) fn delivered(&self) {
        self.delivery.set(Delivery::Proven);
    }
}
