//! The notation's words.

/// The value of `name=value` among the words.
pub fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

/// The text that follows the verb and its first word.
pub fn trailing(line: &str) -> &str {
    line.splitn(3, ' ').nth(2).unwrap_or_default()
}

/// The bytes that a text with escapes stands for.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('\\') {
        out.extend(before.as_bytes());
        let (byte, skipped) = match &after[..1] {
            "r" => (b'\r', 1),
            "n" => (b'\n', 1),
            "s" => (b' ', 1),
            "x" => (u8::from_str_radix(&after[1..3], 16).expect("two digits"), 3),
            // A run: \*300a is three hundred letters a.
            "*" => {
                let digits = after[1..].find(|c: char| !c.is_ascii_digit()).expect("a letter");
                let count = after[1..=digits].parse().expect("a count");
                out.extend(vec![after.as_bytes()[digits + 1]; count]);
                rest = &after[digits + 2..];
                continue;
            }
            other => panic!("no escape {other}"),
        };
        out.push(byte);
        rest = &after[skipped..];
    }
    out.extend(rest.as_bytes());
    out
}
