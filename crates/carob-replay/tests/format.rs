//! The text of traces.

use carob_replay::{
    format::{Error, LineError, parse, write},
    generate::{Deployment, Scenario, Spec},
};
use std::time::Duration;

#[test]
fn written_traces_read_back_the_same() {
    for scenario in [Scenario::Day, Scenario::Lost, Scenario::Stale] {
        let trace = Spec::new(Deployment::Tandyr, scenario, 3)
            .with_span(Duration::from_secs(5))
            .trace();
        let text = write(&trace);
        let back = parse(&text).expect("written traces are valid");
        assert_eq!(write(&back), text);
        assert_eq!(back.requests, trace.requests);
        assert_eq!(back.faults, trace.faults);
    }
}

#[test]
fn faults_name_the_line_and_the_field() {
    let error = |text: &str| parse(text).expect_err("the trace is invalid");
    assert_eq!(
        error("carobhaven-trace 9"),
        Error {
            line: 1,
            cause: LineError::Version
        }
    );
    let missing = error("carobhaven-trace 1\n\naccount a share=1");
    assert_eq!(
        missing,
        Error {
            line: 3,
            cause: LineError::Missing("max_open")
        }
    );
    let value = error("carobhaven-trace 1\nexpect stall_s <= much");
    assert_eq!(value.cause, LineError::Value("value", "much".to_owned()));
    let kind = error("carobhaven-trace 1\nnonsense");
    assert_eq!(kind.cause, LineError::Kind("nonsense".to_owned()));
}
