//! Frames between the nodes, in bincode.

use bincode::{Decode, Encode};

/// What one node says to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum Frame {
    /// The leader's counts of tasks done and running, for display.
    Progress { token: u64, jobs: Vec<(u64, u32, u32)> },
}

/// Writes a frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::encode_to_vec(frame, bincode::config::standard())
}

/// Reads a frame; nothing may be left over, and lengths are bounded before memory is taken.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    let config = bincode::config::standard().with_limit::<{ crate::constants::FRAME_BYTES }>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((frame, used)) if used == bytes.len() => Some(frame),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    #[test]
    fn frames_survive_and_noise_does_not() {
        let frame = Frame::Progress { token: 7, jobs: vec![(1, 2, 3), (u64::MAX, 0, 9)] };
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
    }
}
