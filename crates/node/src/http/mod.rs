//! The middle layer: HTTP/1.1 messages and discovery's endpoint lists.
//!
//! Messages are parsed from ring buffers as their bytes arrive, and written into ring buffers. This layer
//! knows what a message contains; it knows nothing of requests in progress, attempts or endpoints.

mod endpoint_list;
mod message;
mod message_decoder;
mod parser;
mod syntax;
mod writer;

pub use endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointState, SkippedEntry};
pub use message::{Message, MessageHead, MessageKind, ParseError};
pub use message_decoder::MessageDecoder;
pub use parser::{MessagePart, Parser};
pub use writer::{write_local_reply, write_request, write_response};
