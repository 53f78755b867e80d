//! Stand-in model servers: a box model without I/O and a socket shell round it.
