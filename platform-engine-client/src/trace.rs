//! The progress of an exchange. An exchange may be cancelled before it can report its end, so its progress can be read
//! while it is running.

use std::cell::Cell;

/// The kind of connection that carries a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionSource {
    /// No connection has been established yet.
    NotConnected,
    /// An idle connection from the pool.
    Pooled,
    /// A connection that was established for the request.
    New,
}

/// The delivery of a request to a running server, as far as the client can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The last byte of the request has not been written.
    NotWritten,
    /// The request has been written, but nothing proves that a running server has it.
    Unproven,
    /// It is proved that a running server has the request.
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
    /// Returns the kind of connection that carries the request.
    pub fn connection(&self) -> ConnectionSource {
        self.connection.get()
    }

    /// Returns the delivery state of the request.
    pub fn delivery(&self) -> Delivery {
        self.delivery.get()
    }

    pub(crate) fn record_connection(&self, connection: ConnectionSource) {
        self.connection.set(connection);
    }

    pub(crate) fn record_written(&self) {
        self.delivery.set(Delivery::Unproven);
    }

    pub(crate) fn record_delivered(&self) {
        self.delivery.set(Delivery::Proven);
    }
}
