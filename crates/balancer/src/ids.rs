//! Identifier types. Each kind of identifier has its own type, so that the compiler rejects one in place of
//! another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// An endpoint: a cache server, or the origin if the endpoint list contains one.
    EndpointId(u64),
    /// A request. A client's retry is a new request with an identifier of its own.
    RequestId(u64),
    /// The key that a request reads or writes.
    Key(u64),
    /// The position of a request class in the settings.
    RequestClassId(u16),
    /// The position of a zone in the settings; for a zone that the settings don't name, a number beyond all
    /// positions.
    ZoneId(u32),
    /// The position of an endpoint kind in the settings.
    KindId(u16),
    /// A group of endpoints within which repeated requests are recognized.
    CellId(u32),
    /// The number of an attempt among the attempts of one request, from 0.
    AttemptNumber(u8),
}
