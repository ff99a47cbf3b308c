//! Whether a write of records is under way.

/// One write at a time, each with everything that has changed before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteState {
    /// Nothing is being written.
    Idle,
    /// A write is under way.
    InFlight,
    /// A write is under way, and the scheduler has more to write.
    InFlightMoreWaiting,
    /// A write has failed. The scheduler hears of it after a backoff, and then asks for the next.
    Backoff,
}

/// What waits when a write is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterWrite {
    /// Nothing.
    NothingWaiting,
    /// The scheduler asked for a write meanwhile.
    MoreWaiting,
}

impl WriteState {
    /// Whether a write may begin; if not, it is remembered that one is wanted.
    pub(super) fn may_begin(&mut self) -> bool {
        if *self == WriteState::InFlight {
            *self = WriteState::InFlightMoreWaiting;
        }
        *self == WriteState::Idle
    }

    /// A write begins.
    pub(super) fn begin(&mut self) {
        *self = WriteState::InFlight;
    }

    /// A write, or the backoff after it, is over.
    pub(super) fn finish(&mut self) -> AfterWrite {
        match std::mem::replace(self, WriteState::Idle) {
            WriteState::InFlightMoreWaiting => AfterWrite::MoreWaiting,
            _ => AfterWrite::NothingWaiting,
        }
    }

    /// No other write begins until the backoff is over.
    pub(super) fn back_off(&mut self) {
        *self = WriteState::Backoff;
    }

    /// What an earlier term wanted written is of no use any more.
    pub(super) fn forget_waiting(&mut self) {
        if *self == WriteState::InFlightMoreWaiting {
            *self = WriteState::InFlight;
        }
    }
}
