//! The settings of a gateway as typed records.
