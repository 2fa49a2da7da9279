//! granitelb: which cache server gets which API call. Start reading at [`brain`].

pub mod brain;
pub mod calls;
pub mod decay;
pub mod ids;
pub mod settings;
pub mod units;
