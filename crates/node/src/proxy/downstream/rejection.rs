//! Why the node answers a message itself instead of passing it to the balancer.

use std::fmt;

use super::request_decoder::RequestError;
use crate::http::{ParseError, RequestDefect};
use crate::proxy::request_ids::RequestIdError;

/// Why a message is answered with an error. Nothing is forwarded for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// It is not certain where the message ends.
    Unparsable(ParseError),
    /// The head violates HTTP.
    Defective(RequestDefect),
    /// The request violates the protocol between clients and nodes.
    NotServed(RequestError),
    /// The request's identifier cannot be used.
    RequestId(RequestIdError),
    /// The message was not complete in time.
    Incomplete,
    /// As many requests are pending as the node can hold.
    Overloaded,
    /// The time of the request had passed before its turn came.
    Expired,
}

impl Rejection {
    /// The status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            Rejection::Unparsable(error) => error.status(),
            Rejection::Defective(defect) => defect.status(),
            Rejection::NotServed(error) => error.status(),
            // The request may have been executed, so that the response must not promise the opposite.
            Rejection::RequestId(RequestIdError::Pending | RequestIdError::Held | RequestIdError::Used) => {
                409
            }
            Rejection::Incomplete => 408,
            Rejection::RequestId(RequestIdError::NoCapacity) | Rejection::Overloaded | Rejection::Expired => {
                503
            }
        }
    }

    /// Whether the same request may succeed later. Only a lack of capacity passes with time.
    pub(super) fn is_temporary(self) -> bool {
        self.status() == 503
    }

    /// Whether the connection can carry further requests after the response. Otherwise it is not certain where
    /// the next request begins, or the connection itself is what the node lacks.
    pub(super) fn keeps_connection(self) -> bool {
        !matches!(self, Rejection::Unparsable(_) | Rejection::Incomplete | Rejection::Overloaded)
    }

    /// The name of the reason in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Rejection::Unparsable(ParseError::Malformed) => "malformed",
            Rejection::Unparsable(ParseError::HeadTooLarge) => "head-too-large",
            Rejection::Unparsable(ParseError::BodyTooLarge) => "body-too-large",
            Rejection::Unparsable(ParseError::LengthRequired) => "length-required",
            Rejection::Defective(defect) => defect.name(),
            Rejection::NotServed(error) => error.name(),
            Rejection::RequestId(RequestIdError::Pending) => "request-id-pending",
            Rejection::RequestId(RequestIdError::Held) => "request-id-held",
            Rejection::RequestId(RequestIdError::Used) => "request-id-used",
            Rejection::RequestId(RequestIdError::NoCapacity) => "no-request-id-capacity",
            Rejection::Incomplete => "incomplete",
            Rejection::Overloaded => "overloaded",
            Rejection::Expired => "expired",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
