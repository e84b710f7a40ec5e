//! Numbered log events.
//!
//! Each crate declares its events with [`declare_events!`](crate::declare_events) and logs them with
//! [`log_event!`](crate::log_event). The declarations are collected at link time, and a test
//! compares them with `docs/events.md`. Numbers of removed events are not reused.

/// The declaration of one log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event number, unique in the program.
    pub number: u16,
    /// Event name in kebab case.
    pub name: &'static str,
    /// Level at which the event is logged.
    pub level: log::Level,
    /// Meaning of the event and the action expected of an operator.
    pub meaning: &'static str,
}

inventory::collect!(Event);

/// All declared events of the linked crates, sorted by number.
pub fn all() -> Vec<Event> {
    let mut events: Vec<Event> = inventory::iter::<Event>.into_iter().copied().collect();
    events.sort_by_key(|event| event.number);
    events
}

/// Declares numbered log events and registers them.
///
/// ```
/// use hickorychute_kernel as kernel;
///
/// kernel::declare_events! {
///     /// Not part of the catalogue.
///     EXAMPLE = (9999, "example", Info, "Nothing to do.");
/// }
/// kernel::log_event!(EXAMPLE, "zone {} is reachable", "a");
/// ```
#[macro_export]
macro_rules! declare_events {
    ($($(#[$meta:meta])* $ident:ident = ($number:expr, $name:expr, $level:ident, $meaning:expr);)+) => {
        $(
            $(#[$meta])*
            pub const $ident: $crate::events::Event = $crate::events::Event {
                number: $number,
                name: $name,
                level: $crate::reexport::log::Level::$level,
                meaning: $meaning,
            };
            $crate::reexport::inventory::submit! { $ident }
        )+
    };
}

/// Logs a declared event with a formatted message.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($argument:tt)+) => {
        $crate::reexport::log::log!(
            $event.level,
            "E{:04} {}: {}",
            $event.number,
            $event.name,
            format_args!($($argument)+)
        )
    };
}
