//! What a message is.

/// Which side's messages are read: those that ask, or those that answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Asking,
    Answering,
}

/// A start line and the headers after it.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Of one that asks.
    pub method: String,
    pub target: String,
    /// Of one that answers.
    pub status: u16,
    /// Whether the sender goes on with the connection afterwards.
    pub keeps: bool,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    /// The first value under this name, where it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// The one value under this name. Where there are two, or one that is no text, each reader would go by another.
    pub fn only(&self, name: &str) -> Result<Option<&str>, Fault> {
        match self.values(name).count() {
            0 => Ok(None),
            1 => self.text(name).map(Some).ok_or(Fault::Malformed),
            _ => Err(Fault::Malformed),
        }
    }

    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| &v[..])
    }

    /// Whether a header that lists words names this one.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let mut words = self.values(name).flat_map(|v| v.split(|b| *b == b','));
        words.any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// The parts of the path, without the query.
    pub fn path(&self) -> impl DoubleEndedIterator<Item = &str> {
        let path = self.target.split(['?', '#']).next().unwrap_or_default();
        path.split('/').filter(|part| !part.is_empty())
    }

    /// The headers that are meant for whoever the message is for in the end, not for the next hop alone.
    pub fn passed_on(&self) -> impl Iterator<Item = (&str, &[u8])> {
        const NEXT_HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "x-timeout-ms",
        ];
        let named = |n: &str| self.lists("connection", n);
        let kept = move |n: &str| !NEXT_HOP.iter().any(|h| n.eq_ignore_ascii_case(h)) && !named(n);
        self.headers.iter().filter(move |(n, _)| kept(n)).map(|(n, v)| (&n[..], &v[..]))
    }
}

/// A whole message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed,
    HeadTooLong,
    BodyTooLong,
}

impl Fault {
    /// The status that tells its sender.
    pub fn status(self) -> u16 {
        match self {
            Fault::Malformed => 400,
            Fault::BodyTooLong => 413,
            Fault::HeadTooLong => 431,
        }
    }
}
