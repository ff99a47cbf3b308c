//! Progress of the writes of scheduler records.

/// State of the record writes, of which at most one is in flight at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteState {
    /// No write is in flight.
    Idle,
    /// A write is in flight.
    InFlight,
    /// A write is in flight, and the scheduler has more to write.
    InFlightMoreWaiting,
    /// A write has failed. The scheduler is notified after a delay, and then requests the next
    /// write.
    Backoff,
}

/// What to do after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterWrite {
    /// No write was requested in the meantime.
    NothingWaiting,
    /// The scheduler requested another write in the meantime.
    MoreWaiting,
}

impl WriteState {
    /// Returns whether a write may begin. If one is in flight, records that another is requested.
    pub(super) fn may_begin(&mut self) -> bool {
        if *self == WriteState::InFlight {
            *self = WriteState::InFlightMoreWaiting;
        }
        *self == WriteState::Idle
    }

    /// Marks a write as in flight.
    pub(super) fn begin(&mut self) {
        *self = WriteState::InFlight;
    }

    /// Ends a write or its backoff, and returns whether another write was requested.
    pub(super) fn finish(&mut self) -> AfterWrite {
        match std::mem::replace(self, WriteState::Idle) {
            WriteState::InFlightMoreWaiting => AfterWrite::MoreWaiting,
            _ => AfterWrite::NothingWaiting,
        }
    }

    /// Prevents writes until [`WriteState::finish`] ends the backoff.
    pub(super) fn back_off(&mut self) {
        *self = WriteState::Backoff;
    }

    /// Drops a request for another write, which belongs to an earlier term.
    pub(super) fn forget_waiting(&mut self) {
        if *self == WriteState::InFlightMoreWaiting {
            *self = WriteState::InFlight;
        }
    }
}
