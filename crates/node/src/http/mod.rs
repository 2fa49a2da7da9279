//! The protocol layer: HTTP/1.1 messages and discovery's endpoint lists.
//!
//! Messages are parsed from ring buffers as their bytes arrive, and are written into ring buffers. This layer
//! handles the content of messages. Requests in progress, attempts and connections to endpoints belong to the
//! layer above.

mod endpoint_list;
mod headers;
mod heap_size;
mod message;
mod message_decoder;
mod parser;
mod request_defect;
mod request_target;
mod request_validation;
mod syntax;
mod writer;

pub use endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointState, SkippedEntry};
pub use headers::Headers;
pub(crate) use heap_size::allocation_bytes;
pub use message::{Message, MessageHead, MessageKind, PROTOCOL_HEADERS, ParseError};
pub use message_decoder::MessageDecoder;
pub use parser::{MessagePart, Parser};
pub use request_defect::RequestDefect;
pub use request_target::RequestTarget;
pub use syntax::{HostAndPort, is_token, trim_whitespace};
pub use writer::{write_local_reply, write_request, write_response};
