//! Reads and writes for sockets that carry no queries. Calls that are interrupted (EINTR) are repeated.

use std::io::{ErrorKind, Result, Write};

use async_io::{Async, IoSafe};

/// Repeats a call until it is not interrupted.
pub(crate) fn uninterrupted<T>(mut call: impl FnMut() -> Result<T>) -> Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all bytes.
///
/// # Errors
/// The I/O error of the connection, or `WriteZero` if it accepts no more bytes.
pub(crate) async fn write_all<S: IoSafe>(stream: &Async<S>, bytes: &[u8]) -> Result<()>
where
    for<'a> &'a S: Write,
{
    let mut rest = bytes;
    while !rest.is_empty() {
        let write = |mut socket: &S| uninterrupted(|| socket.write(rest));
        let count = stream.write_with(write).await?;
        if count == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        rest = &rest[count..];
    }
    Ok(())
}
