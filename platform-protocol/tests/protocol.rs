//! Decodes endpoint lists, configurations, settings and request heads as the platform sends them, and malformed ones.

use petrelshore::interface::{
    CellId, Delivery, EndpointState, Idempotency, KeyScope, Nanos, PrefixId, SequenceId, ServerId,
    ServerKindId, SnapshotKind, TenantId, TrafficTypeId, Weights, ZoneId,
};
use petrelshore_gateway_core::Relay;
use petrelshore_gateway_core::fingerprint::stable_id;
use petrelshore_platform_protocol::endpoint_list::ListedEndpoint;
use petrelshore_platform_protocol::settings::Names;
use petrelshore_platform_protocol::tenants::Tenants;
use petrelshore_platform_protocol::{config, endpoint_list, load_report, request_head, settings};
use serde_json::{Value, json};

const SECOND: Nanos = 1_000_000_000;

fn names() -> Names {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    Names {
        types: owned(&["chat", "trace"]),
        tenants: Tenants::default(),
        zones: owned(&["east", "west"]),
        kinds: owned(&["reader", "writer"]),
        report: vec![],
    }
}

#[test]
fn delta_differs_from_full_list_and_bad_entries_are_left_out() {
    let entry = |name: &str, status: &str, since: u64| {
        json!({"name": name, "address": "10.1.0.18:9000", "zone": "west", "type": "writer", "group": 3,
               "status": status, "weight": 1.0, "since_ms": since})
    };
    let mut bad = entry("bad", "active", 0);
    bad["type"] = json!("oracle");
    let delta = json!({"index": 43, "snapshot": false, "endpoints": [
        entry("a", "leaving", 1_764_600_000_000), bad, entry("b", "left", 0), entry("c", "asleep", 0)]});
    let list = endpoint_list::decode(&delta, &names()).unwrap();
    assert_eq!((list.index, list.scope, list.entries.len()), (43, SnapshotKind::Delta, 2));
    let ListedEndpoint { endpoint: first, address, .. } = &list.entries[0];
    assert_eq!(
        (first.server, first.kind, first.cell),
        (ServerId(stable_id("a")), ServerKindId(1), CellId(3))
    );
    assert_eq!((first.zone, first.state), (ZoneId(1), EndpointState::Draining));
    assert_eq!(
        (first.started_at, address.port()),
        (1_764_600_000 * SECOND, 9000),
        "the start time is Unix time in whole nanoseconds"
    );
    assert_eq!(list.entries[1].endpoint.state, EndpointState::Gone);
    let left_out: Vec<String> = list.left_out.iter().map(ToString::to_string).collect();
    assert!(left_out[0].contains("endpoints[1]: setting type") && left_out[1].contains("status"));
    let full = json!({"index": 1, "snapshot": true, "endpoints": []});
    assert_eq!(endpoint_list::decode(&full, &names()).unwrap().scope, SnapshotKind::Full);
    assert!(
        endpoint_list::decode(&json!({"index": 1, "endpoints": []}), &names())
            .unwrap_err()
            .to_string()
            .contains("snapshot")
    );
}

#[test]
fn decoded_request_head_has_a_deadline_before_that_of_its_client() {
    let head = |name: &str| match name {
        "Req-Id" => Some("9b1f03aa5c7e2d41"),
        "Req-Kind" => Some("trace"),
        "Req-Key" => Some("7f3a9c21e0b4d655"),
        "Req-Deadline-Ms" => Some("4800"),
        "Req-Extra" => Some("prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800,later=x"),
        "Req-Retry" => Some("again"),
        _ => None,
    };
    let new = request_head::decode(head, &names(), 100 * SECOND).unwrap();
    assert_eq!(
        (new.id, new.traffic, new.resumed),
        (SequenceId(0x9b1f_03aa_5c7e_2d41), TrafficTypeId(1), true)
    );
    assert_eq!((new.prompt_tokens, new.prefix_tokens, new.max_output_tokens), (5120.0, 2048.0, 800.0));
    assert_eq!((new.prefix, new.relay), (Some(PrefixId(0x5c0f_6e1a_2b3d_4c59)), Relay::Passthrough));
    assert_eq!(new.first_token_deadline, 100 * SECOND + 4_750_000_000);
    for (header, value) in [
        ("Req-Id", "9B1F03AA5C7E2D41"),
        ("Req-Kind", "gossip"),
        ("Req-Key", "x"),
        ("Req-Deadline-Ms", "4.5"),
        ("Req-Deadline-Ms", "+5"),
        ("Req-Deadline-Ms", "600001"),
        ("Req-Extra", "prompt_len=5120"),
        ("Req-Extra", "prompt_len=1e9,max_out=5"),
        ("Req-Extra", "prompt_len=NaN,max_out=5"),
        ("Req-Extra", "prompt_len"),
    ] {
        let result =
            request_head::decode(|name| if name == header { Some(value) } else { head(name) }, &names(), 0);
        assert!(
            result.as_ref().is_err_and(|error| error.to_string().starts_with(header)),
            "{header}: {value}: {result:?}"
        );
        let missing = request_head::decode(|name| head(name).filter(|_| name != header), &names(), 0);
        assert_eq!(missing.is_ok(), header == "Req-Key", "{header}");
    }
}

#[test]
fn truncated_configuration_is_an_error_and_never_a_panic() {
    let good = r#"{"name":"n3","listen":"10.0.0.4:9000","discovery":"10.2.0.1:8500","seed":"8c1f","limits":{"memory_mb":64}}"#;
    for end in 0..good.len() {
        assert!(config::decode(&good[..end]).is_err(), "truncated to {end} bytes");
    }
    assert!(config::decode(good).unwrap_err().to_string().contains("settings"));
}

fn valid_settings() -> Value {
    json!({"allowed": {"maxAttempts": 3, "maxRetryAfter": 2 * SECOND, "retryAfter": true, "peers": false},
        "balancers": 4, "dcs": ["east", "west"], "kinds": ["round", "reader"], "membershipMode": "on_request",
        "lanes": [
            {"aim": SECOND, "name": "chat", "semantics": "free", "streamed": true, "worth": 2.0},
            {"aim": SECOND, "name": "unlock", "semantics": "single_shot", "streamed": false, "worth": 1.0},
            {"aim": SECOND, "dedupScope": "zone", "name": "order", "semantics": "guarded", "streamed": true,
             "window": 3 * SECOND, "worth": 1.0}],
        "orgs": [{"name": "one", "portion": 0.5, "quotaRps": 3.5}], "overShareWorth": 0.1,
        "report": {"fields": ["outstanding", "x1", "x0"], "how": "inline"},
        "rules": {"askEvery": SECOND, "cold": 5 * SECOND, "coldFrom": 0.3, "overloadFactor": 2.5, "overloadFor": SECOND},
        "specifics": {"aimUsPer1000PromptTokens": [40000.0, 0, 0], "kindRole": ["both", "read"],
            "memoryTokens": [200000, 1e5], "readInPlace": false, "releaseWithin": SECOND / 2,
            "reportX0": "thousands of prompt tokens waiting to be read or fetched", "reportX1": "the weather",
            "tokenAim": [SECOND / 20, 0, 0]},
        "tick": 4_000_000, "weights": "live", "zone": "west"})
}

/// Appends the JSON pointers of all values inside `value`, whose own pointer is `pointer`.
fn collect_pointers(value: &Value, pointer: &str, all: &mut Vec<String>) {
    let child = |key: &str| format!("{pointer}/{key}");
    match value {
        Value::Object(object) => object.iter().for_each(|(key, value)| {
            all.push(child(key));
            collect_pointers(value, &child(key), all);
        }),
        Value::Array(array) => array.iter().enumerate().for_each(|(n, value)| {
            all.push(child(&n.to_string()));
            collect_pointers(value, &child(&n.to_string()), all);
        }),
        _ => {}
    }
}

#[test]
fn malformed_setting_is_named_and_unknown_ones_are_ignored() {
    let (good, names) = settings::decode(&valid_settings()).unwrap();
    let zone = Idempotency::Keyed { scope: KeyScope::Zone, window: 3 * SECOND };
    assert_eq!(
        [0, 1, 2].map(|n| good.types[n].idempotency),
        [Idempotency::Idempotent, Idempotency::AtMostOnce, zone]
    );
    assert_eq!([0, 1].map(|n| good.types[n].delivery), [Delivery::Streamed, Delivery::Buffered]);
    assert_eq!(
        (good.weights, good.timer_resolution, good.max_poll_interval),
        (Weights::Unused, 4_000_000, SECOND)
    );
    let report = load_report::decode_row("7,3,2", &names.report).unwrap();
    assert_eq!(
        (report.memory_share, report.queued_prompt_tokens),
        (None, Some(2000.0)),
        "the settings give x0 as queued prompt tokens and x1 as an unknown quantity"
    );

    // These fields are not decoded, so any value is accepted.
    let ignored = ["peers", "portion"];
    let mut all = Vec::new();
    collect_pointers(&valid_settings(), "", &mut all);
    for pointer in all {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let field = pointer.rsplit('/').find(|key| key.parse::<usize>().is_err()).unwrap();
        let result =
            |changed: &Value| settings::decode(changed).map(|_| ()).map_err(|error| error.to_string());
        for wrong in [json!({"a": 1}), json!("?"), json!(-1), json!(1e300), json!(null), json!([[]])] {
            let mut changed = valid_settings();
            *changed.pointer_mut(&pointer).unwrap() = wrong.clone();
            let is_valid = ignored.contains(&field)
                // A name or description may be any string, and a number may be any non-negative number.
                || (wrong == json!("?") && ["name", "kinds", "dcs", "fields", "reportX0", "reportX1"].contains(&field))
                || (wrong == json!(1e300)
                    && ["worth", "quotaRps", "coldFrom", "overloadFactor", "overShareWorth", "memoryTokens",
                        "aimUsPer1000PromptTokens"].contains(&field));
            let is_expected = match result(&changed) {
                Ok(()) => is_valid,
                Err(message) => message.contains(field) || (field == "dcs" && message.contains("zone")),
            };
            assert!(is_expected, "{pointer} set to {wrong}: {:?}", result(&changed));
        }
        if key.parse::<usize>().is_err() {
            let mut changed = valid_settings();
            changed.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key);
            // A deployment may define no tenants.
            let is_optional = ignored.contains(&key) || key == "orgs";
            let is_expected = result(&changed).map_or_else(|message| message.contains(key), |()| is_optional);
            assert!(is_expected, "{pointer} missing: {:?}", result(&changed));
        }
    }
    let mut extended = valid_settings();
    extended["rules"]["later"] = json!([1]);
    extended["later"] = json!({"x": 1});
    settings::decode(&extended).unwrap();
}

#[test]
fn settings_of_absent_features_may_be_missing() {
    let mut minimal = valid_settings();
    let rules = minimal["rules"].as_object_mut().unwrap();
    rules.remove("askEvery");
    minimal["membershipMode"] = json!("pushed");
    minimal["report"] = json!({"how": "off"});
    minimal["orgs"] = json!([]);
    minimal["allowed"] = json!({"maxAttempts": 1, "retryAfter": false});
    minimal.as_object_mut().unwrap().remove("overShareWorth");
    let (deployment, names) = settings::decode(&minimal).unwrap();
    assert_eq!((deployment.max_attempts, deployment.max_retry_after), (1, None));
    assert!(deployment.tenants.is_empty() && names.report.is_empty());
}

#[test]
fn tenant_id_is_the_index_of_the_first_entry_with_the_name() {
    let tenants: Tenants = (0..640).map(|n| format!("t{n}")).chain(["t5".to_owned()]).collect();
    assert!((0..640).all(|n| tenants.id(&format!("t{n}")) == Some(TenantId(n))));
    assert!(tenants.id("").is_none() && tenants.id("t640").is_none() && tenants.len() == 640);
}

#[test]
fn error_messages_name_the_field_and_its_value() {
    let message = |settings: &Value| settings::decode(settings).unwrap_err().to_string();
    let changed = |pointer: &str, value: Value| {
        let mut changed = valid_settings();
        *changed.pointer_mut(pointer).unwrap() = value;
        message(&changed)
    };
    assert_eq!(message(&json!({})), "setting lanes is missing");
    assert_eq!(changed("/zone", json!("north")), "setting zone is malformed or out of range: \"north\"");
    assert_eq!(
        changed("/lanes/1/worth", json!(-1)),
        "lanes[1]: setting worth is malformed or out of range: -1"
    );
    assert_eq!(
        changed("/lanes/2/name", json!(null)),
        "lanes[2]: setting name is malformed or out of range: null"
    );
    assert_eq!(config::decode("x").unwrap_err().to_string(), "expected value at line 1 column 1");
    let head =
        |name: &str| (name == "Req-Id").then_some("a value of more than forty characters, which is cut");
    assert_eq!(
        request_head::decode(head, &names(), 0).unwrap_err().to_string(),
        "Req-Id is malformed or out of range: 'a value of more than forty characters, w'"
    );
    assert_eq!(
        request_head::decode(|_| None, &names(), 0).unwrap_err().to_string(),
        "Req-Id is missing, unreadable, or came twice"
    );
}
