//! No sequence of attempts runs a request more often than it may, or says untruthfully that it has not run.

use carob_dispatch::{
    outcome::{Attempt, Next, next},
    table::Kind,
};
use proptest::prelude::*;

fn attempt() -> impl Strategy<Value = Attempt> {
    prop::sample::select(vec![
        Attempt::Unsent,
        Attempt::Rejected,
        Attempt::Failed,
        Attempt::Unknown,
    ])
}

proptest! {
    #[test]
    fn outcomes_are_truthful(
        kind in prop::sample::select(vec![Kind::Safe, Kind::Unsafe, Kind::Stream]),
        attempts in 1..4u32,
        sequence in prop::collection::vec(attempt(), 1..20),
    ) {
        let (mut ran, mut rejected) = (0, 0);
        for attempt in sequence {
            match attempt {
                Attempt::Unsent | Attempt::Rejected => rejected += 1,
                Attempt::Failed | Attempt::Unknown => ran += 1,
            }
            let most = if kind == Kind::Safe { attempts } else { 1 };
            prop_assert!(ran <= most);
            match next(kind, attempt, ran, rejected, attempts) {
                Next::Again { .. } => {}
                Next::Refuse => {
                    prop_assert_eq!(ran, 0);
                    return Ok(());
                }
                Next::Pass => {
                    prop_assert_eq!(attempt, Attempt::Failed);
                    return Ok(());
                }
                Next::Unclear => {
                    prop_assert!(ran > 0);
                    return Ok(());
                }
            }
        }
    }
}

#[test]
fn attempts_end() {
    let mut rejected = 0;
    while let Next::Again { .. } = next(Kind::Safe, Attempt::Rejected, 0, rejected, 9) {
        rejected += 1;
        assert!(rejected < 10, "rejections end");
    }
}
