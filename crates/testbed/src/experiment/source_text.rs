//! Line numbers in an experiment file's text, for error messages.

/// The text of an experiment file. Lines are counted from 1.
pub(super) struct SourceText<'a> {
    text: &'a str,
}

impl<'a> SourceText<'a> {
    pub(super) fn new(text: &'a str) -> SourceText<'a> {
        SourceText { text }
    }

    pub(super) fn first_line(&self) -> usize {
        1
    }

    /// The line that contains a byte offset.
    pub(super) fn line_of_offset(&self, offset: usize) -> usize {
        let before = &self.text[..offset.min(self.text.len())];
        before.matches('\n').count() + 1
    }

    /// The first line from `from_line` on that assigns a key; `from_line` itself if no line does.
    ///
    /// Assumes at most one assignment per line.
    pub(super) fn line_of_key(&self, from_line: usize, key: &str) -> usize {
        let assigns_key = |line: &str| line.split_once('=').is_some_and(|(name, _)| name.trim() == key);
        let mut numbered = self.text.lines().zip(1..).skip(from_line - 1);
        match numbered.find(|(line, _)| assigns_key(line)) {
            Some((_, number)) => number,
            None => from_line,
        }
    }
}
