//! Splits the watch's byte stream into endpoint lists.

use serde::de::IgnoredAny;

use crate::http::EndpointListUpdate;

/// The maximum length in bytes of a line or a list. Longer data cannot be an endpoint list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// The result of decoding a line.
pub(super) enum DecodedLine {
    /// The line is part of a list on several lines that is not complete yet.
    Incomplete,
    /// The line is empty, or completes a list that cannot be parsed and was skipped.
    WithoutList,
    /// The line completes this list.
    List(EndpointListUpdate),
}

/// Decodes endpoint lists. Each list stands on one line or, indented, on several lines.
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

    /// Whether the current line or list is longer than [`MAX_LIST_BYTES`].
    pub(super) fn is_over_limit(&self) -> bool {
        self.line.len().max(self.incomplete_list.len()) > MAX_LIST_BYTES
    }

    /// Decodes the next line. Returns `None` if the line is not complete yet.
    pub(super) fn next(&mut self) -> Option<DecodedLine> {
        let end = self.line.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.line.drain(..=end).collect();
        let list = self.complete_list(&line).and_then(|text| parse_list(&text));
        if !self.incomplete_list.is_empty() {
            return Some(DecodedLine::Incomplete);
        }
        Some(list.map_or(DecodedLine::WithoutList, DecodedLine::List))
    }

    /// Returns the text of a list if this line completes one.
    ///
    /// In an indented list, only the first line, and the last if it is a brace alone, begin with a brace. If
    /// a first line follows a list that is not complete, that list was cut off and is skipped: otherwise all
    /// following lines would be read as parts of it.
    fn complete_list(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let text = line.trim_ascii();
        if text.is_empty() {
            return None;
        }
        let begins_list = line.first() == Some(&b'{');
        if begins_list && !self.incomplete_list.is_empty() {
            log::warn!(
                event = "line_skipped";
                "skipped an endpoint list from discovery: another list began before its end"
            );
            self.incomplete_list.clear();
        }
        let is_first_line = self.incomplete_list.is_empty();
        self.incomplete_list.extend(line);
        // The last brace may follow others on its line, as in the protocol's examples. Within a list only the
        // last line of an object ends in a brace, so that little text is parsed twice.
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
                log::warn!(
                    event = "entry_skipped";
                    "skipped an invalid entry of the endpoint list from discovery: {skipped}"
                );
            }
            Some(list)
        }
        Err(error) => {
            log::warn!(
                event = "line_skipped";
                "skipped an endpoint list from discovery that cannot be parsed: {error}"
            );
            None
        }
    }
}
