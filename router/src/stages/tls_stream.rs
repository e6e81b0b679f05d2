//! A client connection over TLS: carries the bytes between the socket and the state machine of rustls, which does no I/O of its
//! own.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use rustls::ServerConnection;
use ternpick_identity::Certificate;

use crate::lifecycle::tls::Tls;

/// TLS records taken in a row before other tasks get their turn.
const RECORDS_IN_A_ROW: usize = 8;
/// Reads in a row that bring no byte of a request: handshakes, tickets and parts of a record take a few dozen. A peer that goes
/// on so (key updates, empty records) does nothing but use up this router's time.
const EMPTY_READS_BOUND: u32 = 1024;
/// What rustls holds for a connection beside what waits in it, in bytes, measured (`docs/measurements/identity.md`).
const MEMORY: usize = 16 * 1024;

/// A connection with its TLS state.
pub(crate) struct TlsStream {
    socket: Async<TcpStream>,
    connection: ServerConnection,
    tls: Rc<Tls>,
    /// The generation of authorities that the client's certificate was verified by.
    epoch: u64,
    certificate: Option<Rc<Certificate>>,
    /// More may be read without a byte from the socket.
    may_have_more: bool,
    empty_reads: u32,
}

impl TlsStream {
    /// A connection that begins with a handshake; an error if TLS cannot be had at all.
    pub(crate) fn new(
        socket: Async<TcpStream>,
        tls: &Rc<Tls>,
    ) -> std::result::Result<Self, rustls::Error> {
        Ok(TlsStream {
            connection: ServerConnection::new(tls.config())?,
            socket,
            epoch: tls.epoch(),
            tls: Rc::clone(tls),
            certificate: None,
            may_have_more: false,
            empty_reads: 0,
        })
    }

    /// The TCP socket below.
    pub(crate) fn socket(&self) -> &TcpStream {
        self.socket.get_ref()
    }

    /// Bytes of requests that are there; `WouldBlock` if there are none just now.
    pub(crate) fn read(&mut self, into: &mut [u8]) -> Result<usize> {
        for _ in 0..RECORDS_IN_A_ROW {
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

    /// Takes in bytes from the socket, and answers what TLS wants answered.
    fn read_record(&mut self) -> Result<()> {
        if self.connection.read_tls(&mut self.socket.get_ref())? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let processed = self.connection.process_new_packets();
        // An alert, or the next flight of the handshake.
        self.flush()?;
        processed.map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
        self.empty_reads += 1;
        if self.empty_reads > EMPTY_READS_BOUND {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "records without end that carry nothing",
            ));
        }
        Ok(())
    }

    /// Takes as many bytes as rustls has room for, which go out with this or a later flush; `WouldBlock` if it takes none.
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

    /// Hands what has been written to the socket; true once nothing is left.
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
            // Other tasks get their turn all the same.
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

    /// Waits until the socket takes bytes.
    pub(crate) async fn writable(&self) -> Result<()> {
        self.socket.writable().await
    }

    /// Ends the TLS connection in order: a client can tell it from a connection that was cut.
    pub(crate) fn close_notify(&mut self) {
        self.connection.send_close_notify();
        let _ = self.flush();
    }

    /// The certificate that the client has shown, verified by the authorities in use. What other authorities have verified
    /// proves nothing once they are gone; a resumed session neither.
    pub(crate) fn certificate(&mut self) -> Option<Rc<Certificate>> {
        if self.certificate.is_none() && !self.connection.is_handshaking() {
            let chain = self.connection.peer_certificates();
            self.certificate = chain
                .and_then(|chain| chain.first())
                .and_then(|der| Certificate::read(der).ok())
                .map(Rc::new);
        }
        self.certificate
            .clone()
            .filter(|_| self.epoch == self.tls.epoch())
    }

    /// Memory beside the buffers of its owner, in bytes.
    pub(crate) fn size(&self) -> usize {
        MEMORY
    }
}
