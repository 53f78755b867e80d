//! Token estimates, request fingerprints and timeouts.

use petrelshore_gateway_core::fingerprint;
use petrelshore_gateway_core::timeouts::{connect_timeout, first_token_deadline};
use petrelshore_gateway_core::token_estimate::{Message, estimate_prompt};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MILLISECOND;

#[test]
fn longer_conversation_has_more_tokens_and_the_same_prefix() {
    let system = || Message { role: "system", text: "You explain faults." };
    let short = estimate_prompt(&[system(), Message { role: "user", text: "why" }]);
    let long = estimate_prompt(&[system(), Message { role: "user", text: "and now something else" }]);
    assert!(short.prefix == long.prefix && short.prefix.is_some());
    assert!(short.prompt_tokens < long.prompt_tokens);
}

#[test]
fn fingerprints_differ_by_each_part() {
    assert_ne!(fingerprint::session_id("a", "bc"), fingerprint::session_id("ab", "c"));
    assert_ne!(fingerprint::request_fingerprint("m", "p", 1), fingerprint::request_fingerprint("m", "p", 2));
}

#[test]
fn timeouts_leave_time_for_the_answer_and_for_another_server() {
    assert_eq!(first_token_deadline(0, 4 * SECOND), 3_950 * MILLISECOND);
    assert_eq!(first_token_deadline(0, 40 * MILLISECOND), 30 * MILLISECOND);
    assert!(connect_timeout(10 * MILLISECOND, None) <= 10 * MILLISECOND);
    assert_eq!(connect_timeout(60 * SECOND, None), SECOND);
    let with_held_cache = connect_timeout(5 * SECOND, Some(250 * MILLISECOND));
    assert_eq!(with_held_cache, 125 * MILLISECOND, "half of the time is left to try another server");
}
