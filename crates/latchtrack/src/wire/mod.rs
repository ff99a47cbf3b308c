//! The messages of the protocol, and the values in the state service. The protocol's own words are
//! mapped to the terms of `docs/glossary.md` here, by serde rename, and nowhere else.

pub mod cloud;
pub mod peers;
pub mod quota;
pub mod records;
pub mod status;
pub mod store;
pub mod users;
pub mod workers;
