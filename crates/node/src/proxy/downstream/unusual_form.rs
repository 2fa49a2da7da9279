//! The unusual forms of requests that are accepted.
//!
//! Clients send requests in the form that the protocol shows. A form that it leaves open, or that an RFC obliges servers
//! to take, is accepted only if it is listed here, and is counted by name. All others are refused.

use super::request_decoder::DecodedRequest;
use crate::http::MessageHead;

/// A form of requests that is accepted although clients usually don't send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnusualForm {
    /// A read states the length of its body, zero.
    LengthOfRead,
    /// A length or a time has leading zeros.
    LeadingZeros,
    /// `Host` has a colon and no port.
    EmptyPort,
    /// A segment of the path has a percent-encoded slash.
    EncodedSlash,
    /// The path has a class and no key.
    NoKey,
    /// The client offers another protocol, which is ignored.
    IgnoredUpgrade,
    /// The identifier has other characters than letters, digits, `-`, `_`, `.` and `:`.
    UnusualRequestId,
    /// The estimate of the work is no whole number, or too large, and is ignored.
    IgnoredWorkHint,
}

const ALL_FORMS: [UnusualForm; 8] = [
    UnusualForm::LengthOfRead,
    UnusualForm::LeadingZeros,
    UnusualForm::EmptyPort,
    UnusualForm::EncodedSlash,
    UnusualForm::NoKey,
    UnusualForm::IgnoredUpgrade,
    UnusualForm::UnusualRequestId,
    UnusualForm::IgnoredWorkHint,
];

impl UnusualForm {
    /// The forms that a request has.
    pub(super) fn of<'a>(
        head: &'a MessageHead,
        decoded: &'a DecodedRequest,
    ) -> impl Iterator<Item = UnusualForm> + 'a {
        ALL_FORMS.into_iter().filter(move |form| form.applies_to(head, decoded))
    }

    fn applies_to(self, head: &MessageHead, decoded: &DecodedRequest) -> bool {
        match self {
            UnusualForm::LengthOfRead => !decoded.request.write && head.has_header("content-length"),
            UnusualForm::LeadingZeros => {
                has_leading_zeros(head, "content-length") || has_leading_zeros(head, "x-timeout-ms")
            }
            UnusualForm::EmptyPort => head.header_text("host").is_some_and(|host| host.ends_with(':')),
            UnusualForm::EncodedSlash => head.target.has_encoded_slash(),
            UnusualForm::NoKey => head.target.path_segments().nth(1).is_none(),
            UnusualForm::IgnoredUpgrade => head.has_header("upgrade"),
            UnusualForm::UnusualRequestId => !is_usual_id(decoded.client_request_id.as_str()),
            UnusualForm::IgnoredWorkHint => decoded.request.work.is_none() && head.has_header("x-cost"),
        }
    }

    /// The name of the form in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            UnusualForm::LengthOfRead => "length-of-read",
            UnusualForm::LeadingZeros => "leading-zeros",
            UnusualForm::EmptyPort => "empty-port",
            UnusualForm::EncodedSlash => "encoded-slash",
            UnusualForm::NoKey => "no-key",
            UnusualForm::IgnoredUpgrade => "ignored-upgrade",
            UnusualForm::UnusualRequestId => "unusual-request-id",
            UnusualForm::IgnoredWorkHint => "ignored-work-hint",
        }
    }
}

fn has_leading_zeros(head: &MessageHead, name: &str) -> bool {
    head.header_text(name).is_some_and(|number| number.len() > 1 && number.starts_with('0'))
}

fn is_usual_id(id: &str) -> bool {
    id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte))
}

#[cfg(test)]
mod tests;
