//! The link between an old and a new process: frames of [`ternpick_hot_restart`], and file descriptors beside them.
//!
//! Carries messages in order and says when it is broken; what they mean is the two drivers'.

use std::collections::VecDeque;
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

use async_io::Async;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use ternpick_hot_restart::{decode, encode, Message, MAX_BODY_BYTES};

use crate::lifecycle::socket_io::uninterrupted;

/// Descriptors in one message: the listeners, or one client's.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 4;
/// Bytes read at a time.
const READ_BYTES: usize = 64 * 1024;

/// One end of the link.
pub(crate) struct Link {
    stream: Async<UnixStream>,
    /// What has been read and is no message yet.
    input: Vec<u8>,
    /// Descriptors that came, in the order of the messages that they came with. Emptied by [`Link::fd`].
    fds: VecDeque<OwnedFd>,
}

impl Link {
    /// A link over a connected socket.
    pub(crate) fn new(stream: UnixStream) -> Result<Link> {
        Ok(Link {
            stream: Async::new(stream)?,
            input: Vec::new(),
            fds: VecDeque::new(),
        })
    }

    /// Sends a message completely; descriptors go with its first byte.
    pub(crate) async fn send(&self, message: &Message, fds: &[BorrowedFd<'_>]) -> Result<()> {
        let frame = encode(message);
        let mut sent = 0;
        while sent < frame.len() {
            let rest = &frame[sent..];
            let fds = if sent == 0 { fds } else { &[] };
            sent += self
                .stream
                .write_with(|stream| uninterrupted(|| send_some(stream, rest, fds)))
                .await?;
        }
        Ok(())
    }

    /// The next message; an error once the link has ended or brought what is none.
    pub(crate) async fn receive(&mut self) -> Result<Message> {
        loop {
            if let Some(message) = self.next_message()? {
                return Ok(message);
            }
            self.stream.readable().await?;
            match uninterrupted(|| self.receive_some()) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Err(e) if e.kind() != ErrorKind::WouldBlock => return Err(e),
                _ => {}
            }
        }
    }

    /// The next message of what has been read; none if there is no complete one.
    fn next_message(&mut self) -> Result<Option<Message>> {
        match decode(&self.input) {
            Ok(Some((message, length))) => {
                self.input.drain(..length);
                Ok(Some(message))
            }
            Ok(None) if self.input.len() > MAX_BODY_BYTES + READ_BYTES => {
                Err(ErrorKind::InvalidData.into())
            }
            Ok(None) => Ok(None),
            Err(error) => Err(Error::new(ErrorKind::InvalidData, error)),
        }
    }

    /// The descriptor that came with the last message.
    pub(crate) fn fd(&mut self) -> Option<OwnedFd> {
        self.fds.pop_front()
    }

    /// Reads once; returns how many bytes came.
    fn receive_some(&mut self) -> Result<usize> {
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut bytes = vec![0; READ_BYTES];
        let received = recvmsg(
            self.stream.get_ref(),
            &mut [IoSliceMut::new(&mut bytes)],
            &mut ancillary,
            RecvFlags::CMSG_CLOEXEC,
        )?;
        self.input.extend_from_slice(&bytes[..received.bytes]);
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                self.fds.extend(fds);
            }
        }
        Ok(received.bytes)
    }
}

/// Writes once, with descriptors beside; returns how many bytes went.
fn send_some(stream: &UnixStream, bytes: &[u8], fds: &[BorrowedFd]) -> Result<usize> {
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(Error::other("too many descriptors for one message"));
    }
    let sent = sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?;
    Ok(sent)
}
