//! Common sets of derives.

/// Derives the traits of a plain value: `Debug`, `Clone`, `PartialEq`.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => { $(#[derive(Debug, Clone, PartialEq)] $item)* };
}

/// Derives the traits of a value that is sent or stored: those of [`value!`] and serde's.
///
/// The calling package needs `serde` among its dependencies. Unknown fields are refused by
/// adding `#[serde(deny_unknown_fields)]` to the item.
#[macro_export]
macro_rules! message {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)] $item)*
    };
}

/// Derives the traits of a small enumeration that serves as a map key or metric label.
#[macro_export]
macro_rules! label {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord,
                   serde::Serialize, serde::Deserialize)] $item)*
    };
}
