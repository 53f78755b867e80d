//! Renames everything in one deployment and reverses its lists: the scheduler's decisions must not change.

use petrelshore::interface::{Endpoint, Nanos, SnapshotKind, Step};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, RequestManager};
use petrelshore_platform_protocol::config::{self, Config};
use petrelshore_platform_protocol::{endpoint_list, request_head};
use serde_json::{Value, json};

const MILLISECOND: Nanos = 1_000_000;

/// One way to write the same deployment: it renames each name and reorders each list.
struct Variant {
    rename: fn(&str) -> String,
    reorder: fn(Vec<Value>) -> Vec<Value>,
}

impl Variant {
    fn reordered(&self, entries: &[Value]) -> Value {
        Value::from((self.reorder)(entries.to_vec()))
    }

    /// The names as this variant writes and orders them.
    fn name_list(&self, names: &[&str]) -> Value {
        self.reordered(&names.iter().map(|name| json!((self.rename)(name))).collect::<Vec<_>>())
    }

    fn entry(&self, n: u64, status: &str) -> Value {
        let kind = ["reader", "writer-a", "writer-b", "both"][n as usize % 4];
        let zone = ["east", "west"][n as usize / 8];
        json!({"name": format!("s{n}"), "address": format!("127.0.0.1:{}", 9000 + n), "zone": (self.rename)(zone),
               "type": (self.rename)(kind), "group": n / 4, "status": status, "weight": 1.0, "since_ms": 0})
    }

    /// Builds the configuration of this variant. The order of the servers is the same in each variant, because random
    /// choices between equal servers depend on this order.
    fn config(&self) -> Config {
        let lane = |name: &str, worth: f64, aim: u64, limit: u64, semantics: &str| {
            json!({"name": (self.rename)(name), "worth": worth, "aim": aim * MILLISECOND, "hardLimit": limit * MILLISECOND,
                   "semantics": semantics, "dedupScope": "zone", "window": 2_000 * MILLISECOND, "streamed": true})
        };
        let lanes = [
            lane("chat", 2.0, 1_200, 6_000, "free"),
            lane("filing", 3.0, 2_500, 10_000, "single_shot"),
            lane("note", 1.0, 1_000, 3_000, "guarded"),
        ];
        let org = |name: &str, quota: f64| json!({"name": (self.rename)(name), "quotaRps": quota});
        let entries: Vec<Value> = (0..16).map(|n| self.entry(n, "active")).collect();
        let text = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"index": 1, "snapshot": true, "endpoints": entries},
            "settings": {
                "allowed": {"connIdle": 15_000 * MILLISECOND, "maxAttempts": 4, "maxRetryAfter": 700 * MILLISECOND, "retryAfter": true},
                "balancers": 3, "dcs": self.name_list(&["east", "west"]), "zone": (self.rename)("west"),
                "kinds": self.name_list(&["reader", "writer-a", "writer-b", "both"]), "membershipMode": "pushed",
                "orgs": self.reordered(&[org("isles", 4.0), org("firth", 1.0)]), "lanes": self.reordered(&lanes),
                "overShareWorth": 0.1, "report": {"fields": ["inflight", "x0"], "how": "inline"},
                "rules": {"askEvery": 10_000 * MILLISECOND, "cold": 5_000 * MILLISECOND, "coldFrom": 0.3, "drainGrace": 250 * MILLISECOND,
                          "overloadFactor": 2.5, "overloadFor": 1_500 * MILLISECOND},
                "specifics": {
                    "aimUsPer1000PromptTokens": self.reordered(&[json!(40_000.0), json!(60_000.0), json!(20_000.0)]),
                    "kindRole": self.reordered(&["read", "write", "write", "both"].map(Value::from)),
                    "memoryTokens": self.reordered(&[json!(200_000), json!(150_000), json!(90_000), json!(120_000)]),
                    "readInPlace": false, "releaseWithin": 500 * MILLISECOND, "resume": false,
                    "reportX0": "share of memory that is held",
                    "tokenAim": self.reordered(&[json!(60 * MILLISECOND), json!(80 * MILLISECOND), json!(50 * MILLISECOND)])},
                "tick": 4 * MILLISECOND, "weights": "off"}
        });
        config::decode(&text.to_string()).unwrap()
    }

    /// Runs 400 sequences on servers that answer, reject, reset and drain. Returns the decisions: the server, step and
    /// timeout of each attempt, and all other actions, such as final answers.
    fn decisions(&self) -> Vec<String> {
        let config = self.config();
        let start = 1_000_000 * MILLISECOND;
        let known: Vec<Endpoint> =
            config.known.entries.iter().map(|listed| listed.endpoint.clone()).collect();
        let mut manager = RequestManager::new(start, config.deployment.clone(), config.seed);
        manager.update_endpoints(start, SnapshotKind::Cached, &known);
        let mut decisions = Vec::new();
        for n in 0..400u64 {
            let now = start + n * 40 * MILLISECOND;
            if n % 100 == 50 {
                let delta =
                    json!({"index": n, "snapshot": false, "endpoints": [self.entry(n / 100 * 4, "leaving")]});
                let list = endpoint_list::decode(&delta, &config.names).unwrap();
                let entries: Vec<Endpoint> = list.entries.into_iter().map(|listed| listed.endpoint).collect();
                manager.update_endpoints(now, list.scope, &entries);
            }
            let (id, session) = (format!("{:016x}", n + 1), format!("{:016x}", 77 + n % 30));
            let kind = (self.rename)(["chat", "filing", "note"][n as usize % 3]);
            let owner = (self.rename)(["isles", "firth"][n as usize % 2]);
            let extra = format!(
                "prefix={:016x},prompt_len={},prefix_len=800,max_out=200",
                n % 5,
                1_000 + n * 37 % 9_000
            );
            let header = |name: &str| match name {
                "Req-Id" => Some(id.as_str()),
                "Req-Kind" => Some(kind.as_str()),
                "Req-Owner" => Some(owner.as_str()),
                "Req-Key" => Some(session.as_str()),
                "Req-Deadline-Ms" => Some("3000"),
                "Req-Extra" => Some(extra.as_str()),
                _ => None,
            };
            let mut actions = Vec::new();
            manager.accept(now, request_head::decode(header, &config.names, now).unwrap(), &mut actions);
            let mut handled = 0;
            while let Some(action) = actions.get(handled).copied() {
                handled += 1;
                let Action::Send(sent) = action else {
                    decisions.push(format!("{n} {action:?}"));
                    continue;
                };
                decisions.push(format!("{n} {} {:?} {}", sent.server.0, sent.step, sent.timeout));
                let after = now + handled as u64 * 5 * MILLISECOND;
                let ending = match (sent.step, (n + handled as u64) % 7) {
                    (_, 3) => AttemptEnd::AtCapacity,
                    (_, 5) => AttemptEnd::Reset,
                    (Step::Prefill, _) => AttemptEnd::PrefillDone { cached_tokens: 400.0 },
                    _ => {
                        manager.first_token(after, sent.id, sent.attempt);
                        AttemptEnd::Completed
                    }
                };
                manager.attempt_ended(after, sent.id, sent.attempt, ending, &mut actions);
            }
        }
        decisions
    }
}

#[test]
fn names_and_order_of_lists_do_not_change_decisions() {
    let original = Variant { rename: str::to_owned, reorder: |list| list };
    let decisions = original.decisions();
    let count = |text: &str| decisions.iter().filter(|line| line.contains(text)).count();
    assert!(count(" Prefill ") > 150 && count(" Combined ") > 10 && count("Abort") > 10, "{decisions:?}");
    let renamed_and_reversed = Variant {
        rename: |name| format!("Übrig {}", name.to_uppercase()),
        reorder: |list| list.into_iter().rev().collect(),
    };
    assert_eq!(renamed_and_reversed.decisions(), decisions);
}

#[test]
fn missing_lane_limit_is_named() {
    let original = Variant { rename: str::to_owned, reorder: |list| list };
    let config = original.config();
    assert_eq!((config.longest_abandon, config.drain_grace), (10_000 * MILLISECOND, 250 * MILLISECOND));
    let text = petrelshore_emulator::platform::config(config.listen, config.discovery, "");
    for (field, path) in [
        ("\"hardLimit\":4000000000,", "lanes[0]: setting hardLimit"),
        ("\"drainGrace\":2000000000,", "rules.drainGrace"),
    ] {
        assert!(text.contains(field));
        let message = config::decode(&text.replacen(field, "", 1)).unwrap_err().to_string();
        assert!(message.contains(path) && message.contains("missing"), "{message}");
    }
}
