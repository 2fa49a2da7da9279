//! The syntax of a request's attributes, `name=value,name=value`.

use std::collections::HashSet;

use crate::http::{is_token, trim_whitespace};

/// Whether the text is a list of attributes whose names are tokens and differ, with values of visible
/// characters. An empty list has no attributes.
pub(super) fn are_valid_attributes(text: &str) -> bool {
    let mut names = HashSet::new();
    text.is_empty()
        || text.split(',').all(|attribute| attribute_name(attribute).is_some_and(|name| names.insert(name)))
}

/// The name of an attribute; `None` if the attribute violates the syntax.
fn attribute_name(attribute: &str) -> Option<&str> {
    let attribute = std::str::from_utf8(trim_whitespace(attribute.as_bytes())).ok()?;
    let (name, value) = attribute.split_once('=')?;
    let is_value = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_graphic());
    (is_value && is_token(name.as_bytes())).then_some(name)
}
