//! Processes of the real program: started, looked at, signalled. The one starter of all rigs; what it starts ends with the
//! thread that started it, however that ends.

use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::process::{ProcState, Process};
use rustix::process::{kill_process, Pid, Signal};

use crate::load::Failed;

/// How long a process may take to listen.
const BOUND: Duration = Duration::from_secs(10);
const TURN: Duration = Duration::from_millis(2);

/// Processor time in microseconds, resident KiB and descriptors of a process; none: it has ended.
pub fn sample(pid: u32) -> Option<(u64, u64, u64)> {
    let process = Process::new(i32::try_from(pid).ok()?).ok()?;
    let stat = process.stat().ok()?;
    // One that has ended and is not yet waited for uses nothing.
    let alive = stat.state().is_ok_and(|state| state != ProcState::Zombie);
    let cpu = (stat.utime + stat.stime) * 1_000_000 / procfs::ticks_per_second();
    let descriptors = process.fd_count().ok()?;
    alive.then_some((
        cpu,
        stat.rss * procfs::page_size() / 1024,
        descriptors as u64,
    ))
}

/// The command that serves. Its log is off; `stderr` may be set anew.
pub fn serve(program: &Path, config: &Path, settings: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(config)
        .arg("--settings")
        .arg(settings);
    command.env("RUST_LOG", "off").stdin(Stdio::null());
    // SAFETY: both calls are async-signal-safe and touch nothing of this process's memory. The child ends with the thread
    // that started it, and a file that may not grow is an error to it, as a full disk is.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
            Ok(())
        });
    }
    command
}

/// Waits until a process listens.
pub fn listens(child: &mut Child, address: SocketAddr) -> Result<(), Failed> {
    let late = Instant::now() + BOUND;
    while TcpStream::connect(address).is_err() {
        if let Some(status) = child.try_wait()? {
            return Err(Failed::NotServing(status.to_string()));
        }
        if Instant::now() > late {
            return Err(Failed::NotServing("nobody listens in time".into()));
        }
        std::thread::sleep(TURN);
    }
    Ok(())
}

/// Signals a process; one that has gone already needs no word.
pub fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// Lets no file of a process grow beyond what it has now, or lets all grow again: a disk that is full, and has room.
pub fn full_disk(pid: u32, full: bool) {
    let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) else {
        return;
    };
    let before = rustix::process::getrlimit(rustix::process::Resource::Fsize);
    let current = if full { Some(1) } else { before.maximum };
    let limit = rustix::process::Rlimit {
        current,
        maximum: before.maximum,
    };
    // One that has just ended has no disk to fill.
    let _ = rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit);
}
