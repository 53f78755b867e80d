//! Scripted rehearsals on loopback: clients, faults and the auditor of the five rules.
