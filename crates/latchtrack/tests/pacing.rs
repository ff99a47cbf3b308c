//! How nodes share the limits of the state service, also when these are lowered without notice.

use latchtrack::actors::store::pacing::{TokenBucket, WriteLimits, WriteShare};
use latchtrack::constants::USABLE_LIMIT_FRACTION;

/// Writes made and refused in a run.
struct Outcome {
    made: [u32; 5],
    refused: u32,
}

/// Five nodes on one limit for a minute from `from_s` on, the first of them leading, each with so
/// many writes a second to make. `limit_at` is what the service takes.
fn share(
    needs: [f64; 5],
    limits: WriteLimits,
    from_s: u64,
    limit_at: impl Fn(u64) -> f64,
) -> Outcome {
    let mut nodes: Vec<(WriteShare, f64, f64)> = (0..5)
        .map(|n| {
            let parts = if n == 0 { 2.0 } else { 1.0 };
            (WriteShare::new(limits, USABLE_LIMIT_FRACTION * parts / 6.0, 0), 0.0, 0.0)
        })
        .collect();
    let mut service = limits.current;
    let mut outcome = Outcome { made: [0; 5], refused: 0 };
    for step in 0..(from_s + 60) * 100 {
        let limit = limit_at(step / 100);
        service = (service + limit / 100.0).min(limit);
        let counts = step >= from_s * 100;
        for (n, (write_share, have, queue)) in nodes.iter_mut().enumerate() {
            *queue += needs[n] / 100.0;
            *have = (*have + write_share.rate(step * 10) / 100.0).min(write_share.burst());
            if *queue < 1.0 {
                continue;
            }
            if *have < 1.0 {
                write_share.record_wait();
            } else if service >= 1.0 {
                service -= 1.0;
                *have -= 1.0;
                *queue -= 1.0;
                outcome.made[n] += u32::from(counts);
            } else {
                write_share.record_refusal();
                *have = 0.0;
                outcome.refused += u32::from(counts);
            }
        }
    }
    outcome
}

/// What one needs it gets if the others leave it, and if all need more than there is, few are
/// refused.
#[test]
fn what_others_leave_is_used_and_the_limit_is_kept() {
    let limits = WriteLimits { current: 15.0, lower: 15.0 };
    // The leader alone would have 4.5 a second by its share.
    let Outcome { made, refused } = share([9.0, 0.5, 0.5, 0.5, 0.5], limits, 0, |_| 15.0);
    assert!(made[0] >= 9 * 60 - 30 && refused == 0, "{made:?}, {refused} refused");
    let Outcome { made, refused } = share([20.0; 5], limits, 0, |_| 15.0);
    let all: u32 = made.iter().sum();
    assert!((810..=915).contains(&all) && refused < 120, "{made:?}, {refused} refused");
    assert!(made.iter().all(|n| *n >= 100), "{made:?}");
}

/// Lowered without notice, the limit is found by the refusals: later hardly a write is refused,
/// and nobody is kept from writing.
#[test]
fn a_lowered_limit_is_found_and_kept() {
    let limit_at = |s| if s < 30 { 35.0 } else { 14.0 };
    let told = WriteLimits { current: 35.0, lower: 14.0 };
    let Outcome { made, refused } = share([20.0; 5], told, 60, limit_at);
    let all: u32 = made.iter().sum();
    assert!(all >= 14 * 50 && refused < 120, "{made:?}, {refused} refused");
    assert!(made.iter().all(|n| *n >= 80), "{made:?}");
    // Who does not take the refusals for what they are has many times as many.
    let untold = WriteLimits { current: 35.0, lower: 35.0 };
    let Outcome { refused: many, .. } = share([20.0; 5], untold, 60, limit_at);
    assert!(many > 3 * refused.max(1), "{many} against {refused}");
}

/// A limit that is not lowered is not taken for lower by chance.
#[test]
fn an_unchanged_limit_is_used_in_full() {
    let limits = WriteLimits { current: 35.0, lower: 14.0 };
    let Outcome { made, .. } = share([20.0, 3.0, 3.0, 3.0, 3.0], limits, 0, |_| 35.0);
    let all: u32 = made.iter().sum();
    assert!(all >= 28 * 60, "{made:?}");
}

#[test]
fn a_bucket_never_gives_more_than_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0);
    for _ in 0..10 {
        assert_eq!(bucket.wait_ms(1.0), None);
        bucket.take(1.0);
    }
    assert_eq!(bucket.wait_ms(1.0), Some(101));
    bucket.refill(1_000);
    // A batch larger than the bucket passes when it is full, and is paid back after.
    assert_eq!(bucket.wait_ms(12.0), None);
    bucket.take(12.0);
    assert!(bucket.wait_ms(1.0).unwrap() >= 300);
}
