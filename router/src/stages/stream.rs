//! A client's connection, plain or TLS, with one face: reads and writes that never wait, and two waits. TLS is the
//! state machine of rustls, which does no I/O of its own; this file carries its bytes.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use rustls::ServerConnection;
use ternpick_identity::Certificate;

use crate::lifecycle::tls::Tls;

/// Records taken in a row before others have their turn.
const ROUNDS: usize = 8;
/// Reads in a row that bring no byte of a request: handshakes, tickets and parts of a record take a few dozen. A peer
/// that goes on so (key updates, empty records) is after nothing else than our time.
const MOST_BARREN: u32 = 1024;
/// What rustls holds for a connection beside what waits in it, measured (`docs/measurements/identity.md`).
const TLS_SIZE: usize = 16 * 1024;

pub enum Stream {
    Plain(Async<TcpStream>),
    Secure(Box<Secure>),
}

pub struct Secure {
    socket: Async<TcpStream>,
    tls: ServerConnection,
    of: Rc<Tls>,
    /// The authorities that its certificate was verified by.
    epoch: u64,
    certificate: Option<Rc<Certificate>>,
    /// More may be had without a byte from the socket.
    more: bool,
    barren: u32,
}

impl Secure {
    fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        for _ in 0..ROUNDS {
            match self.tls.reader().read(into) {
                Ok(count) => {
                    (self.more, self.barren) = (count == into.len(), 0);
                    return Ok(count);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.more = false,
                Err(e) => return Err(e),
            }
            if self.tls.read_tls(&mut self.socket.get_ref())? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let processed = self.tls.process_new_packets();
            // An alert, or the next flight of the handshake.
            self.flush()?;
            processed.map_err(|what| Error::new(ErrorKind::InvalidData, what))?;
            self.barren += 1;
            if self.barren > MOST_BARREN {
                return Err(Error::new(
                    ErrorKind::InvalidData,
                    "records without end that carry nothing",
                ));
            }
        }
        self.more = true;
        Err(ErrorKind::WouldBlock.into())
    }

    fn flush(&mut self) -> Result<bool> {
        while self.tls.wants_write() {
            match self.tls.write_tls(&mut self.socket.get_ref()) {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    async fn readable(&mut self) -> Result<()> {
        if self.more {
            // Others have their turn all the same.
            future::yield_now().await;
            return Ok(());
        }
        while !self.flush()? {
            let written = async { self.socket.writable().await.map(|()| false) };
            let read = async { self.socket.readable().await.map(|()| true) };
            if future::or(read, written).await? {
                return Ok(());
            }
        }
        self.socket.readable().await
    }

    fn certificate(&mut self) -> Option<Rc<Certificate>> {
        if self.certificate.is_none() && !self.tls.is_handshaking() {
            let shown = self.tls.peer_certificates().and_then(|chain| chain.first());
            self.certificate = shown
                .and_then(|der| Certificate::read(der).ok())
                .map(Rc::new);
        }
        // What other authorities have verified proves nothing once they are gone; a resumed session neither.
        self.certificate
            .clone()
            .filter(|_| self.epoch == self.of.epoch())
    }
}

impl Stream {
    /// A connection that begins with a handshake; an error if TLS cannot be had at all.
    pub fn secure(
        socket: Async<TcpStream>,
        of: &Rc<Tls>,
    ) -> std::result::Result<Stream, rustls::Error> {
        let tls = ServerConnection::new(of.config())?;
        let (of, epoch) = (Rc::clone(of), of.epoch());
        let secure = Secure {
            socket,
            tls,
            of,
            epoch,
            certificate: None,
            more: false,
            barren: 0,
        };
        Ok(Stream::Secure(Box::new(secure)))
    }

    fn socket(&self) -> &TcpStream {
        match self {
            Stream::Plain(socket) => socket.get_ref(),
            Stream::Secure(secure) => secure.socket.get_ref(),
        }
    }

    pub fn set_nodelay(&self) {
        let _ = self.socket().set_nodelay(true);
    }

    /// Bytes of requests that are there; `WouldBlock` if there are none just now.
    pub fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().read(into),
            Stream::Secure(secure) => secure.read(into),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        match self {
            Stream::Plain(socket) => socket.get_ref().write(bytes),
            Stream::Secure(secure) => {
                // What is taken is bounded by rustls, and goes out with this or a later flush.
                let count = if secure.flush()? {
                    secure.tls.writer().write(bytes)?
                } else {
                    0
                };
                secure.flush()?;
                if count == 0 {
                    Err(ErrorKind::WouldBlock.into())
                } else {
                    Ok(count)
                }
            }
        }
    }

    /// Hands on what has been written; true once nothing is left.
    pub fn flush(&mut self) -> Result<bool> {
        match self {
            Stream::Plain(_) => Ok(true),
            Stream::Secure(secure) => secure.flush(),
        }
    }

    pub async fn readable(&mut self) -> Result<()> {
        match self {
            Stream::Plain(socket) => socket.readable().await,
            Stream::Secure(secure) => secure.readable().await,
        }
    }

    pub async fn writable(&self) -> Result<()> {
        match self {
            Stream::Plain(socket) => socket.writable().await,
            Stream::Secure(secure) => secure.socket.writable().await,
        }
    }

    /// Says that nothing more is sent, and never cuts a record short.
    pub fn finish(&mut self) {
        if let Stream::Secure(secure) = self {
            secure.tls.send_close_notify();
            let _ = secure.flush();
        }
        let _ = self.socket().shutdown(Shutdown::Write);
    }

    /// The certificate that its client has shown, verified by the authorities in use.
    pub fn certificate(&mut self) -> Option<Rc<Certificate>> {
        match self {
            Stream::Plain(_) => None,
            Stream::Secure(secure) => secure.certificate(),
        }
    }

    /// Memory beside the buffers of its owner.
    pub fn size(&self) -> usize {
        match self {
            Stream::Plain(_) => 0,
            Stream::Secure(_) => TLS_SIZE,
        }
    }
}
