//! granitelb: which cache server gets which API call. Start reading at [`balancer`].

pub mod balancer;
pub mod calls;
pub mod decaying;
pub mod ids;
mod pending_request;
mod seeded_hash;
pub mod settings;
pub mod slot_table;
pub mod time;
