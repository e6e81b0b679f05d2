//! A key service or a feed on HTTP, in each kind of trouble.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::read_head;

/// What a service does with a call.
#[derive(Clone)]
pub(crate) enum Serves {
    Text(String),
    /// By turns.
    Turns(Vec<String>),
    Down,
    Slow,
    /// A body that never ends, as long as is read.
    Endless,
    Reset,
    /// Half of what it announces.
    Half(String),
    /// So long after the call.
    Late(Duration, String),
    /// Ended by a TCP reset at this moment of the answer.
    Abort(Moment, String),
}

/// When a service resets its connection.
#[derive(Clone, Copy)]
pub(crate) enum Moment {
    /// Nothing of the answer has been written.
    Before,
    /// Half of it has.
    Within,
    /// All of it has.
    After,
}

/// Resets a connection (RST), after as much of `answer` as `moment` says.
fn abort(mut stream: TcpStream, moment: Moment, answer: &str) {
    let written = match moment {
        Moment::Before => 0,
        Moment::Within => answer.len() / 2,
        Moment::After => answer.len(),
    };
    let _ = stream.write_all(&answer.as_bytes()[..written]);
    // Without a linger time the close discards what is unsent and resets.
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
}

/// A service on HTTP that counts its calls.
#[derive(Clone)]
pub(crate) struct Service {
    pub(crate) serves: Arc<Mutex<Serves>>,
    pub(crate) calls: Arc<AtomicUsize>,
    pub(crate) address: SocketAddr,
}

impl Service {
    pub(crate) fn start(serves: Serves) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let service = Service {
            serves: Arc::new(Mutex::new(serves)),
            calls: Arc::default(),
            address,
        };
        let of = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let of = of.clone();
                thread::spawn(move || of.serve(stream));
            }
        });
        service
    }

    pub(crate) fn set(&self, serves: Serves) {
        *self
            .serves
            .lock()
            .expect("no test thread panicked with the lock held") = serves;
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(_) = read_head(&mut stream) else {
            return;
        };
        let count = self.calls.fetch_add(1, Ordering::Relaxed);
        let serves = self
            .serves
            .lock()
            .expect("no test thread panicked with the lock held")
            .clone();
        let ok = |text: &str, length: usize| {
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}")
        };
        let said = match serves {
            Serves::Text(text) => ok(&text, text.len()),
            Serves::Turns(texts) => ok(
                &texts[count % texts.len()],
                texts[count % texts.len()].len(),
            ),
            Serves::Down => "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n".into(),
            Serves::Slow => {
                thread::sleep(Duration::from_secs(2));
                return;
            }
            Serves::Endless => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while stream
                    .write_all(&[b"1000\r\n", &[b' '; 0x1000][..], b"\r\n"].concat())
                    .is_ok()
                {}
                return;
            }
            Serves::Reset => return,
            Serves::Half(text) => ok(&text[..text.len() / 2], text.len()),
            Serves::Late(by, text) => {
                thread::sleep(by);
                ok(&text, text.len())
            }
            Serves::Abort(moment, text) => return abort(stream, moment, &ok(&text, text.len())),
        };
        let _ = stream.write_all(said.as_bytes());
    }

    /// As a source in settings.
    pub(crate) fn source(&self, kept: Option<&Path>) -> String {
        let kept = kept.map_or(String::new(), |path| {
            format!(", kept: {:?}", path.display().to_string())
        });
        format!(
            "{{address: \"{}\", path: \"/set\", every: 200ms, apart: 100ms, patience: 300ms{kept}}}",
            self.address
        )
    }
}
