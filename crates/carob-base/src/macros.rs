//! Macros that add a common set of derives to the items in them: [`value!`] for types that own heap data,
//! [`plain!`] for small types, which become `Copy` and ordered.

/// Derives the common traits of a value that owns heap data: `Clone`, `Debug`, `PartialEq` and `Eq`.
///
/// # Examples
///
/// ```
/// carob_base::value! {
///     /// A point on a grid.
///     pub struct Point {
///         /// Column.
///         pub x: u32,
///         /// Row.
///         pub y: u32,
///     }
/// }
/// assert_eq!(Point { x: 1, y: 2 }, Point { x: 1, y: 2 });
/// ```
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )+
    };
}

/// Derives the common traits of a small value: those of [`value!`] with `Copy`, `Hash`, `PartialOrd` and
/// `Ord`.
///
/// # Examples
///
/// ```
/// carob_base::plain! {
///     /// A level.
///     pub enum Level {
///         /// Low.
///         Low,
///         /// High.
///         High,
///     }
/// }
/// assert!(Level::Low < Level::High);
/// ```
#[macro_export]
macro_rules! plain {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
            $item
        )+
    };
}
