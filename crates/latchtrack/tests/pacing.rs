//! How nodes share the rate limits of the state service, including unannounced decreases.

use latchtrack::actors::store::pacing::{TokenBucket, WriteLimits, WriteShare};
use latchtrack::constants::USABLE_LIMIT_FRACTION;

/// Counts of accepted writes, by node, and of refused writes.
struct Outcome {
    accepted: [u32; 5],
    refused: u32,
}

/// Simulates five nodes that share one limit, and counts writes for a minute from `from_s` on. The
/// first node leads. `demand` is in writes per second by node; `limit_at` is the service's limit.
fn simulate(
    demand: [f64; 5],
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
    let mut outcome = Outcome { accepted: [0; 5], refused: 0 };
    for step in 0..(from_s + 60) * 100 {
        let limit = limit_at(step / 100);
        service = (service + limit / 100.0).min(limit);
        let counts = step >= from_s * 100;
        for (n, (write_share, tokens, queue)) in nodes.iter_mut().enumerate() {
            *queue += demand[n] / 100.0;
            *tokens = (*tokens + write_share.rate(step * 10) / 100.0).min(write_share.burst());
            if *queue < 1.0 {
                continue;
            }
            if *tokens < 1.0 {
                write_share.record_wait();
            } else if service >= 1.0 {
                service -= 1.0;
                *tokens -= 1.0;
                *queue -= 1.0;
                outcome.accepted[n] += u32::from(counts);
            } else {
                write_share.record_refusal();
                *tokens = 0.0;
                outcome.refused += u32::from(counts);
            }
        }
    }
    outcome
}

/// A node can use what the others leave, and if the total demand exceeds the limit, few writes are
/// refused.
#[test]
fn unused_shares_are_used_within_the_limit() {
    let limits = WriteLimits { current: 15.0, lower: 15.0 };
    // The leader's own share is 4.5 writes per second.
    let Outcome { accepted, refused } = simulate([9.0, 0.5, 0.5, 0.5, 0.5], limits, 0, |_| 15.0);
    assert!(accepted[0] >= 9 * 60 - 30 && refused == 0, "{accepted:?}, {refused} refused");
    let Outcome { accepted, refused } = simulate([20.0; 5], limits, 0, |_| 15.0);
    let total: u32 = accepted.iter().sum();
    assert!((810..=915).contains(&total) && refused < 120, "{accepted:?}, {refused} refused");
    assert!(accepted.iter().all(|n| *n >= 100), "{accepted:?}");
}

/// After an unannounced decrease, nodes detect the lower limit from refusals. From then on, few
/// writes are refused and all nodes make progress.
#[test]
fn an_unannounced_lower_limit_is_detected() {
    let limit_at = |s| if s < 30 { 35.0 } else { 14.0 };
    let aware = WriteLimits { current: 35.0, lower: 14.0 };
    let Outcome { accepted, refused } = simulate([20.0; 5], aware, 60, limit_at);
    let total: u32 = accepted.iter().sum();
    assert!(total >= 14 * 50 && refused < 120, "{accepted:?}, {refused} refused");
    assert!(accepted.iter().all(|n| *n >= 80), "{accepted:?}");
    // Nodes that do not expect a lower limit get several times as many refusals.
    let unaware = WriteLimits { current: 35.0, lower: 35.0 };
    let Outcome { refused: refused_unaware, .. } = simulate([20.0; 5], unaware, 60, limit_at);
    assert!(refused_unaware > 3 * refused.max(1), "{refused_unaware} vs {refused}");
}

/// A limit that has not decreased must not be mistaken for the lower one.
#[test]
fn an_unchanged_limit_is_used_in_full() {
    let limits = WriteLimits { current: 35.0, lower: 14.0 };
    let Outcome { accepted, .. } = simulate([20.0, 3.0, 3.0, 3.0, 3.0], limits, 0, |_| 35.0);
    let total: u32 = accepted.iter().sum();
    assert!(total >= 28 * 60, "{accepted:?}");
}

#[test]
fn a_token_bucket_never_exceeds_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 0);
    for _ in 0..10 {
        assert_eq!(bucket.wait_ms(1.0), None);
        bucket.take(1.0);
    }
    assert_eq!(bucket.wait_ms(1.0), Some(101));
    bucket.refill(1_000);
    // A batch larger than the bucket passes when it is full, and leaves a debt to refill.
    assert_eq!(bucket.wait_ms(12.0), None);
    bucket.take(12.0);
    assert!(bucket.wait_ms(1.0).unwrap() >= 300);
}
