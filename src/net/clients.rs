//! Owns the connections from clients: what is pending on each, when one is closed, and where the end of a task is sent.
//! It knows nothing of requests beyond their tickets, and nothing of dispatch: what happens on a connection goes to
//! whoever implements [`ClientEvents`].
//!
//! [`table`] holds the connections, [`accept`] listens and serves the sockets, [`status`] tells whether a client is still
//! there, [`task_ends`] sends the ends of tasks until a client has acknowledged them, and [`idle`] closes connections that
//! are idle or in the way.

pub mod accept;
mod accept_delay;
pub mod accept_fault;
mod events;
mod id;
mod idle;
mod pending_task_ends;
mod read_summary;
mod status;
mod table;
mod task_ends;

pub use events::{AcceptWait, ClientEvents};
pub use id::ClientId;
pub use read_summary::ReadSummary;
pub use status::{ClientStatus, ReadMark};
pub use table::Clients;
