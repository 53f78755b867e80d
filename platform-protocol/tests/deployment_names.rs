//! The same deployment under other names and with its lists in another order: decisions stay the same.

use petrelshore::interface::{Endpoint, Nanos, SnapshotKind, Step};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, RequestManager};
use petrelshore_platform_protocol::config::{self, Config};
use petrelshore_platform_protocol::{endpoint_list, request_head};
use serde_json::{Value, json};

const MILLISECOND: Nanos = 1_000_000;

/// How one customer writes the same deployment: what it calls each of the words, and the order of its lists.
struct Customer {
    word: fn(&str) -> String,
    order: fn(Vec<Value>) -> Vec<Value>,
}

impl Customer {
    fn list(&self, entries: &[Value]) -> Value {
        Value::from((self.order)(entries.to_vec()))
    }

    fn words(&self, words: &[&str]) -> Value {
        self.list(&words.iter().map(|word| json!((self.word)(word))).collect::<Vec<_>>())
    }

    fn entry(&self, n: u64, status: &str) -> Value {
        let kind = ["reader", "writer-a", "writer-b", "both"][n as usize % 4];
        let zone = ["east", "west"][n as usize / 8];
        json!({"name": format!("s{n}"), "address": format!("127.0.0.1:{}", 9000 + n), "zone": (self.word)(zone),
               "type": (self.word)(kind), "group": n / 4, "status": status, "weight": 1.0, "since_ms": 0})
    }

    /// Servers come in one order for all: lots that settle ties are drawn in it.
    fn config(&self) -> Config {
        let lane = |name: &str, worth: f64, aim: u64, limit: u64, semantics: &str| {
            json!({"name": (self.word)(name), "worth": worth, "aim": aim * MILLISECOND, "hardLimit": limit * MILLISECOND,
                   "semantics": semantics, "dedupScope": "zone", "window": 2_000 * MILLISECOND, "streamed": true})
        };
        let lanes = [
            lane("chat", 2.0, 1_200, 6_000, "free"),
            lane("filing", 3.0, 2_500, 10_000, "single_shot"),
            lane("note", 1.0, 1_000, 3_000, "guarded"),
        ];
        let org = |name: &str, quota: f64| json!({"name": (self.word)(name), "quotaRps": quota});
        let entries: Vec<Value> = (0..16).map(|n| self.entry(n, "active")).collect();
        let text = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"index": 1, "snapshot": true, "endpoints": entries},
            "settings": {
                "allowed": {"connIdle": 15_000 * MILLISECOND, "maxAttempts": 4, "maxRetryAfter": 700 * MILLISECOND, "retryAfter": true},
                "balancers": 3, "dcs": self.words(&["east", "west"]), "zone": (self.word)("west"),
                "kinds": self.words(&["reader", "writer-a", "writer-b", "both"]), "membershipMode": "pushed",
                "orgs": self.list(&[org("isles", 4.0), org("firth", 1.0)]), "lanes": self.list(&lanes),
                "overShareWorth": 0.1, "report": {"fields": ["inflight", "x0"], "how": "inline"},
                "rules": {"askEvery": 10_000 * MILLISECOND, "cold": 5_000 * MILLISECOND, "coldFrom": 0.3, "drainGrace": 250 * MILLISECOND,
                          "overloadFactor": 2.5, "overloadFor": 1_500 * MILLISECOND},
                "specifics": {
                    "aimUsPer1000PromptTokens": self.list(&[json!(40_000.0), json!(60_000.0), json!(20_000.0)]),
                    "kindRole": self.list(&["read", "write", "write", "both"].map(Value::from)),
                    "memoryTokens": self.list(&[json!(200_000), json!(150_000), json!(90_000), json!(120_000)]),
                    "readInPlace": false, "releaseWithin": 500 * MILLISECOND, "resume": false,
                    "reportX0": "share of memory that is held",
                    "tokenAim": self.list(&[json!(60 * MILLISECOND), json!(80 * MILLISECOND), json!(50 * MILLISECOND)])},
                "tick": 4 * MILLISECOND, "weights": "off"}
        });
        config::decode(&text.to_string()).unwrap()
    }

    /// What is decided over some hundred sequences whose servers answer, decline, break and drain: server, step and
    /// limit of each attempt, and each final answer.
    fn decided(&self) -> Vec<String> {
        let config = self.config();
        let start = 1_000_000 * MILLISECOND;
        let known: Vec<Endpoint> =
            config.known.entries.iter().map(|listed| listed.endpoint.clone()).collect();
        let mut manager = RequestManager::new(start, config.deployment.clone(), config.seed);
        manager.update_endpoints(start, SnapshotKind::Cached, &known);
        let mut decided = Vec::new();
        for n in 0..400u64 {
            let now = start + n * 40 * MILLISECOND;
            if n % 100 == 50 {
                let drains =
                    json!({"index": n, "snapshot": false, "endpoints": [self.entry(n / 100 * 4, "leaving")]});
                let list = endpoint_list::decode(&drains, &config.names).unwrap();
                let entries: Vec<Endpoint> = list.entries.into_iter().map(|listed| listed.endpoint).collect();
                manager.update_endpoints(now, list.scope, &entries);
            }
            let (id, session) = (format!("{:016x}", n + 1), format!("{:016x}", 77 + n % 30));
            let kind = (self.word)(["chat", "filing", "note"][n as usize % 3]);
            let owner = (self.word)(["isles", "firth"][n as usize % 2]);
            let extra = format!(
                "prefix={:016x},prompt_len={},prefix_len=800,max_out=200",
                n % 5,
                1_000 + n * 37 % 9_000
            );
            let field = |name: &str| match name {
                "Req-Id" => Some(id.as_str()),
                "Req-Kind" => Some(kind.as_str()),
                "Req-Owner" => Some(owner.as_str()),
                "Req-Key" => Some(session.as_str()),
                "Req-Deadline-Ms" => Some("3000"),
                "Req-Extra" => Some(extra.as_str()),
                _ => None,
            };
            let mut actions = Vec::new();
            manager.accept(now, request_head::decode(field, &config.names, now).unwrap(), &mut actions);
            let mut step = 0;
            while let Some(action) = actions.get(step).copied() {
                step += 1;
                let Action::Send(sent) = action else {
                    decided.push(format!("{n} {action:?}"));
                    continue;
                };
                decided.push(format!("{n} {} {:?} {}", sent.server.0, sent.step, sent.timeout));
                let after = now + step as u64 * 5 * MILLISECOND;
                let ending = match (sent.step, (n + step as u64) % 7) {
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
        decided
    }
}

#[test]
fn names_and_order_of_lists_do_not_change_decisions() {
    let plain = Customer { word: str::to_owned, order: |list| list };
    let decided = plain.decided();
    let count = |word: &str| decided.iter().filter(|line| line.contains(word)).count();
    assert!(count(" Prefill ") > 150 && count(" Combined ") > 10 && count("Abort") > 10, "{decided:?}");
    let turned = Customer {
        word: |word| format!("Übrig {}", word.to_uppercase()),
        order: |list| list.into_iter().rev().collect(),
    };
    assert_eq!(turned.decided(), decided);
}

#[test]
fn missing_lane_limit_is_named() {
    let plain = Customer { word: str::to_owned, order: |list| list };
    let good = plain.config();
    assert_eq!((good.longest_abandon, good.drain_grace), (10_000 * MILLISECOND, 250 * MILLISECOND));
    let text = petrelshore_emulator::platform::config(good.listen, good.discovery, "");
    for (field, place) in [
        ("\"hardLimit\":4000000000,", "lanes[0]: setting hardLimit"),
        ("\"drainGrace\":2000000000,", "rules.drainGrace"),
    ] {
        assert!(text.contains(field));
        let message = config::decode(&text.replacen(field, "", 1)).unwrap_err().to_string();
        assert!(message.contains(place) && message.contains("missing"), "{message}");
    }
}
