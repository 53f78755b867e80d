//! Runs the adapter as a process, with short exchanges and with malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"allowed":{"maxAttempts":4,"maxRetryAfter":1000,"retryAfter":true},"balancers":2,"dcs":["here"],"kinds":["reader","writer"],"lanes":[{"aim":1000000000,"name":"ask","semantics":"free","streamed":true,"worth":1.0}],"membershipMode":"on_request","orgs":[],"overShareWorth":0.1,"report":{"fields":["outstanding","x0"],"how":"inline"},"rules":{"askEvery":10000000000,"cold":1000000000,"coldFrom":0.3,"overloadFactor":2.5,"overloadFor":1500000000},"specifics":{"aimUsPer1000PromptTokens":[40000.0],"kindRole":["read","write"],"memoryTokens":[1000,1000.5],"readInPlace":false,"releaseWithin":300000000,"reportX0":"share of memory that is held","tokenAim":[60000000]},"tick":4000000,"weights":"off","zone":"here","later":[1]}"#;
const ENDPOINT_LIST: &str = "MEMBERS i=3 version=1 kind=remembered membersList=2 extra=x\n\
    SERVER flavor=reader server=r.one condition=Ready pack=0 regionPart=here\n\
    SERVER flavor=writer server=w.one condition=Ready pack=0 regionPart=here\n";
const REQUEST: &str =
    "REQ i=3 ticket=00000000000000aa type=ask budget=4000000000 promptTokens=100 maxTokens=10\n";

fn run_adapter(input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_petrelshore-bench-adapter"));
    let pipes = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = pipes.spawn().expect("the adapter could not be started");
    // The write may fail because the adapter stops reading at a malformed line. The tests check its error message.
    let _ = child.stdin.take().expect("standard input is not a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("could not wait for the end of the adapter")
}

fn configured() -> String {
    format!("SYNC clock=1000\nCONFIGURE i=3 prng=5 options={OPTIONS}\n{ENDPOINT_LIST}GO\n")
}

#[test]
fn sequence_is_prefilled_decoded_and_completed() {
    let closed = "CLOSED_ATTEMPT i=3 ticket=00000000000000aa";
    let input = [
        "SYNC clock=10\nGO\n".to_owned() + &configured(),
        format!("SYNC clock=2000\n{REQUEST}GO\n"),
        format!(
            "SYNC clock=3000\n{closed} n=0 server=r.one disposition=202 rtt=1000 note=0 healthInfo=1,0.1\nGO\n"
        ),
        format!(
            "SYNC clock=4000\n{closed} n=1 server=w.one disposition=0 rtt=1000 last=1 healthInfo=1,0.1\nGO\n"
        ),
        format!(
            "SYNC clock=5000\n{closed} n=1 server=w.one disposition=5 rtt=1000\nDUE i=3 mark=00000000000000aa\nGO\n"
        ),
    ];
    let output = run_adapter(&input.concat());
    assert!(output.status.success());
    let replies = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = replies.lines().map(|line| line.split(" tryFor").next().unwrap()).collect();
    let (sent, free) = ("FORWARD i=3 ticket=00000000000000aa", "FREE_STATE i=3 ticket=00000000000000aa");
    assert_eq!(
        lines,
        ["READY", "SUBSCRIBE i=3 want=1", "READY", sent, "READY", sent, "READY", free, "READY", "READY"],
        "the gateway releases the KV cache, because no first token of the answer was reported"
    );
    assert!(replies.contains("server=r.one") && replies.contains("server=w.one"));
}

#[test]
fn same_input_gives_the_same_replies() {
    let input = configured() + &format!("SYNC clock=2000\n{REQUEST}{}GO\n", REQUEST.replace("aa", "ab"));
    assert_eq!(run_adapter(&input).stdout, run_adapter(&input).stdout);
}

#[test]
fn error_names_line_and_field_of_malformed_input() {
    let assert_rejected = |input: &str, expected: &[&str]| {
        let output = run_adapter(input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(expected.iter().all(|part| message.contains(part)), "{message} lacks one of {expected:?}");
    };
    let after_configuration = |event: &str| configured() + "SYNC clock=2000\n" + event + "\nGO\n";
    assert_rejected("GO\n", &["line 1", "SYNC"]);
    assert_rejected("SYNC clock=x\nGO\n", &["line 1", "clock"]);
    assert_rejected("SYNC clock=1\n", &["line 2", "ended within a batch"]);
    assert_rejected("SYNC clock=1\nREQ i=9 ticket=00000000000000aa\nGO\n", &["line 2", "instance 9"]);
    assert_rejected(
        &after_configuration(&REQUEST.trim_end().replace(" budget=4000000000", "")),
        &["line 8", "budget"],
    );
    assert_rejected(&after_configuration(&REQUEST.trim_end().replace("=ask", "=nope")), &["line 8", "type"]);
    assert_rejected(
        &after_configuration(&REQUEST.trim_end().replace("=100", "=-1")),
        &["line 8", "promptTokens"],
    );
    assert_rejected(
        &after_configuration(&REQUEST.trim_end().replace("00000000000000aa", "xyz")),
        &["line 8", "ticket"],
    );
    assert_rejected(
        &after_configuration("CLOSED_ATTEMPT i=3 ticket=00000000000000aa n=0 server=r.one disposition=99"),
        &["disposition"],
    );
    assert_rejected(
        &after_configuration("MEMBERS i=3 kind=all membersList=3\nSERVER server=x"),
        &["line 11", "ended within a batch"],
    );
    assert_rejected(
        &after_configuration("MEMBERS i=3 kind=all membersList=1\nnonsense"),
        &["line 9", "SERVER"],
    );
    assert_rejected(&after_configuration("nonsense i=3"), &["line 8", "nonsense"]);
    assert_rejected(&configured().replace("\"coldFrom\":0.3,", ""), &["line 2", "rules.coldFrom"]);
    assert_rejected(&configured().replace("\"balancers\":2", "\"balancers\":-2"), &["line 2", "balancers"]);
}
