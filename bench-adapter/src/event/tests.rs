use super::{Event, Timer, decode_timer};
use crate::line::Line;
use petrelshore::interface::{Outcome, SequenceId, TrafficTypeId};
use petrelshore_platform_protocol::settings::Names;
use petrelshore_platform_protocol::tenants::Tenants;

fn names() -> Names {
    Names {
        types: vec!["ask".to_owned()],
        tenants: ["isles".to_owned()].into_iter().collect::<Tenants>(),
        zones: vec!["here".to_owned()],
        kinds: vec!["prefill".to_owned()],
        report: vec![],
    }
}

fn decode(text: &str) -> Result<Event, String> {
    let line = Line::split(text).map_err(|error| error.to_string())?;
    Event::decode(&line, &names(), 1_000).map_err(|error| error.to_string())
}

fn error_of(text: &str) -> String {
    decode(text).err().unwrap_or_default()
}

#[test]
fn request_becomes_a_sequence_with_a_deadline() {
    let text = "REQ i=3 ticket=00000000000000aa type=ask team=isles budget=500 promptTokens=100 maxTokens=10";
    let Ok(Event::Request(new)) = decode(text) else { panic!("not a request") };
    assert_eq!((new.id, new.traffic), (SequenceId(0xaa), TrafficTypeId(0)));
    assert_eq!((new.first_token_deadline, new.resumed, new.prefix_tokens), (1_500, false, 0.0));
    assert!(new.tenant.is_some());
    let without =
        |field: &str| text.split(' ').filter(|part| !part.starts_with(field)).collect::<Vec<_>>().join(" ");
    assert_eq!(error_of(&without("budget")), "REQ: field budget is missing");
    assert_eq!(error_of(&without("ticket")), "REQ: field ticket is missing");
    let unknown = text.replace("isles", "nobody");
    assert_eq!(error_of(&unknown), "REQ: field team is malformed or out of range: 'nobody'");
}

#[test]
fn disposition_and_note_give_the_outcome() {
    for (fields, expected) in [
        ("disposition=0", Outcome::Completed),
        ("disposition=2 note=1", Outcome::KvCacheMissing),
        ("disposition=2 note=0", Outcome::AtCapacity),
        ("disposition=7", Outcome::NeverSent),
        ("disposition=202 note=40", Outcome::PrefillDone { cached_tokens: 40.0 }),
    ] {
        let text = format!("CLOSED_ATTEMPT ticket=00000000000000aa n=2 server=a last=1 {fields}");
        let Ok(Event::AttemptFinished { attempt, outcome, is_last, load, .. }) = decode(&text) else {
            panic!("{text}")
        };
        assert_eq!((attempt, outcome, is_last, load.report.is_none()), (2, expected, true, true));
    }
    let other = "CLOSED_ATTEMPT ticket=00000000000000aa n=2 server=a disposition=8";
    assert_eq!(error_of(other), "CLOSED_ATTEMPT: field disposition is out of range: '8'");
}

#[test]
fn timer_marks_are_told_apart() {
    let timer = |mark: &str| decode_timer(&Line::split(&format!("DUE mark={mark}")).unwrap()).unwrap();
    assert_eq!(timer("list"), Timer::PollEndpoints);
    assert_eq!(timer("00000000000000aa"), Timer::RetryScheduling(SequenceId(0xaa)));
    assert_eq!(timer("later"), Timer::Unknown);
}

#[test]
fn unknown_messages_are_rejected_and_some_known_ones_ignored() {
    assert!(matches!(decode("WHISPER i=3 message=a=b c"), Ok(Event::Ignored)));
    assert_eq!(error_of("nonsense i=3"), "'nonsense' is not a message that a gateway accepts");
    assert_eq!(error_of("REQ i"), "REQ: 'i' does not have the form name=value");
}
