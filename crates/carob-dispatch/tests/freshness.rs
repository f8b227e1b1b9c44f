//! Whether a configuration can be relied on.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::freshness::{Contact, Doubt, Freshness, Moment};

const INFORMED: Contact = Contact {
    uninformed: false,
    peers: 4,
    heard: 4,
    lag: Duration::ZERO,
};

/// A moment by monotonic time, when the machine was suspended for `suspended` before; both in milliseconds.
fn moment(time: u64, suspended: u64) -> Moment {
    Moment {
        time: Time::from_millis(time),
        day: Duration::from_millis(1_000_000 + time + suspended),
    }
}

fn start() -> Freshness {
    let mut freshness = Freshness::new(moment(0, 0));
    freshness.confirm(Time::from_millis(100));
    assert_eq!(freshness.doubt(moment(100, 0), INFORMED), None);
    freshness.pass(moment(1_000, 0));
    freshness.confirm(Time::from_millis(1_000));
    freshness
}

/// An instance that had just started relied on what another one had told it, which was cut off itself.
#[test]
fn an_instance_relies_on_what_nobody_has_confirmed() {
    let alone = Contact {
        uninformed: true,
        ..INFORMED
    };
    // Time of a confirmation, if there is one, and of the question after a start at 0.
    for (confirmed, asked, contact, doubt) in [
        (None, 300, INFORMED, Some(Doubt::Started)),
        (None, 1_400, INFORMED, Some(Doubt::Started)),
        (Some(100), 100, INFORMED, None),
        (None, 2_199, alone, Some(Doubt::Started)),
        (None, 2_200, alone, None),
        (None, 2_200, Contact { heard: 1, ..alone }, Some(Doubt::CutOff)),
    ] {
        let mut freshness = Freshness::new(moment(0, 0));
        if let Some(confirmed) = confirmed {
            freshness.confirm(Time::from_millis(confirmed));
        }
        for time in (0..=asked).step_by(100) {
            freshness.pass(moment(time, 0));
        }
        let found = freshness.doubt(moment(asked, 0), contact);
        assert_eq!(found, doubt, "{confirmed:?} {asked} {contact:?}");
    }
}

/// An instance that heard nothing new went on as if there were nothing.
#[test]
fn an_instance_that_is_cut_off_relies_on_its_configuration() {
    for (uninformed, peers, heard, doubt) in [
        (false, 4, 0, None),
        (true, 0, 0, None),
        (true, 1, 0, Some(Doubt::CutOff)),
        (true, 1, 1, None),
        (true, 2, 0, Some(Doubt::CutOff)),
        (true, 2, 1, None),
        (true, 5, 2, Some(Doubt::CutOff)),
        (true, 5, 3, None),
        (true, 65, 65, None),
    ] {
        let contact = Contact {
            uninformed,
            peers,
            heard,
            ..INFORMED
        };
        assert_eq!(start().doubt(moment(1_500, 0), contact), doubt, "{contact:?}");
    }
}

/// The first message after a cut counted as if its sender knew all that the cut had kept away.
#[test]
fn a_cut_is_over_with_the_first_message() {
    let cut_off = Contact {
        uninformed: true,
        heard: 0,
        ..INFORMED
    };
    let alone = Contact { heard: 4, ..cut_off };
    // Times of a confirmation and of the question after a cut that was last seen at 2,000.
    for (confirmed, asked, contact, doubt) in [
        (2_100, 2_100, INFORMED, Some(Doubt::CutOff)),
        (2_100, 3_400, INFORMED, Some(Doubt::CutOff)),
        (2_500, 2_500, INFORMED, None),
        (1_000, 3_400, alone, Some(Doubt::CutOff)),
    ] {
        let mut freshness = start();
        freshness.pass(moment(2_000, 0));
        assert_eq!(freshness.doubt(moment(2_000, 0), cut_off), Some(Doubt::CutOff));
        freshness.confirm(Time::from_millis(confirmed));
        assert_eq!(
            freshness.doubt(moment(asked, 0), contact),
            doubt,
            "{confirmed} {asked} {contact:?}"
        );
        freshness.pass(moment(3_400, 0));
        freshness.pass(moment(4_200, 0));
        assert_eq!(freshness.doubt(moment(4_200, 0), alone), None);
    }
}

/// An instance that heard of newer content, and could not get it, went on by its own.
#[test]
fn an_instance_that_is_behind_relies_on_its_configuration() {
    let mut freshness = start();
    for (time, doubt) in [
        (1_500, None),
        (3_200, None),
        (3_300, Some(Doubt::Behind)),
        (12_000, Some(Doubt::Behind)),
    ] {
        for pass in (1_500..=time).step_by(100) {
            freshness.pass(moment(pass, 0));
        }
        assert_eq!(freshness.doubt(moment(time, 0), INFORMED), doubt, "{time}");
    }
    freshness.confirm(Time::from_millis(12_100));
    assert_eq!(freshness.doubt(moment(12_200, 0), INFORMED), None);
}

/// An instance that knew that it had missed something relied on its configuration while the store answered nobody.
#[test]
fn an_instance_relies_on_its_configuration_although_others_are_ahead() {
    let lagging = |lag| Contact {
        uninformed: true,
        lag: Duration::from_millis(lag),
        ..INFORMED
    };
    let mut freshness = start();
    // Time of a question, the lag then, and what the instance doubts.
    for (time, lag, doubt) in [
        (3_000, 2_000, None),
        (3_200, 2_200, None),
        (3_300, 2_300, Some(Doubt::Behind)),
        (3_400, 0, None),
        (9_000, 8_000, Some(Doubt::Behind)),
        (9_100, 0, None),
    ] {
        for pass in (1_500..=time).step_by(100) {
            freshness.pass(moment(pass, 0));
        }
        assert_eq!(freshness.doubt(moment(time, 0), lagging(lag)), doubt, "{time}");
    }
}

/// An instance that started while the store was away relied on a configuration although it had heard of a newer one just before.
#[test]
fn a_doubt_ends_although_a_newer_version_is_known() {
    let contact = |lag| Contact {
        uninformed: true,
        lag: Duration::from_millis(lag),
        ..INFORMED
    };
    let mut freshness = Freshness::new(moment(0, 0));
    for time in (0..=2_600).step_by(100) {
        freshness.pass(moment(time, 0));
    }
    assert_eq!(
        freshness.doubt(moment(2_600, 0), contact(1_300)),
        Some(Doubt::Started)
    );
    assert_eq!(freshness.doubt(moment(2_700, 0), contact(0)), None);
}

/// An instance whose content was confirmed while it still started did not rely on it for up to 1 s.
#[test]
fn a_confirmation_before_the_state_is_set_up_is_passed_over() {
    let mut freshness = Freshness::new(moment(60, 0));
    freshness.confirm(Time::from_millis(0));
    assert_eq!(freshness.doubt(moment(60, 0), INFORMED), None);
}

/// What was asked first after a standstill was answered as if there had been none.
#[test]
fn a_standstill_is_noticed_by_the_loop_alone() {
    for (time, suspended, doubt) in [
        (2_500, 0, None),
        (2_501, 0, Some(Doubt::StoodStill)),
        (1_100, 1_400, None),
        (1_100, 1_401, Some(Doubt::StoodStill)),
        (9_000, 0, Some(Doubt::StoodStill)),
    ] {
        let now = moment(time, suspended);
        assert_eq!(start().doubt(now, INFORMED), doubt, "{now:?}");
        let mut passed = start();
        passed.pass(now);
        assert_eq!(passed.doubt(now, INFORMED), doubt, "{now:?}");
    }
    // A step back of the time of day is no standstill.
    let back = Moment {
        day: Duration::ZERO,
        ..moment(1_100, 0)
    };
    assert_eq!(start().doubt(back, INFORMED), None);
}

/// An instance relied on what had waited in its sockets.
#[test]
fn a_standstill_ends_with_what_was_sent_before_its_end() {
    let alone = Contact {
        uninformed: true,
        ..INFORMED
    };
    let cut_off = Contact { heard: 1, ..alone };
    // Times of a confirmation and of the question after a standstill that ends at 10,000.
    for (confirmed, asked, contact, doubt) in [
        (10_400, 10_400, INFORMED, Some(Doubt::StoodStill)),
        (10_400, 11_000, INFORMED, Some(Doubt::StoodStill)),
        (10_400, 20_000, INFORMED, Some(Doubt::StoodStill)),
        (10_500, 10_500, INFORMED, None),
        (10_700, 11_000, INFORMED, None),
        (10_400, 12_199, alone, Some(Doubt::StoodStill)),
        (10_400, 12_200, alone, None),
        (10_400, 12_199, cut_off, Some(Doubt::StoodStill)),
        (10_400, 12_200, cut_off, Some(Doubt::CutOff)),
    ] {
        let mut freshness = start();
        for time in (10_000..=asked).step_by(100) {
            freshness.pass(moment(time, 0));
        }
        freshness.confirm(Time::from_millis(confirmed));
        assert_eq!(
            freshness.doubt(moment(asked, 0), contact),
            doubt,
            "{confirmed} {asked} {contact:?}"
        );
        assert_eq!(
            freshness.age(moment(asked, 0)),
            Some(Duration::from_millis(asked - confirmed))
        );
    }
}

/// The larger side of a partition relied on its configuration while the store answered the smaller side alone.
#[test]
fn a_majority_without_the_store_relies_on_its_configuration() {
    let contact = Contact {
        uninformed: true,
        peers: 65,
        heard: 43,
        ..INFORMED
    };
    assert!(start().doubt(moment(1_500, 0), contact).is_some());
}
