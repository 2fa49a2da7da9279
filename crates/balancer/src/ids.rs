//! One type for each kind of identifier, so that none can stand in for another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A cache server, or the origin where it is listed.
    EndpointId(u64),
    /// One request; a client's retry has a new one.
    RequestId(u64),
    /// The key that a request reads or writes.
    Key(u64),
    /// The position of a request class in the settings.
    RequestClassId(u16),
    /// The position of a zone in the settings; for a zone that they don't name, a number beyond all positions.
    ZoneId(u32),
    /// The position of an endpoint kind in the settings.
    KindId(u16),
    /// A group of endpoints within which repeats are recognized.
    CellId(u32),
    /// Counts the attempts of one request from 0.
    AttemptNumber(u8),
}
