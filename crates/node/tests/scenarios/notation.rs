//! Parsers for the elements of a scenario's lines: options, trailing text, extra headers and escapes.

/// The value of `name=value` among the words.
pub fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// The text that follows the command and its first argument.
pub fn trailing(line: &str) -> &str {
    line.splitn(3, ' ').nth(2).unwrap_or_default()
}

/// The header after ` + `, if there is one.
pub fn extra_header(line: &str) -> Option<&str> {
    line.split_once(" + ").map(|(_, header)| header)
}

/// The bytes that a text with escapes stands for.
pub fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text;
    while let Some((before, escape)) = rest.split_once('\\') {
        bytes.extend(before.as_bytes());
        rest = unescape_one(escape, &mut bytes);
    }
    bytes.extend(rest.as_bytes());
    bytes
}

/// Appends the bytes of the escape at the start of the text, and returns the text after the escape.
fn unescape_one<'a>(escape: &'a str, bytes: &mut Vec<u8>) -> &'a str {
    match &escape[..1] {
        "r" => bytes.push(b'\r'),
        "n" => bytes.push(b'\n'),
        "s" => bytes.push(b' '),
        "x" => {
            bytes.push(u8::from_str_radix(&escape[1..3], 16).expect("two digits"));
            return &escape[3..];
        }
        // A repetition: \*300a stands for the letter a 300 times.
        "*" => {
            let letter = escape[1..].find(|c: char| !c.is_ascii_digit()).expect("a letter") + 1;
            let count = escape[1..letter].parse().expect("a count");
            bytes.extend(vec![escape.as_bytes()[letter]; count]);
            return &escape[letter + 1..];
        }
        other => panic!("unknown escape {other}"),
    }
    &escape[1..]
}
