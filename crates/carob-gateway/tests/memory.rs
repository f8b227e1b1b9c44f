//! Slow readers are stopped in the order of what they hold, and cost others nothing.

use std::time::Duration;

use carob_gateway::memory::{Budget, CutReason, Holder};

const MB: usize = 1_000_000;

/// The smallest instance.
const MEMORY: usize = 88 * MB;

fn holder(bytes: usize, unread_ms: u64, behind_ms: u64) -> Holder {
    Holder {
        bytes,
        unread: Duration::from_millis(unread_ms),
        behind: Duration::from_millis(behind_ms),
    }
}

/// All read nothing, at every instance size and number of readers: each fills its allowance, one chunk at a time.
#[test]
fn slow_readers_exhaust_memory_or_stop_a_new_answer() {
    const CHUNK: usize = 16 << 10;
    for memory in [MEMORY, 512 * MB] {
        let budget = Budget::of_memory(memory);
        for count in [1, 24, 300, 1_500] {
            let mut bytes = vec![0; count];
            let mut held = 0;
            loop {
                let before = held;
                for own in &mut bytes {
                    if *own <= budget.allowance(held) {
                        *own += CHUNK;
                        held += CHUNK;
                    }
                }
                if held == before {
                    break;
                }
            }
            let bound = budget.total() + count * CHUNK;
            assert!(held <= bound, "{count} readers hold {held}, bound {bound}");
            if count <= 24 {
                let left = budget.allowance(held);
                assert!(left > 8 << 10, "{count} readers leave {left} bytes to a stream");
            }
        }
    }
}

#[test]
fn a_larger_holder_goes_on_while_a_smaller_one_is_stopped() {
    let budget = Budget::of_memory(MEMORY);
    let allowance = |held| budget.allowance(held);
    assert_eq!(allowance(0), 256 << 10);
    assert!(allowance(10 * MB) < 256 << 10);
    assert_eq!(allowance(12 * MB), 0, "only those that hold nothing are read");
}

#[test]
fn a_reader_that_has_stopped_is_kept_or_one_that_reads_is_cut_off() {
    let budget = Budget::of_memory(MEMORY);
    let holders = [
        holder(50_000, 2_500, 9_000),
        holder(90_000, 2_400, 9_000),
        holder(250_000, 10, 60_000),
        holder(0, 60_000, 60_000),
    ];
    let held = 390_000;
    assert_eq!(budget.choose_cut(held, &holders), [(0, CutReason::Unread)]);
}

#[test]
fn more_readers_than_needed_are_cut_off_while_memory_is_short() {
    let budget = Budget::of_memory(MEMORY);
    // 9 MB of 11 are held, of which 8.25 may be without memory being short.
    let mut holders = vec![holder(100_000, 1_500, 2_000); 20];
    holders[7].bytes = 700_000;
    holders.push(holder(900_000, 500, 9_000));
    let cut = budget.choose_cut(9 * MB, &holders);
    assert_eq!(
        cut,
        [(7, CutReason::UnreadWhileShort), (0, CutReason::UnreadWhileShort)]
    );
    assert!(budget.choose_cut(8 * MB, &holders).is_empty());
}

#[test]
fn a_client_that_keeps_up_is_cut_off_while_memory_is_exhausted() {
    let budget = Budget::of_memory(MEMORY);
    let holders = [
        holder(200_000, 10, 300),
        holder(100_000, 20, 5_000),
        holder(60_000, 30, 5_000),
    ];
    let cut = budget.choose_cut(11_050_000, &holders);
    assert_eq!(cut, [(1, CutReason::SlowWhileFull)]);
    assert!(!budget.is_exhausted(11_050_000), "requests are still taken");
    assert!(budget.is_exhausted(14 * MB));
}
