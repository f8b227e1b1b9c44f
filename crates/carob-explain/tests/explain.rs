//! Lines are read, put in one order and explained, with clocks apart and broken lines between them.

use carob_explain::{Record, align, conclude, read};

fn line(instance: &str, time: i64, message: &str, fields: &str) -> String {
    format!(
        "{instance} {{\"ts\":{time},\"up\":{},\"level\":\"INFO\",\"part\":\"p\",\"msg\":\"{message}\"{fields}}}\n",
        time % 100_000
    )
}

fn explain(records: &[Record], request: &str) -> String {
    let lines: Vec<&Record> = records
        .iter()
        .filter(|record| record.has("request", request))
        .collect();
    conclude(&lines, records)
}

#[test]
fn broken_and_foreign_lines_are_skipped_and_counted() {
    let text = format!(
        "not ours\n{}{{\"ts\":\"yesterday\"}}\n{{\"ts\":1,\"up\":2,\"msg\":\"half\n\n{{\"msg\":\"no time\"}}\n",
        line("n1", 5, "starting", "")
    );
    let found = read(&text, "file");
    assert_eq!((found.records.len(), found.skipped), (1, 4));
    assert_eq!(found.records[0].instance, "n1");
}

#[test]
fn a_file_names_the_instance_if_its_lines_do_not() {
    let text = line("", 5, "starting", "");
    assert_eq!(read(&text, "front-1").records[0].instance, "front-1");
}

/// One instance's clock is nine seconds ahead, and another's jumps in the middle.
#[test]
fn clocks_that_differ_are_aligned_by_changes_that_all_see() {
    let mut text = String::new();
    for (number, time) in [(1, 1_000), (2, 2_000), (3, 3_000), (4, 9_000), (5, 9_500)] {
        let fields = format!(",\"version\":{number}");
        text += &line("n1", time, "configuration in force", &fields);
        text += &line("n2", time + 9_010, "configuration in force", &fields);
        let jumped = if number == 5 { 4_000 } else { 5 };
        text += &line("n3", time + jumped, "configuration in force", &fields);
    }
    text += &line("n2", 14_010, "second", "");
    text += &line("n1", 4_000, "first", "");
    text += &line("n3", 6_005, "third", "");
    let mut records = read(&text, "file").records;
    align(&mut records);
    let order: Vec<&str> = records
        .iter()
        .map(|record| record.message.as_str())
        .filter(|message| ["first", "second", "third"].contains(message))
        .collect();
    assert_eq!(order, ["first", "second", "third"]);
}

#[test]
fn a_cut_draft_is_explained_by_its_upstream_and_the_steps_of_its_move() {
    let text = [
        line(
            "n1",
            100,
            "sent to an upstream",
            ",\"request\":\"d1\",\"upstream\":\"e1\",\"version\":7",
        ),
        line(
            "n2",
            900,
            "directory entry",
            ",\"upstream\":\"e1\",\"state\":\"Leaving\",\"born\":1",
        ),
        line(
            "n1",
            1_000,
            "memory copied ahead of a move",
            ",\"request\":\"d1\",\"outcome\":\"NoRoom(None)\"",
        ),
        line(
            "n1",
            2_400,
            "stream ended",
            ",\"request\":\"d1\",\"upstream\":\"e1\",\"outcome\":\"cut\",\"events\":9",
        ),
    ]
    .concat();
    let sentence = explain(&read(&text, "file").records, "d1");
    for part in [
        "cut after 9 events",
        "Instance n2 knew 1500 ms before",
        "NoRoom(None)",
        "Configuration 7",
    ] {
        assert!(sentence.contains(part), "{part} in {sentence}");
    }
}

#[test]
fn a_request_without_lines_did_not_arrive() {
    assert!(explain(&[], "x").contains("did not reach"));
}

/// Recorded on saarela-tukku, day trouble-3.
#[test]
fn the_causes_of_three_recorded_failures_are_found() {
    let text = include_str!("../../../tests/logs/requests.log");
    let mut records = read(text, "file").records;
    align(&mut records);
    let unknown = explain(&records, "aeb7583b13da092a");
    assert!(
        unknown.contains("Unknown at i-e3c9c7a155: connection broke"),
        "{unknown}"
    );
    let cut = explain(&records, "ac65fb9648109292");
    assert!(cut.contains("cut after 40 events"), "{cut}");
    let refused = explain(&records, "0c03a93e37d9a530");
    assert!(
        refused.contains("the instance leaves before the request would end"),
        "{refused}"
    );
}
