//! Splits the watch's byte stream into endpoint lists.

use serde::de::IgnoredAny;

use crate::http::EndpointListUpdate;

/// Bytes of a line or a list: a longer one is not a list of endpoints.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// What a line has completed.
pub(super) enum DecodedLine {
    /// A list, which may go over several lines, is not complete yet.
    Incomplete,
    /// An empty line, or a list that cannot be parsed and was skipped.
    WithoutList,
    /// A list.
    List(EndpointListUpdate),
}

/// Decodes lists that stand on one line each or, indented, on several.
#[derive(Default)]
pub(super) struct LineDecoder {
    /// The bytes of the current line.
    line: Vec<u8>,
    /// The lines of a list that is not complete yet.
    incomplete_list: Vec<u8>,
}

impl LineDecoder {
    /// Adds received bytes.
    pub(super) fn push(&mut self, bytes: Vec<u8>) {
        self.line.extend(bytes);
    }

    /// Whether a line or list exceeds the limit on its size.
    pub(super) fn is_over_limit(&self) -> bool {
        self.line.len().max(self.incomplete_list.len()) > MAX_LIST_BYTES
    }

    /// Decodes the next line, or returns `None` where it is not complete yet.
    pub(super) fn next(&mut self) -> Option<DecodedLine> {
        let end = self.line.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.line.drain(..=end).collect();
        let list = self.complete_list(&line).and_then(|text| parse_list(&text));
        if !self.incomplete_list.is_empty() {
            return Some(DecodedLine::Incomplete);
        }
        Some(list.map_or(DecodedLine::WithoutList, DecodedLine::List))
    }

    /// Returns the text of a list once this line completes it.
    ///
    /// Of an indented list only the first line, and the last where that stands alone, begin with a brace.
    /// What another first line cuts off is skipped, or it would swallow all that follows.
    fn complete_list(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let text = line.trim_ascii();
        if text.is_empty() {
            return None;
        }
        let begins_list = line.first() == Some(&b'{');
        if begins_list && !self.incomplete_list.is_empty() {
            log::warn!(event = "line_skipped"; "skipped an endpoint list that was cut off");
            self.incomplete_list.clear();
        }
        let is_first_line = self.incomplete_list.is_empty();
        self.incomplete_list.extend(line);
        // The last brace may stand behind others, as in the protocol's own examples. No line within a list
        // ends in one but the last of an object, so that little is parsed twice.
        let may_be_complete = is_first_line || text.ends_with(b"}");
        if !may_be_complete || is_truncated_json(&self.incomplete_list) {
            return None;
        }
        Some(std::mem::take(&mut self.incomplete_list))
    }
}

fn is_truncated_json(text: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(text).is_err_and(|error| error.is_eof())
}

fn parse_list(text: &[u8]) -> Option<EndpointListUpdate> {
    match EndpointListUpdate::parse(text.trim_ascii()) {
        Ok(list) => {
            for skipped in &list.skipped {
                log::warn!(event = "entry_skipped"; "skipped an entry of the endpoint list: {skipped}");
            }
            Some(list)
        }
        Err(error) => {
            log::warn!(event = "line_skipped"; "skipped a line of the endpoint list: {error}");
            None
        }
    }
}
