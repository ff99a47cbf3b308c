//! Frames between the nodes.

use latchtrack::wire::peers::{decode, encode, Frame, JobCounts, PeerRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[test]
fn frames_survive_and_noise_does_not() {
    let frame = Frame::Progress {
        token: 7,
        jobs: vec![
            JobCounts { job: 1, done: 2, running: 3 },
            JobCounts { job: u64::MAX, done: 0, running: 9 },
        ],
        overdue: vec!["n-1".into()],
    };
    let bytes = encode(&frame).unwrap();
    assert_eq!(decode(&bytes), Some(frame));
    assert_eq!(decode(&bytes[..bytes.len() - 1]), None);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2000 {
        let mut noise = bytes.clone();
        for _ in 0..3 {
            let at = rng.random_range(0..noise.len());
            noise[at] = rng.random();
        }
        // Whatever comes out, reading it neither panics nor takes more than the bound.
        if let Some(Frame::Progress { jobs, .. }) = decode(&noise) {
            assert!(jobs.len() * 3 <= noise.len());
        }
    }
    let ask = Frame::Request { id: 3, request: PeerRequest::Submit(vec![b'{'; 70]) };
    assert_eq!(decode(&encode(&ask).unwrap()), Some(ask));
    // A length that promises more than there is must not be believed.
    let mut huge =
        encode(&Frame::Request { id: 1, request: PeerRequest::Query("x".into()) }).unwrap();
    let last = huge.len() - 2;
    huge[last] = 252;
    assert_eq!(decode(&huge), None);
}
