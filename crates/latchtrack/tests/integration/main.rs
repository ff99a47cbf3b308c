//! Integration tests of the interfaces to users and workers, over real sockets on loopback.

mod answers;
mod cloud;
mod connections;
mod fixtures;
mod gangs;
mod heartbeats;
mod leadership;
mod status;
mod store_outages;
mod submissions;
