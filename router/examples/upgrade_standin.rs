//! A new process as it should not be, for tests: speaks the handover up to a step, and then dies, hangs, sends garbage or
//! speaks another version. `STANDIN=die:3` dies where it would send its third message.

use std::io::{Read, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use ternpick_hot_restart::{decode, encode, Message, VERSION};

fn receive(stream: &mut UnixStream, input: &mut Vec<u8>) -> Message {
    loop {
        match decode(input) {
            Ok(Some((message, length))) => {
                input.drain(..length);
                return message;
            }
            Ok(None) => {}
            Err(_) => std::process::exit(3),
        }
        let mut some = [0; 4096];
        match stream.read(&mut some) {
            Ok(0) | Err(_) => std::process::exit(4),
            Ok(count) => input.extend_from_slice(&some[..count]),
        }
    }
}

#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn main() {
    let how = std::env::var("STANDIN").unwrap_or_default();
    let (what, at) = how.split_once(':').unwrap_or(("die", "1"));
    let at: usize = at.parse().unwrap_or(1);
    let fd: OwnedFd = std::io::stdin()
        .as_fd()
        .try_clone_to_owned()
        .expect("a link");
    let mut stream = UnixStream::from(fd);
    let (mut input, mut step) = (Vec::new(), 0);
    let mut say = |stream: &mut UnixStream, message: Message| {
        step += 1;
        if step == at {
            match what {
                "hang" => std::thread::sleep(Duration::from_secs(600)),
                "garbage" => {
                    let _ = stream.write_all(&[0xff; 64]);
                    std::thread::sleep(Duration::from_secs(600));
                }
                "spoilt" => {
                    let mut frame = encode(&message);
                    let last = frame.len() - 1;
                    frame[last] ^= 1;
                    let _ = stream.write_all(&frame);
                    std::thread::sleep(Duration::from_secs(600));
                }
                "half" => {
                    let frame = encode(&message);
                    let _ = stream.write_all(&frame[..frame.len() / 2]);
                }
                "unexpected" => {
                    let _ = stream.write_all(&encode(&Message::Pong));
                    std::thread::sleep(Duration::from_secs(600));
                }
                _ => {}
            }
            std::process::exit(9);
        }
        let _ = stream.write_all(&encode(&message));
    };
    let version = if what == "version" {
        VERSION + 1
    } else {
        VERSION
    };
    say(
        &mut stream,
        Message::Hello {
            version,
            program: "a stand-in".into(),
        },
    );
    loop {
        match receive(&mut stream, &mut input) {
            Message::Offer { .. } => say(&mut stream, Message::Checked { same: false }),
            Message::Descriptors { .. } => say(&mut stream, Message::Got),
            Message::State { left: 0, .. } => say(&mut stream, Message::Ready),
            Message::Commit { .. } => {
                say(&mut stream, Message::Took);
                // Past the commit: the next word is its end, or silence.
                if at == 6 {
                    say(&mut stream, Message::Pong);
                }
            }
            Message::Ping => say(&mut stream, Message::Pong),
            Message::Abandon { .. } => std::process::exit(5),
            _ => {}
        }
    }
}
