//! The headers of a message, in compact form.

use super::heap_size::allocation_bytes;

/// The headers of a message in the order in which they were received.
///
/// All names share one allocation and all values another: each header by itself would take several times its
/// length, and clients choose how many headers they send.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    names: String,
    values: Vec<u8>,
    ends: Vec<FieldEnd>,
}

/// Where a header's name and value end in the shared buffers. Each begins where the one before ends.
#[derive(Clone, Copy, Debug, Default)]
struct FieldEnd {
    name: usize,
    value: usize,
}

impl Headers {
    /// Appends a header.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.names.push_str(name);
        self.values.extend_from_slice(value);
        self.ends.push(FieldEnd { name: self.names.len(), value: self.values.len() });
    }

    /// The number of headers.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there is no header.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The names and values in the order in which they were received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let begins = std::iter::once(FieldEnd::default()).chain(self.ends.iter().copied());
        let fields = begins.zip(&self.ends);
        fields.map(|(begin, end)| (&self.names[begin.name..end.name], &self.values[begin.value..end.value]))
    }

    /// Releases memory that was reserved for further headers.
    pub(super) fn shrink_to_fit(&mut self) {
        self.names.shrink_to_fit();
        self.values.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// The allocated memory, in bytes.
    pub(super) fn allocated_bytes(&self) -> usize {
        allocation_bytes(self.names.capacity())
            + allocation_bytes(self.values.capacity())
            + allocation_bytes(self.ends.capacity() * size_of::<FieldEnd>())
    }
}

impl<N: AsRef<str>, V: AsRef<[u8]>> FromIterator<(N, V)> for Headers {
    fn from_iter<I: IntoIterator<Item = (N, V)>>(fields: I) -> Headers {
        let mut headers = Headers::default();
        for (name, value) in fields {
            headers.push(name.as_ref(), value.as_ref());
        }
        headers
    }
}
