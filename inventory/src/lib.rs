//! Reads the inventory, judges each new one and keeps the last good list.
