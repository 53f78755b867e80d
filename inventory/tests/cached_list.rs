//! Tests of the cached list: files of earlier versions, truncated files, and a wall clock that was stepped.
//!
//! The fixtures were written by an earlier version of the program. In the second fixture, `kept_at` is removed and the
//! checksum is adapted, as in the files of still older versions.

use petrelshore::interface::Nanos;
use petrelshore_inventory::cached_list::{CachedList, StartTimes, decode, encode, load, store};
use petrelshore_inventory::{EndpointList, Server};
use std::collections::BTreeMap;
use std::path::Path;

const SECOND: Nanos = 1_000_000_000;
/// The time at which the fixtures were stored, on their own clock.
const STORED_AT: Nanos = 1_764_600_000 * SECOND;
const FIXTURE: &str = include_str!("fixtures/cached-list.json");
const FIXTURE_WITHOUT_KEPT_AT: &str = include_str!("fixtures/cached-list-without-kept-at.json");

fn server(name: &str, address: &str, kind: &str) -> Server {
    Server {
        name: name.to_owned(),
        address: address.parse().unwrap(),
        kind: kind.to_owned(),
        cell: "c1".to_owned(),
        zone: "glasgow-dc".to_owned(),
        weight: 1.0,
        draining: false,
    }
}

/// Returns the list that the fixtures contain.
fn list() -> EndpointList {
    let (isles, c2) = ("isles".to_owned(), "c2".to_owned());
    EndpointList {
        servers: vec![
            Server { weight: 2.5, ..server("decode-1", "10.1.0.18:9000", "writer") },
            Server { draining: true, ..server("decode-2", "[2001:db8::7]:9000", "writer") },
            Server {
                cell: String::new(),
                zone: isles.clone(),
                weight: 0.1,
                ..server("mixed \"é\"", "10.1.0.20:9000", "mixed")
            },
            server("prefill-1", "127.0.0.1:9001", "reader"),
            Server {
                cell: c2,
                zone: isles,
                weight: 3.0,
                draining: true,
                ..server("prefill-2", "127.0.0.1:9002", "reader")
            },
        ],
    }
}

/// Returns the start times of the first four servers, each mapped by `shift`.
fn start_times(shift: impl Fn(Nanos) -> Nanos) -> StartTimes {
    let started = [0, STORED_AT - 3 * SECOND, STORED_AT - 86_400 * SECOND - 1, STORED_AT];
    list().servers.iter().map(Server::id).zip(started.map(shift)).collect()
}

#[test]
fn file_of_an_earlier_version_is_read_and_written_byte_for_byte() {
    assert_eq!(encode(&list(), &start_times(|at| at), STORED_AT).unwrap(), FIXTURE);
    for now in [STORED_AT, STORED_AT + 5 * SECOND, STORED_AT - SECOND] {
        let same_age = start_times(|at| if at == 0 { 0 } else { now - (STORED_AT - at) });
        assert_eq!(decode(FIXTURE, now).unwrap(), CachedList { list: list(), start_times: same_age });
    }
}

#[test]
fn file_without_kept_at_is_read_with_start_times_not_in_the_future() {
    for now in [STORED_AT, STORED_AT + 5 * SECOND, STORED_AT - SECOND] {
        let expected = CachedList { list: list(), start_times: start_times(|at| at.min(now)) };
        assert_eq!(decode(FIXTURE_WITHOUT_KEPT_AT, now).unwrap(), expected);
    }
}

#[test]
fn fixture_files_are_loaded_and_replaced_by_the_same_bytes() {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/cached-list.json");
    let cached = load(&fixture, STORED_AT).unwrap().unwrap();
    let directory = std::env::temp_dir().join(format!("petrelshore-cached-fixture-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("last.json");
    store(&file, &cached.list, &cached.start_times, STORED_AT).unwrap();
    assert_eq!(std::fs::read_to_string(&file).unwrap(), FIXTURE);
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn unusable_files_are_reported_with_their_reason() {
    let checked = |body: &str| {
        let checksum = petrelshore_gateway_core::fingerprint::stable_id(body);
        format!("{body}\n{checksum:016x}\n")
    };
    let body = FIXTURE.lines().next().unwrap();
    for (text, message) in [
        (body.to_owned(), "the file is truncated: it has no checksum line"),
        (format!("{body}\nxyz\n"), "the checksum is not a hexadecimal number"),
        (FIXTURE.replacen("c1", "c9", 1), "the checksum does not match the contents"),
        (checked(&body.replacen("\"version\":1", "\"version\":2", 1)), "format version 2 is not supported"),
        (checked("[]"), "invalid length 0, expected struct"),
    ] {
        let error = decode(&text, STORED_AT).unwrap_err().to_string();
        assert!(error.starts_with(message), "'{error}' does not start with '{message}'");
    }
    let error = load(Path::new("/"), STORED_AT).unwrap_err().to_string();
    assert!(error.starts_with("/: "), "{error}");
}

#[test]
fn cached_start_times_keep_their_age_when_the_clock_is_stepped() {
    let second = 1_000_000_000;
    let list = list();
    let now = 10_000 * second;
    let start_times = BTreeMap::from([(list.servers[0].id(), now - 3 * second)]);
    let text = encode(&list, &start_times, now).unwrap();
    for stepped in [-3_600_i64, 0, 3_600] {
        let later = now.saturating_add_signed(stepped * second as i64);
        let start_times = decode(&text, later).unwrap().start_times;
        assert_eq!(
            start_times[&list.servers[0].id()],
            later - 3 * second,
            "wall clock stepped by {stepped} s"
        );
    }
}

#[test]
fn cached_list_truncated_at_any_byte_is_rejected() {
    let list = list();
    let start_times = BTreeMap::from([(list.servers[0].id(), 7)]);
    let text = encode(&list, &start_times, 9).unwrap();
    let cached = CachedList { list: list.clone(), start_times: start_times.clone() };
    assert_eq!(decode(&text, 9).unwrap(), cached);
    let directory = std::env::temp_dir().join(format!("petrelshore-cached-list-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let file = directory.join("last.json");
    assert_eq!(load(&file, 9).unwrap(), None);
    for cut in 0..text.len() - 1 {
        // A cut within a character leaves invalid UTF-8, which a file may contain but a string can't.
        assert!(text.get(..cut).is_none_or(|text| decode(text, 9).is_err()), "truncated to {cut} bytes");
        std::fs::write(&file, &text.as_bytes()[..cut]).unwrap();
        assert!(load(&file, 9).is_err(), "truncated to {cut} bytes");
    }
    store(&file, &list, &start_times, 9).unwrap();
    std::fs::write(directory.join("last.json.new"), &text[..20]).unwrap();
    assert_eq!(load(&file, 9).unwrap(), Some(cached));
    std::fs::remove_dir_all(&directory).unwrap();
}
