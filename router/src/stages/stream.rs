//! A client's connection, plain or TLS, with one interface: reads and writes that never wait, and two waits.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;
use ternpick_identity::Certificate;

use crate::lifecycle::tls::Tls;
use crate::stages::tls_stream::TlsStream;

/// A client's connection.
pub(crate) enum Stream {
    /// Without TLS.
    Plain(Async<TcpStream>),
    /// With TLS.
    Secure(Box<TlsStream>),
}

impl Stream {
    /// A connection that begins with a TLS handshake; an error if TLS cannot be had at all.
    pub(crate) fn secure(
        socket: Async<TcpStream>,
        tls: &Rc<Tls>,
    ) -> std::result::Result<Stream, rustls::Error> {
        let secure = TlsStream::new(socket, tls)?;
        Ok(Stream::Secure(Box::new(secure)))
    }

    fn socket(&self) -> &TcpStream {
        match self {
            Stream::Plain(socket) => socket.get_ref(),
            Stream::Secure(secure) => secure.socket(),
        }
    }

    /// Whether another process can go on with it.
    pub(crate) fn can_be_passed(&self) -> bool {
        matches!(self, Stream::Plain(_))
    }

    /// Has small writes sent at once; without it the connection works all the same.
    pub(crate) fn set_nodelay(&self) {
        let _ = self.socket().set_nodelay(true);
    }

    /// Bytes of requests that are there; `WouldBlock` if there are none just now.
    pub(crate) fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().read(into),
            Stream::Secure(secure) => secure.read(into),
        }
    }

    /// Takes bytes of answers; `WouldBlock` if none can be taken just now.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().write(bytes),
            Stream::Secure(secure) => secure.write(bytes),
        }
    }

    /// Hands what has been written to the socket; true once nothing is left.
    pub(crate) fn flush(&mut self) -> Result<bool> {
        match self {
            Stream::Plain(_) => Ok(true),
            Stream::Secure(secure) => secure.flush(),
        }
    }

    /// Waits until there may be bytes to read.
    pub(crate) async fn readable(&mut self) -> Result<()> {
        match self {
            Stream::Plain(socket) => socket.readable().await,
            Stream::Secure(secure) => secure.readable().await,
        }
    }

    /// Waits until bytes may be written.
    pub(crate) async fn writable(&self) -> Result<()> {
        match self {
            Stream::Plain(socket) => socket.writable().await,
            Stream::Secure(secure) => secure.writable().await,
        }
    }

    /// Tells the client that nothing more is sent; a TLS record is never cut short.
    pub(crate) fn finish(&mut self) {
        if let Stream::Secure(secure) = self {
            secure.close_notify();
        }
        let _ = self.socket().shutdown(Shutdown::Write);
    }

    /// The certificate that the client has shown, verified by the authorities in use.
    pub(crate) fn certificate(&mut self) -> Option<Rc<Certificate>> {
        match self {
            Stream::Plain(_) => None,
            Stream::Secure(secure) => secure.certificate(),
        }
    }

    /// Memory beside the buffers of its owner, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Stream::Plain(_) => 0,
            Stream::Secure(secure) => secure.size(),
        }
    }
}
