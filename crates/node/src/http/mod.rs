//! The middle layer's words: HTTP/1.1 messages and discovery's lists, read as they come in and written into
//! ring buffers. It knows what a message says, and nothing of calls, shots or caches.

mod listing;
mod message;
mod reader;
mod writer;

pub use listing::{Entry, Listings, State};
pub use message::{Fault, Head, Message, Side};
pub use reader::{Assembler, Piece, Reader};
pub use writer::{write_answer, write_call, write_plain};
