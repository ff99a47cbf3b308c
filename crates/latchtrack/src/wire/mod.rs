//! Messages of the protocol and values in the state service. Protocol field names are mapped to the
//! terms of `docs/glossary.md` only in this module, by serde renames.

pub mod cloud;
pub mod peers;
pub mod quota;
pub mod records;
pub mod status;
pub mod store;
pub mod users;
pub mod workers;
