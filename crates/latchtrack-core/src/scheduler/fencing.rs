//! The fencing tokens of a term.
//!
//! A worker rejects every message whose token is lower than the highest that it has seen. A term
//! begins with the revision of its leader key as its token. A write that is conditional on that key
//! shows that no other leader was elected up to the revision of the write, so all tokens up to that
//! revision belong to this term: the tokens of earlier leaders are lower, those of later leaders
//! are higher. The leader raises the token of a single machine to make it reject late copies of all
//! direct calls that carried lower tokens.

use crate::machine::Machine;

/// The range of fencing tokens that belong to a term.
#[derive(Clone, Copy, Debug)]
pub(super) struct FencingTokens {
    /// The revision of the leader key.
    term: u64,
    /// The highest revision of a write that was conditional on the leader key.
    highest: u64,
}

impl FencingTokens {
    /// Creates the range of a term that has not written anything yet.
    pub fn new(term: u64) -> Self {
        FencingTokens { term, highest: term }
    }

    /// Returns the lowest token of the term, the revision of its leader key.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Extends the range to the revision of a committed write that was conditional on the leader
    /// key.
    pub fn write_committed(&mut self, revision: u64) {
        self.highest = self.highest.max(revision);
    }

    /// Whether a token was issued by an earlier leader, or by none.
    pub fn is_older(&self, token: u64) -> bool {
        token < self.term
    }

    /// Whether a token was issued by a later leader. Tokens of this term never exceed the range.
    pub fn is_newer(&self, token: u64) -> bool {
        token > self.highest
    }

    /// Returns the token of the next message to a machine.
    pub fn of(&self, machine: &Machine) -> u64 {
        machine.fencing_token.max(self.term)
    }

    /// Returns the next token above the given one, or `None` if the range does not have it yet.
    pub fn above(&self, token: u64) -> Option<u64> {
        (token < self.highest).then_some(token + 1)
    }
}
