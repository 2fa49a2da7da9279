//! One type for each kind of id, so that none can stand in for another.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A cache server, or the origin where the list names it.
    EndpointId(u64),
    /// One API call; a client's repeat has a new one.
    RequestId(u64),
    /// What an API call asks for.
    Key(u64),
    /// The place of a product in the settings.
    RequestClassId(u16),
    /// The place of a zone in the settings; of one that they don't name, a number beyond all places.
    ZoneId(u32),
    KindId(u16),
    CellId(u32),
    /// Counts the shots of one API call from 0.
    AttemptNumber(u8),
}
