use super::*;

#[test]
fn times_are_read_as_the_protocol_gives_them_and_nothing_else() {
    let good = [("1H", 3_600_000_000_000), ("2S", 2_000_000_000), ("250m", 250_000_000), ("7n", 7)];
    good.iter().for_each(|(text, nanos)| assert_eq!(timeout(text), Ok(*nanos), "{text}"));
    assert_eq!(timeout("99999999H"), Ok(Nanos::MAX));
    for bad in ["", "S", "5", "5s", "123456789S", "-1S", "+1S", "1.5S", " 1S", "1 S", "ä"] {
        assert!(timeout(bad).is_err(), "'{bad}' was read");
    }
}
