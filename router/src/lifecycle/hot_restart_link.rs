//! The link between an old and a new process: frames of [`ternpick_hot_restart`], and descriptors beside them.

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
use ternpick_hot_restart::{decode, encode, Message, FRAME_BOUND};

/// Descriptors in one message: the listeners, or one client's.
const MOST_FDS: usize = 4;
/// Bytes read at a time.
const READ: usize = 64 * 1024;

pub struct Link {
    stream: Async<UnixStream>,
    input: Vec<u8>,
    /// Descriptors that came, in the order of the messages that they came with.
    fds: VecDeque<OwnedFd>,
}

impl Link {
    pub fn new(stream: UnixStream) -> Result<Link> {
        Ok(Link {
            stream: Async::new(stream)?,
            input: Vec::new(),
            fds: VecDeque::new(),
        })
    }

    /// Sends a message whole; descriptors go with its first byte.
    pub async fn send(&self, message: &Message, fds: &[BorrowedFd<'_>]) -> Result<()> {
        let frame = encode(message);
        let mut sent = 0;
        while sent < frame.len() {
            let rest = &frame[sent..];
            let with = if sent == 0 { fds } else { &[] };
            sent += self
                .stream
                .write_with(|stream| send_some(stream, rest, with))
                .await?;
        }
        Ok(())
    }

    /// The next message; an error once the link has ended or brought what is none.
    pub async fn receive(&mut self) -> Result<Message> {
        loop {
            match decode(&self.input) {
                Ok(Some((message, length))) => {
                    self.input.drain(..length);
                    return Ok(message);
                }
                Ok(None) if self.input.len() > FRAME_BOUND + READ => {
                    return Err(ErrorKind::InvalidData.into())
                }
                Ok(None) => {}
                Err(spoilt) => return Err(Error::new(ErrorKind::InvalidData, spoilt)),
            }
            let Link { stream, input, fds } = self;
            stream.readable().await?;
            match receive_some(stream.get_ref(), input, fds) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Err(e) if e.kind() != ErrorKind::WouldBlock => return Err(e),
                _ => {}
            }
        }
    }

    /// The descriptor that came with the last message.
    pub fn fd(&mut self) -> Option<OwnedFd> {
        self.fds.pop_front()
    }
}

fn send_some(stream: &UnixStream, bytes: &[u8], fds: &[BorrowedFd]) -> Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(Error::other("too many descriptors for one message"));
    }
    Ok(sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut beside,
        SendFlags::NOSIGNAL,
    )?)
}

fn receive_some(
    stream: &UnixStream,
    input: &mut Vec<u8>,
    fds: &mut VecDeque<OwnedFd>,
) -> Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_FDS))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = vec![0; READ];
    let got = recvmsg(
        stream,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut beside,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    input.extend_from_slice(&bytes[..got.bytes]);
    for message in beside.drain() {
        if let RecvAncillaryMessage::ScmRights(some) = message {
            fds.extend(some);
        }
    }
    Ok(got.bytes)
}
