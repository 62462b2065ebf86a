//! Manages the connections from clients: tracks what is pending on each connection, decides when one is closed, and
//! chooses the connections on which the end of a task is sent. Requests are known here only by their tickets, and
//! dispatch is not known at all: events on a connection are passed to the implementation of [`ClientEvents`].
//!
//! [`table`] holds the connections, [`accept`] listens for and serves them, [`status`] tells whether a client is still
//! connected, [`task_ends`] sends task ends until a client has acknowledged them, [`idle`] closes connections that are
//! idle or whose descriptors are needed elsewhere, [`retirement`] closes connections that are in use and no longer
//! wanted, and [`fair_share`] limits the requests of one connection while others wait.

pub mod accept;
mod accept_delay;
pub mod accept_fault;
mod events;
mod fair_share;
mod id;
mod idle;
mod pending_task_ends;
mod read_summary;
mod retirement;
mod status;
mod table;
mod task_ends;

pub use events::{AcceptWait, ClientEvents};
pub use id::ClientId;
pub use read_summary::ReadSummary;
pub use status::{ClientStatus, ReadMark, UnreadInputCache};
pub use table::Clients;
