use super::*;

#[test]
fn grpc_timeout_accepts_only_the_format_of_the_protocol() {
    let valid = [("1H", 3_600_000_000_000), ("2S", 2_000_000_000), ("250m", 250_000_000), ("7n", 7)];
    valid.iter().for_each(|(text, nanos)| assert_eq!(parse_timeout(text), Ok(*nanos), "{text}"));
    assert_eq!(parse_timeout("99999999H"), Ok(Nanos::MAX));
    for invalid in ["", "S", "5", "5s", "123456789S", "-1S", "+1S", "1.5S", " 1S", "1 S", "ä"] {
        assert!(parse_timeout(invalid).is_err(), "'{invalid}' was accepted");
    }
}
