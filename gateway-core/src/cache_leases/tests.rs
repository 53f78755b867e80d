use super::*;

#[test]
fn every_read_leaves_something_unless_it_provably_never_ran() {
    let (near, far) = (ServerId(1), ServerId(2));
    let mut leases = Leases::default();
    for unrun in [Ending::NotConnected, Ending::HandedBack, Ending::RefusedFull] {
        leases.read_ended(near, unrun);
    }
    assert_eq!(leases.all(), []);
    for cut in [Ending::Cancelled, Ending::Reset, Ending::TimedOut, Ending::Malformed] {
        leases.read_ended(near, cut);
        assert_eq!(leases.cut_off(), [(near, State::CutOff)], "{cut:?}");
    }
    leases.read_ended(near, Ending::Cancelled);
    leases.read_ended(far, Ending::ReadDone { kept: 0.0 });
    assert_eq!(leases.cut_off(), [(near, State::CutOff)]);
    assert_eq!(leases.clone().all(), [(far, State::Held)]);
    leases.read_ended(near, Ending::ReadDone { kept: 0.0 });
    leases.state_gone(Some(near));
    assert_eq!(leases.all(), [(far, State::Held)], "that of the read whose writer broke");
}
