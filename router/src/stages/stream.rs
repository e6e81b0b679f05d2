//! The stream of a client connection, plain or TLS, behind one interface: non-blocking reads and writes, and waits
//! for both.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;
use ternpick_identity::Certificate;

use crate::lifecycle::tls::Tls;
use crate::stages::tls_stream::TlsStream;

/// The stream of a client connection.
pub(crate) enum Stream {
    /// Without TLS.
    Plain(Async<TcpStream>),
    /// With TLS.
    Secure(Box<TlsStream>),
}

impl Stream {
    /// Creates a stream that begins with a TLS handshake; fails if rustls cannot create a connection.
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

    /// Whether the connection can be passed to another process.
    pub(crate) fn can_be_passed(&self) -> bool {
        matches!(self, Stream::Plain(_))
    }

    /// Disables the batching of small writes. An error is ignored, because the connection works without the option.
    pub(crate) fn set_nodelay(&self) {
        let _ = self.socket().set_nodelay(true);
    }

    /// Reads available bytes of requests; returns `WouldBlock` if there are none now.
    pub(crate) fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().read(into),
            Stream::Secure(secure) => secure.read(into),
        }
    }

    /// Writes bytes of answers; returns `WouldBlock` if none can be accepted now.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().write(bytes),
            Stream::Secure(secure) => secure.write(bytes),
        }
    }

    /// Passes buffered bytes to the socket; returns true once none are left.
    pub(crate) fn flush(&mut self) -> Result<bool> {
        match self {
            Stream::Plain(_) => Ok(true),
            Stream::Secure(secure) => secure.flush(),
        }
    }

    /// Whether the next read may take a step of a TLS handshake, which costs as much as many requests.
    pub(crate) fn is_handshaking(&self) -> bool {
        match self {
            Stream::Plain(_) => false,
            Stream::Secure(secure) => secure.is_handshaking(),
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

    /// Shuts down the sending side of the connection; with TLS, sends a close_notify alert first.
    pub(crate) fn shut_down_write(&mut self) {
        if let Stream::Secure(secure) = self {
            secure.close_notify();
        }
        let _ = self.socket().shutdown(Shutdown::Write);
    }

    /// Returns the certificate that the client has presented, if the authorities in use have verified it.
    pub(crate) fn certificate(&mut self) -> Option<Rc<Certificate>> {
        match self {
            Stream::Plain(_) => None,
            Stream::Secure(secure) => secure.certificate(),
        }
    }

    /// Returns the memory in use besides the buffers of the owner, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Stream::Plain(_) => 0,
            Stream::Secure(secure) => secure.size(),
        }
    }
}
