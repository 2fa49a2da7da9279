//! Frames: a header, records of a fixed size, and a tail for what varies in size. All big-endian.

use std::fmt;
use std::io::{self, Read};
use std::ops::Range;

use granitelb_balancer::ids::EndpointId;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const BATCH_HEADER: usize = 12;
/// Far over any batch seen, and far under what would exhaust a machine.
const MAX_FRAME: usize = 1 << 30;

/// What is wrong with a frame, and where.
#[derive(Debug)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// Reads a frame without its length field; `None` where the input ends before it.
pub fn read(input: &mut impl Read) -> Result<Option<Vec<u8>>, Box<dyn std::error::Error>> {
    let mut length = Vec::new();
    input.take(4).read_to_end(&mut length)?;
    let Ok(length) = <[u8; 4]>::try_from(&length[..]) else {
        if length.is_empty() {
            return Ok(None);
        }
        return Err(Malformed("input ends inside a frame's length".into()).into());
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::other(format!("a frame of {length} bytes is too long")).into());
    }
    let mut bytes = Vec::new();
    input.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(Malformed(format!("input ends after {} of a frame's {length} bytes", bytes.len())).into());
    }
    Ok(Some(bytes))
}

/// A batch of events.
pub struct Batch<'a> {
    pub clock: u64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn split(bytes: &'a [u8]) -> Result<Batch<'a>, Malformed> {
        let Some((header, rest)) = bytes.split_at_checked(BATCH_HEADER) else {
            return Err(Malformed(format!("a batch of {} bytes is shorter than its header", bytes.len())));
        };
        let header = Record { bytes: header, at: 0 };
        let count = header.u32(0) as usize;
        let Some((records, tail)) = count.checked_mul(EVENT_BYTES).and_then(|n| rest.split_at_checked(n))
        else {
            return Err(Malformed(format!("{} bytes can't hold {count} records", rest.len())));
        };
        Ok(Batch { clock: header.u64(4), records, tail })
    }

    pub fn records(&self) -> impl Iterator<Item = Record<'a>> {
        self.records.chunks_exact(EVENT_BYTES).enumerate().map(|(at, bytes)| Record { bytes, at })
    }

    /// The part of the tail that a field names, in units of `unit` bytes.
    pub fn tail(&self, record: Record<'_>, field: usize, unit: usize) -> Result<&'a [u8], Malformed> {
        let (offset, count) = (record.u32(field) as usize, record.u32(field + 4) as usize);
        let range =
            count.checked_mul(unit).and_then(|n| Some(Range { start: offset, end: offset.checked_add(n)? }));
        range.and_then(|r| self.tail.get(r)).ok_or_else(|| {
            let size = self.tail.len();
            Malformed(format!(
                "record {} names {count} x {unit} bytes at {offset} of a tail of {size}",
                record.at
            ))
        })
    }
}

/// One record, or a list entry; fields are read by their place in it.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    pub bytes: &'a [u8],
    /// Its number in the batch.
    pub at: usize,
}

impl Record<'_> {
    fn array<const N: usize>(self, at: usize) -> [u8; N] {
        self.bytes[at..at + N].try_into().expect("the range has N bytes")
    }

    pub fn u8(self, at: usize) -> u8 {
        self.bytes[at]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.array(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.array(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.array(at))
    }

    pub fn f32(self, at: usize) -> f32 {
        f32::from_be_bytes(self.array(at))
    }

    /// Four bytes of address and a port.
    pub fn cache(self, at: usize) -> EndpointId {
        EndpointId(u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4)))
    }
}

/// A reply as it grows.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Adds an action whose fields follow each other.
    pub fn push(&mut self, code: u16, node: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.extend(code.to_be_bytes());
        self.records.extend(node.to_be_bytes());
        for field in fields {
            self.records.extend(*field);
        }
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
        self.count += 1;
    }

    pub fn encode(self) -> Vec<u8> {
        let length = (4 + self.records.len()) as u32;
        [&length.to_be_bytes()[..], &self.count.to_be_bytes(), &self.records].concat()
    }
}

pub fn cache_bytes(cache: EndpointId) -> [u8; 6] {
    let mut bytes = [0; 6];
    bytes.copy_from_slice(&cache.0.to_be_bytes()[2..]);
    bytes
}

/// A span for a field of 32 bits, which holds a little over an hour.
pub fn span_bytes(span: granitelb_balancer::time::Span) -> [u8; 4] {
    u32::try_from(span.0).unwrap_or(u32::MAX).to_be_bytes()
}
