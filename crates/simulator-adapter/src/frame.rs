//! Reads and writes frames of the wire protocol. All numbers are big-endian.
//!
//! A frame has a length field, a header, records of a fixed size, and a tail for data of variable size.

use std::io::Read;
use std::ops::Range;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;

use crate::error::AdapterError;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
const BATCH_HEADER_BYTES: usize = 12;
const LENGTH_BYTES: u64 = 4;
/// Largest accepted frame in bytes: far above any batch of the simulator, and far below the memory of a
/// machine.
pub const MAX_FRAME_BYTES: usize = 1 << 30;

/// Reads the next frame and returns its bytes after the length field, or `None` at the end of the input.
///
/// # Errors
///
/// Returns an error if the input ends inside the frame, the frame is too long, or reading fails.
pub fn read(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut length = Vec::new();
    input.take(LENGTH_BYTES).read_to_end(&mut length)?;
    if length.is_empty() {
        return Ok(None);
    }
    let Ok(length) = <[u8; 4]>::try_from(&length[..]) else {
        return Err(AdapterError::TruncatedLength);
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(AdapterError::FrameTooLong { length });
    }
    let mut bytes = Vec::new();
    input.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(AdapterError::TruncatedFrame { received: bytes.len(), length });
    }
    Ok(Some(bytes))
}

/// A batch of events.
pub struct Batch<'a> {
    /// The time at which all events of the batch happened, in microseconds.
    pub clock: u64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits the bytes of a frame into header, records and tail.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame ends inside its header or its records.
    pub fn split(bytes: &'a [u8]) -> Result<Batch<'a>, AdapterError> {
        let Some((header, rest)) = bytes.split_at_checked(BATCH_HEADER_BYTES) else {
            return Err(AdapterError::TruncatedHeader { length: bytes.len() });
        };
        let header = Record { bytes: header, position: 0 };
        let count = header.u32(0) as usize;
        let split = count.checked_mul(EVENT_BYTES).and_then(|size| rest.split_at_checked(size));
        let Some((records, tail)) = split else {
            return Err(AdapterError::TruncatedRecords { available: rest.len(), count });
        };
        Ok(Batch { clock: header.u64(4), records, tail })
    }

    /// The event records, in the order of the batch.
    pub fn records(&self) -> impl Iterator<Item = Record<'a>> {
        let chunks = self.records.chunks_exact(EVENT_BYTES);
        chunks.enumerate().map(|(position, bytes)| Record { bytes, position })
    }

    /// The part of the tail that a record refers to.
    ///
    /// The record's field at `field_offset` is the offset of the part in the tail, in bytes. The next field
    /// is the length of the part, in units of `unit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the part is not inside the tail.
    pub fn tail(
        &self,
        record: Record<'_>,
        field_offset: usize,
        unit: usize,
    ) -> Result<&'a [u8], AdapterError> {
        let offset = record.u32(field_offset) as usize;
        let count = record.u32(field_offset + 4) as usize;
        let part = tail_range(offset, count, unit).and_then(|range| self.tail.get(range));
        part.ok_or(AdapterError::OutsideTail {
            record: record.position,
            count,
            unit,
            offset,
            size: self.tail.len(),
        })
    }
}

fn tail_range(offset: usize, count: usize, unit: usize) -> Option<Range<usize>> {
    let size = count.checked_mul(unit)?;
    Some(offset..offset.checked_add(size)?)
}

/// An event or an entry of an endpoint list. Its fields are read by their byte offsets.
#[derive(Clone, Copy)]
pub struct Record<'a> {
    /// The encoded fields.
    pub bytes: &'a [u8],
    /// The position of the event in the batch; for a list entry, that of the event which defines the list.
    pub position: usize,
}

impl Record<'_> {
    fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        self.bytes[offset..offset + N].try_into().expect("the range has N bytes")
    }

    /// The unsigned integer in the byte at `offset`.
    pub fn u8(self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    /// The unsigned integer in the two bytes at `offset`.
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.array(offset))
    }

    /// The unsigned integer in the four bytes at `offset`.
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.array(offset))
    }

    /// The unsigned integer in the eight bytes at `offset`.
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.array(offset))
    }

    /// The floating-point number in the four bytes at `offset`.
    pub fn f32(self, offset: usize) -> f32 {
        f32::from_be_bytes(self.array(offset))
    }

    /// The endpoint in the six bytes at `offset`: four bytes of address and two of port.
    pub fn endpoint(self, offset: usize) -> EndpointId {
        EndpointId(u64::from(self.u32(offset)) << 16 | u64::from(self.u16(offset + 4)))
    }
}

/// A reply to a batch, which is built by appending actions.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends an action of a node. `fields` are written one after the other, without gaps.
    pub fn push(&mut self, code: u16, node: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.extend(code.to_be_bytes());
        self.records.extend(node.to_be_bytes());
        for field in fields {
            self.records.extend(*field);
        }
        debug_assert!(self.records.len() <= end, "the fields fit an action");
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Encodes the reply as a frame, including the length field.
    pub fn encode(self) -> Vec<u8> {
        let length = (4 + self.records.len()) as u32;
        [&length.to_be_bytes()[..], &self.count.to_be_bytes(), &self.records].concat()
    }
}

/// The six bytes of an endpoint's address and port.
pub fn endpoint_bytes(endpoint: EndpointId) -> [u8; 6] {
    let [_, _, bytes @ ..] = endpoint.0.to_be_bytes();
    bytes
}

/// Encodes a span in microseconds in 32 bits. A span that is longer than the field can hold, a little more
/// than an hour, is encoded as the largest value.
pub fn span_bytes(span: Span) -> [u8; 4] {
    u32::try_from(span.0).unwrap_or(u32::MAX).to_be_bytes()
}
