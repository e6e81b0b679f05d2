//! The stream of a client connection over TLS: moves bytes between the socket and the state machine of rustls, which
//! does no I/O itself.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use rustls::ServerConnection;
use ternpick_identity::Certificate;

use crate::lifecycle::tls::Tls;

/// The maximum number of consecutive reads of TLS records before other tasks run.
const MAX_RECORDS_IN_A_ROW: usize = 8;
/// The maximum number of consecutive reads without a byte of a request. Handshakes, tickets and partial records take
/// a few dozen. A peer that sends more (key updates, empty records) only uses up this router's time.
const MAX_EMPTY_READS: u32 = 1024;
/// The memory in bytes that rustls uses for a connection, besides buffered data (measured:
/// `docs/measurements/identity.md`).
const RUSTLS_MEMORY_BYTES: usize = 16 * 1024;

/// A socket with its TLS state.
pub(crate) struct TlsStream {
    socket: Async<TcpStream>,
    connection: ServerConnection,
    tls: Rc<Tls>,
    /// The generation of the authorities that verified the client's certificate.
    authorities_epoch: u64,
    certificate: Option<Rc<Certificate>>,
    /// Whether more bytes may be available without reading from the socket.
    may_have_more: bool,
    empty_reads: u32,
}

impl TlsStream {
    /// Creates a stream that begins with a handshake; fails if rustls cannot create a connection.
    pub(crate) fn new(
        socket: Async<TcpStream>,
        tls: &Rc<Tls>,
    ) -> std::result::Result<Self, rustls::Error> {
        Ok(TlsStream {
            connection: ServerConnection::new(tls.config())?,
            socket,
            authorities_epoch: tls.authorities_epoch(),
            tls: Rc::clone(tls),
            certificate: None,
            may_have_more: false,
            empty_reads: 0,
        })
    }

    /// Returns the underlying TCP socket.
    pub(crate) fn socket(&self) -> &TcpStream {
        self.socket.get_ref()
    }

    /// Reads available bytes of requests; returns `WouldBlock` if there are none now.
    pub(crate) fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        for _ in 0..MAX_RECORDS_IN_A_ROW {
            match self.connection.reader().read(into) {
                Ok(count) => {
                    self.may_have_more = count == into.len();
                    self.empty_reads = 0;
                    return Ok(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.may_have_more = false,
                Err(error) => return Err(error),
            }
            self.read_record()?;
        }
        self.may_have_more = true;
        Err(ErrorKind::WouldBlock.into())
    }

    /// Reads bytes from the socket, and sends the responses that the TLS protocol requires.
    fn read_record(&mut self) -> Result<()> {
        if self.connection.read_tls(&mut self.socket.get_ref())? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let processed = self.connection.process_new_packets();
        // An alert, or the next flight of the handshake.
        self.flush()?;
        processed.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
        self.empty_reads += 1;
        if self.empty_reads > MAX_EMPTY_READS {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "too many consecutive TLS reads without a byte of a request",
            ));
        }
        Ok(())
    }

    /// Buffers as many bytes as rustls has room for; this or a later flush sends them. Returns `WouldBlock` if there
    /// is no room.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let count = if self.flush()? {
            self.connection.writer().write(bytes)?
        } else {
            0
        };
        self.flush()?;
        if count == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(count)
    }

    /// Passes buffered bytes to the socket; returns true once none are left.
    pub(crate) fn flush(&mut self) -> Result<bool> {
        while self.connection.wants_write() {
            match self.connection.write_tls(&mut self.socket.get_ref()) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Waits until there may be bytes to read.
    pub(crate) async fn readable(&mut self) -> Result<()> {
        if self.may_have_more {
            // Lets other tasks run first.
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

    /// Whether the handshake is not complete.
    pub(crate) fn is_handshaking(&self) -> bool {
        self.connection.is_handshaking()
    }

    /// Waits until the socket accepts bytes.
    pub(crate) async fn writable(&self) -> Result<()> {
        self.socket.writable().await
    }

    /// Sends a close_notify alert, so that the client can tell the end of the connection from a truncation.
    pub(crate) fn close_notify(&mut self) {
        self.connection.send_close_notify();
        let _ = self.flush();
    }

    /// Returns the certificate that the client has presented, if the authorities in use have verified it. A
    /// certificate that was verified by replaced authorities no longer counts, not even in a resumed session.
    pub(crate) fn certificate(&mut self) -> Option<Rc<Certificate>> {
        if self.certificate.is_none() && !self.connection.is_handshaking() {
            let chain = self.connection.peer_certificates();
            self.certificate = chain
                .and_then(|chain| chain.first())
                .and_then(|der| Certificate::parse(der).ok())
                .map(Rc::new);
        }
        self.certificate
            .clone()
            .filter(|_| self.authorities_epoch == self.tls.authorities_epoch())
    }

    /// Returns the memory in use besides the buffers of the owner, in bytes.
    pub(crate) fn size(&self) -> usize {
        RUSTLS_MEMORY_BYTES
    }
}
