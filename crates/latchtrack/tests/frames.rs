//! Encoding and decoding of frames between nodes.

use latchtrack::wire::peers::{decode, encode, Frame, JobCounts, PeerRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[test]
fn frames_round_trip_and_corrupt_frames_are_handled() {
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
        // Decoding must not panic, and the result must be bounded by the input's size.
        if let Some(Frame::Progress { jobs, .. }) = decode(&noise) {
            assert!(jobs.len() * 3 <= noise.len());
        }
    }
    let request = Frame::Request { id: 3, request: PeerRequest::Submit(vec![b'{'; 70]) };
    assert_eq!(decode(&encode(&request).unwrap()), Some(request));
    // A length prefix beyond the end of the input is rejected.
    let mut truncated =
        encode(&Frame::Request { id: 1, request: PeerRequest::Query("x".into()) }).unwrap();
    let length_index = truncated.len() - 2;
    truncated[length_index] = 252;
    assert_eq!(decode(&truncated), None);
}
