//! Token estimates, fingerprints and timeouts.

use petrelshore_gateway_core::{fingerprint, timeouts, token_estimate};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

#[test]
fn a_longer_conversation_keeps_its_shared_text_and_times_leave_room_for_the_way() {
    let system = token_estimate::Message { role: "system", text: "You explain faults." };
    let user = token_estimate::Message { role: "user", text: "why" };
    let (one, two) = (token_estimate::estimate_prompt(&[system, user]), {
        let system = token_estimate::Message { role: "system", text: "You explain faults." };
        let other = token_estimate::Message { role: "user", text: "and now something else" };
        token_estimate::estimate_prompt(&[system, other])
    });
    assert!(one.prefix == two.prefix && one.prefix.is_some() && one.prompt_tokens < two.prompt_tokens);
    assert_ne!(fingerprint::session_id("a", "bc"), fingerprint::session_id("ab", "c"));
    assert_ne!(fingerprint::request_fingerprint("m", "p", 1), fingerprint::request_fingerprint("m", "p", 2));
    assert_eq!(timeouts::first_token_deadline(0, 4 * S), 3_950 * MS);
    assert_eq!(timeouts::first_token_deadline(0, 40 * MS), 30 * MS);
    assert!(
        timeouts::connect_timeout(10 * MS, None) <= 10 * MS && timeouts::connect_timeout(60 * S, None) == S
    );
    assert_eq!(timeouts::connect_timeout(5 * S, Some(250 * MS)), 125 * MS, "another is tried after it");
}
