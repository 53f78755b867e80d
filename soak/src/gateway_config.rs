//! The configuration files and endpoint lists of the gateways.

use crate::record::{EndpointStatus, Role};
use crate::testbed::{Server, Testbed, ZONES};

/// The factor between a run's seed and its gateways' seeds: gateways of runs with consecutive seeds get different
/// seeds.
const SEED_FACTOR: u64 = 1_000_003;

impl Testbed {
    /// Returns the endpoint list for a gateway as the entries of a JSON array, without the brackets.
    pub fn endpoints(&self, gateway: usize) -> String {
        let servers = self.servers.iter().enumerate();
        let entries = servers.filter_map(|(number, server)| self.endpoint(gateway, number, server));
        entries.collect::<Vec<_>>().join(",")
    }

    fn endpoint(&self, gateway: usize, number: usize, server: &Server) -> Option<String> {
        let status = match server.status.get() {
            EndpointStatus::Active => "active",
            EndpointStatus::Draining => "leaving",
            EndpointStatus::Removed => return None,
        };
        let kind = match server.role {
            Role::Prefill => "reader",
            Role::Decode => "writer",
        };
        let zone = ZONES[server.zone];
        Some(format!(
            r#"{{"name":"s-{number}","address":"{}","zone":"{zone}","type":"{kind}","group":{},"status":"{status}","weight":1.0,"since_ms":{}}}"#,
            self.server_address(gateway, number),
            server.zone,
            server.started_ms.get()
        ))
    }

    /// Returns the configuration of a gateway's process, with the current endpoint list and agent address.
    pub fn gateway_config(&self, gateway: usize, run: usize) -> String {
        let parameters = &self.parameters;
        let (zone, other) = (ZONES[gateway % ZONES.len()], ZONES[(gateway + 1) % ZONES.len()]);
        format!(
            r#"{{"name":"n{gateway}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
            "known":{{"index":{},"snapshot":true,"endpoints":[{}]}},
            "settings":{{"allowed":{{"connIdle":4000000000,"maxAttempts":4,"maxRetryAfter":1000000000,"probes":{},"retryAfter":true}},
            "balancers":{},"dcs":["{zone}","{other}"],"kinds":["reader","writer"],"membershipMode":"pushed","orgs":[],"lanes":[{}],
            "overShareWorth":0.1,"report":{{"fields":["inflight","x0"],"how":"inline"}},
            "rules":{{"askEvery":10000000000,"cold":{},"coldFrom":{},"drainGrace":{},"overloadFactor":{},"overloadFor":{}}},
            "specifics":{{"aimUsPer1000PromptTokens":[40000.0,40000.0,40000.0],"kindRole":["read","write"],"memoryTokens":[200000,150000],
            "readInPlace":false,"releaseWithin":{},"reportX0":"share of memory that is held","resume":{},
            "tokenAim":[60000000,60000000,60000000]}},"tick":4000000,"weights":"off","zone":"{zone}"}}}}"#,
            self.gateway_address(gateway),
            self.agent_address(gateway, self.agents[gateway].address.get()),
            self.seed.wrapping_mul(SEED_FACTOR).wrapping_add((gateway * 1000 + run) as u64),
            self.list_version.get(),
            self.endpoints(gateway),
            parameters.health_checks,
            parameters.gateways,
            self.traffic_types(),
            parameters.warm_up.as_nanos(),
            parameters.initial_capacity,
            parameters.drain_grace.as_nanos(),
            parameters.overload_factor,
            parameters.overload_window.as_nanos(),
            parameters.release_timeout.as_nanos(),
            parameters.resume_streams,
        )
    }

    /// Returns the traffic types as the entries of a JSON array: one traffic type for each idempotency class.
    fn traffic_types(&self) -> String {
        let traffic_type = |name: &str, semantics: &str| {
            format!(
                r#"{{"aim":600000000,"hardLimit":{},"name":"{name}","semantics":"{semantics}","dedupScope":"zone","window":{},"streamed":true,"worth":2.0}}"#,
                self.parameters.max_deadline.as_nanos(),
                self.parameters.idempotency_window.as_nanos()
            )
        };
        [
            traffic_type("chat", "free"),
            traffic_type("unlock", "single_shot"),
            traffic_type("order", "guarded"),
        ]
        .join(",")
    }
}
