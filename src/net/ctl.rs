//! The socket for orders: a Unix socket that only its client may use.

use super::clients::AcceptFailed;
use super::dispatch::Shared;
use super::health::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use crate::ctl;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::fs::Mode;
use rustix::process::umask;
use std::io;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use task_placer::Micros;
use tracing::info;

/// Connections at a time, and how long one may take for an order.
const MOST: usize = 4;
const PATIENCE: Micros = 5_000_000;

/// Opens the socket. One that a dead process left is replaced; one that answers is another placer's.
pub fn open(
    path: &Path,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &Shared,
) -> io::Result<Rc<ConnectionLimiter>> {
    let named =
        |e: io::Error| io::Error::new(e.kind(), format!("ctl.socket: {}: {e}", path.display()));
    if path.exists() {
        if UnixStream::connect(path).is_ok() {
            let taken = io::Error::new(io::ErrorKind::AddrInUse, "another process answers there");
            return Err(named(taken));
        }
        std::fs::remove_file(path).map_err(named)?;
    }
    // From its first moment on nobody else may use it.
    let before = umask(Mode::from_raw_mode(0o177));
    let bound = Async::<UnixListener>::bind(path);
    umask(before);
    let listener = bound.map_err(named)?;
    let gate = Rc::new(ConnectionLimiter::new(MOST));
    executor
        .spawn(accept(listener, gate.clone(), shared.clone()))
        .detach();
    info!(socket = %path.display(), "takes orders");
    Ok(gate)
}

async fn accept(listener: Async<UnixListener>, gate: Rc<ConnectionLimiter>, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let dispatch = shared.borrow();
                let place = gate.admit(dispatch.clock.now() + PATIENCE);
                dispatch
                    .tasks
                    .spawn(serve(stream, place, gate.clone(), shared.clone()));
            }
            Err(e) => AcceptFailed::pause(&shared, &e).await,
        }
        future::yield_now().await;
    }
}

async fn serve(
    stream: Async<UnixStream>,
    place: ConnectionPermit,
    gate: Rc<ConnectionLimiter>,
    shared: Shared,
) {
    let away = async {
        place.evicted().await;
        "late"
    };
    let reason = future::or(orders(&stream, &place, &gate, &shared), away).await;
    gate.release(&place);
    info!(reason, "ctl connection ended");
}

async fn orders(
    mut stream: &Async<UnixStream>,
    place: &ConnectionPermit,
    gate: &ConnectionLimiter,
    shared: &Shared,
) -> &'static str {
    let (mut inbox, mut scratch) = (Vec::new(), [0; 1_024]);
    loop {
        let line = match super::codec::next_line(&mut inbox, ctl::MOST_ORDER) {
            Ok(line) => line,
            Err(_) => {
                let _ = stream
                    .write_all(&ctl::answer(Err("longer than any order".into())))
                    .await;
                return "too-long";
            }
        };
        let Some(mut line) = line else {
            match stream.read(&mut scratch).await {
                Ok(0) => return "closed",
                Ok(n) => inbox.extend_from_slice(scratch.get(..n).unwrap_or_default()),
                Err(_) => return "failed",
            }
            continue;
        };
        let found = ctl::read(&mut line).and_then(|order| shared.borrow_mut().ordered(order));
        if stream.write_all(&ctl::answer(found)).await.is_err() {
            return "failed";
        }
        gate.extend(place, shared.borrow().clock.now() + PATIENCE);
    }
}
