//! Requests for store data, and their answers.

use crate::listing::{Delta, Difference, Position};
use peers::packed::Packed;
use steering::affinity::Digest;

base::message! {
    /// Store data that a VM lacks.
    #[derive(Default)]
    pub struct Question {
        /// The orders, if they changed after this version of the store; none if not wanted.
        pub orders_after: Option<u64>,
        /// The list of servers; none if not wanted.
        pub list: Option<HeldList>,
    }

    /// List of servers that the requester holds.
    pub enum HeldList {
        /// None.
        Nothing,
        /// The list at a position of the VM that is asked.
        At(Position),
        /// Another list, with the digests of its entries.
        Digests(Vec<Digest>),
    }

    /// Store data that a VM holds.
    pub struct Copy {
        /// Store version of the newest order.
        pub orders: u64,
        /// Store version at the last read of the orders.
        pub snapshot: u64,
        /// [`steering::routing::DesiredState`].
        pub operations: Part<Packed>,
        /// Registered servers.
        pub servers: Part<Servers>,
    }

    /// Part of an answer.
    pub enum Part<T> {
        /// Not wanted, or not newer.
        Nothing,
        /// The data.
        Data(T),
        /// The link of the VM that was asked has no room now; time to come back in milliseconds.
        Later(u32),
    }

    /// Registered servers that the requester lacks.
    pub enum Servers {
        /// Changes since its position.
        Changed(Delta),
        /// Difference to its list.
        Different(Difference),
        /// [`Delta`] with the whole list.
        Whole(Packed),
    }
}

impl<T> Part<T> {
    /// Returns the data, if there is any.
    pub fn data(self) -> Option<T> {
        match self {
            Self::Data(data) => Some(data),
            Self::Nothing | Self::Later(_) => None,
        }
    }

    /// Returns the time in milliseconds after which the data may be requested again.
    pub fn later(&self) -> Option<u32> {
        match self {
            Self::Later(millis) => Some(*millis),
            Self::Nothing | Self::Data(_) => None,
        }
    }
}
