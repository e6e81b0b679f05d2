//! Executes a plan in the program into which this library is preloaded: it wraps functions of the C library.

#![allow(clippy::missing_safety_doc)]

use std::cell::Cell;
use std::ffi::{c_char, c_int, c_void, CStr};
use std::sync::atomic::{AtomicI32, AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::OnceLock;

use libc::{iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};
use ternpick_fault_injection::{Call, Effect, Plan, Role, Rule, VARIABLE};

const DESCRIPTORS: usize = 65_536;

struct State {
    plan: Plan,
    started_ms: i64,
    /// The number of matching calls per rule.
    seen: Vec<AtomicU64>,
    /// How often each rule with the effect `Fails` or `Half` has struck; selects what its next strike does.
    turns: Vec<AtomicU64>,
    /// The number of strikes per rule, in memory shared with the test.
    counts: &'static [AtomicU64],
    random_state: AtomicU64,
}

static STATE: OnceLock<State> = OnceLock::new();
/// The role of each descriptor, as a number (see `set_role`); 0 means that it has none.
static ROLES: [AtomicU8; DESCRIPTORS] = [const { AtomicU8::new(0) }; DESCRIPTORS];
/// The permanent error that was injected on each descriptor; 0 means that there was none.
static BROKEN: [AtomicI32; DESCRIPTORS] = [const { AtomicI32::new(0) }; DESCRIPTORS];

thread_local! {
    /// Whether this thread runs code of this library, whose own calls must not fail.
    static INSIDE: Cell<bool> = const { Cell::new(false) };
}

fn errno_of(name: &str) -> c_int {
    match name {
        "EINTR" => libc::EINTR,
        "EAGAIN" => libc::EAGAIN,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ENFILE" => libc::ENFILE,
        "EMFILE" => libc::EMFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "EPERM" => libc::EPERM,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENETDOWN" => libc::ENETDOWN,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "EHOSTDOWN" => libc::EHOSTDOWN,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EPIPE" => libc::EPIPE,
        "ENOSPC" => libc::ENOSPC,
        "EDQUOT" => libc::EDQUOT,
        "EIO" => libc::EIO,
        other => panic!("fault injection plan: unknown errno name {other:?}"),
    }
}

fn fail(errno: c_int) -> ssize_t {
    unsafe { *libc::__errno_location() = errno };
    -1
}

fn monotonic_ms() -> i64 {
    let mut at: timespec = unsafe { std::mem::zeroed() };
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut at) };
    at.tv_sec * 1000 + at.tv_nsec / 1_000_000
}

extern "C" fn start() {
    INSIDE.set(true);
    let Some(path) = std::env::var_os(VARIABLE) else {
        return INSIDE.set(false);
    };
    let text = std::fs::read_to_string(&path).expect("fault injection: the plan file is readable");
    let plan: Plan =
        serde_json::from_str(&text).expect("fault injection: the plan file holds a valid plan");
    let file = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .open(&plan.counts)
        .expect("fault injection: the counts file can be opened");
    let rules = plan.rules.len();
    let counts: &'static [AtomicU64] = if rules == 0 {
        &[]
    } else {
        use std::os::fd::AsRawFd;
        let (read, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        let at = unsafe {
            libc::mmap(
                std::ptr::null_mut(),
                8 * rules,
                read,
                shared,
                file.as_raw_fd(),
                0,
            )
        };
        assert!(
            at != libc::MAP_FAILED,
            "fault injection: mmap of the counts file failed"
        );
        unsafe { std::slice::from_raw_parts(at.cast::<AtomicU64>(), rules) }
    };
    let zeros = || (0..rules).map(|_| AtomicU64::new(0)).collect();
    let random_state = AtomicU64::new(plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let state = State {
        plan,
        started_ms: monotonic_ms(),
        seen: zeros(),
        turns: zeros(),
        counts,
        random_state,
    };
    assert!(
        STATE.set(state).is_ok(),
        "fault injection: the plan was loaded twice"
    );
    INSIDE.set(false);
}

#[used]
#[link_section = ".init_array"]
static START: extern "C" fn() = start;

impl State {
    fn age_ms(&self) -> u64 {
        u64::try_from(monotonic_ms() - self.started_ms).unwrap_or(0)
    }

    fn draw(&self) -> f64 {
        let mut x = self.random_state.load(Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random_state.store(x, Relaxed);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the first rule that strikes this call, with its position in the plan.
    fn strikes(&self, call: Call, role: Option<Role>) -> Option<(usize, &Rule)> {
        let age_ms = self.age_ms();
        self.plan.rules.iter().enumerate().find(|(at, rule)| {
            // The kernel neither shortens nor fails reads and writes of eventfd or timerfd counters, so transfers on descriptors
            // without a role are excluded from `Any`.
            let moves = matches!(rule.call, Call::Receive | Call::Send);
            let on = rule.on == Role::Any && (role.is_some() || !moves) || Some(rule.on) == role;
            if rule.call != call || !on || age_ms < rule.from_ms || age_ms >= rule.to_ms {
                return false;
            }
            let seen = self.seen[*at].fetch_add(1, Relaxed) + 1;
            let due = match rule.every {
                0 => self.draw() < rule.chance,
                every => seen.is_multiple_of(every),
            };
            due && self.counts[*at].load(Relaxed) < rule.most
        })
    }
}

fn role(fd: c_int) -> Option<Role> {
    match ROLES.get(fd as usize)?.load(Relaxed) {
        1 => Some(Role::Listener),
        2 => Some(Role::Client),
        3 => Some(Role::Node),
        4 => Some(Role::Discovery),
        5 => Some(Role::Pair),
        6 => Some(Role::File),
        _ => None,
    }
}

fn set_role(fd: c_int, role: Option<Role>) {
    let number = match role {
        None | Some(Role::Any) => 0,
        Some(Role::Listener) => 1,
        Some(Role::Client) => 2,
        Some(Role::Node) => 3,
        Some(Role::Discovery) => 4,
        Some(Role::Pair) => 5,
        Some(Role::File) => 6,
    };
    if let Some(role) = ROLES.get(fd as usize) {
        role.store(number, Relaxed);
        BROKEN[fd as usize].store(0, Relaxed);
    }
}

/// What happens to a call.
enum Fate {
    Passes,
    Fails(c_int),
    Short(usize),
}

fn fate(call: Call, fd: c_int, length: usize) -> Fate {
    let Some(state) = STATE.get() else {
        return Fate::Passes;
    };
    if INSIDE.replace(true) {
        return Fate::Passes;
    }
    let fate = decide(state, call, fd, length);
    INSIDE.set(false);
    fate
}

fn decide(state: &State, call: Call, fd: c_int, length: usize) -> Fate {
    let broken = BROKEN
        .get(fd as usize)
        .map_or(0, |errno| errno.load(Relaxed));
    if broken != 0 && matches!(call, Call::Receive | Call::Send) {
        return Fate::Fails(if call == Call::Send {
            libc::EPIPE
        } else {
            broken
        });
    }
    let Some((at, rule)) = state.strikes(call, role(fd)) else {
        return Fate::Passes;
    };
    let strike = || state.counts[at].fetch_add(1, Relaxed);
    match &rule.effect {
        Effect::Fails(names) => {
            strike();
            let turns = state.turns[at].fetch_add(1, Relaxed) as usize;
            let errno = errno_of(&names[turns % names.len()]);
            let permanent = [
                libc::ETIMEDOUT,
                libc::EHOSTUNREACH,
                libc::ECONNRESET,
                libc::EPIPE,
                libc::ENETUNREACH,
            ];
            if matches!(call, Call::Receive | Call::Send) && permanent.contains(&errno) {
                BROKEN[fd as usize].store(errno, Relaxed);
            }
            Fate::Fails(errno)
        }
        // Calls that move no more than `most` bytes are not shortened.
        Effect::Short(most) if length > *most => {
            strike();
            Fate::Short(*most)
        }
        Effect::Half(name) => {
            strike();
            let turns = state.turns[at].fetch_add(1, Relaxed);
            if turns.is_multiple_of(2) && length > 1 {
                return Fate::Short(length / 2);
            }
            Fate::Fails(errno_of(name))
        }
        Effect::HeldUp(ms) => {
            strike();
            let time = timespec {
                tv_sec: (*ms / 1000) as i64,
                tv_nsec: (*ms % 1000 * 1_000_000) as i64,
            };
            unsafe { libc::syscall(libc::SYS_nanosleep, &time, std::ptr::null_mut::<timespec>()) };
            Fate::Passes
        }
        Effect::Short(_) => Fate::Passes,
    }
}

/// Returns the address of the C library's own function with this name.
fn real(cache: &AtomicUsize, name: &CStr) -> usize {
    let known = cache.load(Relaxed);
    if known != 0 {
        return known;
    }
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(found, Relaxed);
    found
}

macro_rules! real {
    ($name:ident, fn($($arg:ty),*) -> $ret:ty) => {{
        static CACHE: AtomicUsize = AtomicUsize::new(0);
        let address = real(&CACHE, unsafe { CStr::from_bytes_with_nul_unchecked(concat!(stringify!($name), "\0").as_bytes()) });
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($arg),*) -> $ret>(address) }
    }};
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, at) as c_int;
    if clock == libc::CLOCK_REALTIME && done == 0 {
        if let Some(state) = STATE.get() {
            let age_ms = state.age_ms();
            let by: i64 = state
                .plan
                .steps
                .iter()
                .filter(|step| step.at_ms <= age_ms)
                .map(|step| step.by_ms)
                .sum();
            let ms = (*at).tv_sec * 1000 + (*at).tv_nsec / 1_000_000 + by;
            (*at).tv_nsec = ms.rem_euclid(1000) * 1_000_000 + (*at).tv_nsec % 1_000_000;
            (*at).tv_sec = ms.div_euclid(1000);
        }
    }
    done
}

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Fate::Fails(errno) = fate(Call::Socket, -1, 0) {
        return fail(errno) as c_int;
    }
    let fd = real!(socket, fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol);
    set_role(fd, None);
    fd
}

#[no_mangle]
pub unsafe extern "C" fn socketpair(
    domain: c_int,
    kind: c_int,
    protocol: c_int,
    pair: *mut c_int,
) -> c_int {
    let done = real!(socketpair, fn(c_int, c_int, c_int, *mut c_int) -> c_int)(
        domain, kind, protocol, pair,
    );
    if done == 0 {
        set_role(*pair, Some(Role::Pair));
        set_role(*pair.add(1), Some(Role::Pair));
    }
    done
}

#[no_mangle]
pub unsafe extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    let done = real!(listen, fn(c_int, c_int) -> c_int)(fd, backlog);
    if done == 0 {
        set_role(fd, Some(Role::Listener));
    }
    done
}

#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let (Some(state), true) = (
        STATE.get(),
        i32::from((*address).sa_family) == libc::AF_INET,
    ) {
        let port = u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port);
        let role = if port == state.plan.discovery_port {
            Role::Discovery
        } else {
            Role::Node
        };
        set_role(fd, Some(role));
    }
    if let Fate::Fails(errno) = fate(Call::Connect, fd, 0) {
        return fail(errno) as c_int;
    }
    real!(connect, fn(c_int, *const sockaddr, socklen_t) -> c_int)(fd, address, length)
}

#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    // Only a call with a pending connection fails: the kernel does not fail a call that would wait.
    let mut wait = libc::pollfd {
        fd,
        events: libc::POLLIN,
        revents: 0,
    };
    if STATE.get().is_some() && libc::poll(&mut wait, 1, 0) > 0 {
        if let Fate::Fails(errno) = fate(Call::Accept, fd, 0) {
            return fail(errno) as c_int;
        }
    }
    let real = real!(
        accept4,
        fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    let client = real(fd, address, length, flags);
    if client >= 0 {
        set_role(client, Some(Role::Client));
    }
    client
}

#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    set_role(fd, None);
    real!(close, fn(c_int) -> c_int)(fd)
}

macro_rules! moves {
    ($name:ident, $call:expr, fn($($arg:ident: $ty:ty),*), length $length:ident) => {
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, $($arg: $ty),*) -> ssize_t {
            let call = real!($name, fn(c_int, $($ty),*) -> ssize_t);
            let before = $length;
            let $length = match fate($call, fd, $length as usize) {
                Fate::Fails(errno) => return fail(errno),
                Fate::Short(most) => most as _,
                Fate::Passes => before,
            };
            call(fd, $($arg),*)
        }
    };
}

moves!(recv, Call::Receive, fn(buffer: *mut c_void, length: size_t, flags: c_int), length length);
moves!(recvfrom, Call::Receive, fn(buffer: *mut c_void, length: size_t, flags: c_int, from: *mut sockaddr, size: *mut socklen_t), length length);
moves!(read, Call::Receive, fn(buffer: *mut c_void, length: size_t), length length);
moves!(send, Call::Send, fn(buffer: *const c_void, length: size_t, flags: c_int), length length);
moves!(sendto, Call::Send, fn(buffer: *const c_void, length: size_t, flags: c_int, to: *const sockaddr, size: socklen_t), length length);
moves!(write, Call::Send, fn(buffer: *const c_void, length: size_t), length length);

unsafe fn total(parts: *const iovec, count: c_int) -> usize {
    (0..count as usize).map(|at| (*parts.add(at)).iov_len).sum()
}

#[no_mangle]
pub unsafe extern "C" fn readv(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match fate(Call::Receive, fd, total(parts, count)) {
        Fate::Fails(errno) => fail(errno),
        Fate::Short(most) => {
            let first = *parts;
            real!(read, fn(c_int, *mut c_void, size_t) -> ssize_t)(
                fd,
                first.iov_base,
                first.iov_len.min(most),
            )
        }
        Fate::Passes => real!(readv, fn(c_int, *const iovec, c_int) -> ssize_t)(fd, parts, count),
    }
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match fate(Call::Send, fd, total(parts, count)) {
        Fate::Fails(errno) => fail(errno),
        Fate::Short(most) => {
            let first = *parts;
            real!(write, fn(c_int, *const c_void, size_t) -> ssize_t)(
                fd,
                first.iov_base,
                first.iov_len.min(most),
            )
        }
        Fate::Passes => real!(writev, fn(c_int, *const iovec, c_int) -> ssize_t)(fd, parts, count),
    }
}

#[no_mangle]
pub unsafe extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let call = real!(sendmsg, fn(c_int, *const msghdr, c_int) -> ssize_t);
    let length = total((*message).msg_iov, (*message).msg_iovlen as c_int);
    match fate(Call::Send, fd, length) {
        Fate::Fails(errno) => fail(errno),
        Fate::Short(most) => {
            let mut part = std::mem::zeroed();
            call(fd, &shortened(message, most, &mut part), flags)
        }
        Fate::Passes => call(fd, message, flags),
    }
}

/// Returns a copy of the message header with only the first buffer, limited to `most` bytes. `part` holds that buffer's entry.
unsafe fn shortened(message: *const msghdr, most: usize, part: &mut iovec) -> msghdr {
    *part = *(*message).msg_iov;
    part.iov_len = part.iov_len.min(most);
    let mut short = *message;
    short.msg_iov = part;
    short.msg_iovlen = 1;
    short
}

#[no_mangle]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    let call = real!(recvmsg, fn(c_int, *mut msghdr, c_int) -> ssize_t);
    let length = total((*message).msg_iov, (*message).msg_iovlen as c_int);
    match fate(Call::Receive, fd, length) {
        Fate::Fails(errno) => fail(errno),
        Fate::Short(most) => {
            let mut part = std::mem::zeroed();
            let mut short = shortened(message, most, &mut part);
            let received = call(fd, &mut short, flags);
            // Copies the fields that the kernel has set back into the caller's header.
            (*message).msg_controllen = short.msg_controllen;
            (*message).msg_flags = short.msg_flags;
            (*message).msg_namelen = short.msg_namelen;
            received
        }
        Fate::Passes => call(fd, message, flags),
    }
}

macro_rules! waits {
    ($name:ident, fn($($arg:ident: $ty:ty),* $(,)?)) => {
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int, $($arg: $ty),*) -> c_int {
            if let Fate::Fails(errno) = fate(Call::Wait, fd, 0) {
                return fail(errno) as c_int;
            }
            real!($name, fn(c_int, $($ty),*) -> c_int)(fd, $($arg),*)
        }
    };
}

waits!(
    epoll_wait,
    fn(events: *mut libc::epoll_event, most: c_int, timeout: c_int)
);
waits!(
    epoll_pwait,
    fn(events: *mut libc::epoll_event, most: c_int, timeout: c_int, mask: *const libc::sigset_t)
);
waits!(
    epoll_pwait2,
    fn(
        events: *mut libc::epoll_event,
        most: c_int,
        timeout: *const timespec,
        mask: *const libc::sigset_t,
    )
);

unsafe fn in_folder(path: *const c_char) -> bool {
    let folder = STATE.get().and_then(|state| state.plan.folder.as_deref());
    let bytes = CStr::from_ptr(path).to_bytes();
    folder.is_some_and(|folder| bytes.starts_with(folder.as_os_str().as_encoded_bytes()))
}

macro_rules! opens {
    ($name:ident, fn($($arg:ident: $ty:ty),*), path $path:ident) => {
        #[no_mangle]
        pub unsafe extern "C" fn $name($($arg: $ty),*, mode: libc::mode_t) -> c_int {
            let ours = STATE.get().is_some() && in_folder($path);
            if ours {
                if let Fate::Fails(errno) = fate(Call::Open, -1, 0) {
                    return fail(errno) as c_int;
                }
            }
            let fd = real!($name, fn($($ty),*, libc::mode_t) -> c_int)($($arg),*, mode);
            set_role(fd, ours.then_some(Role::File));
            fd
        }
    };
}

opens!(open, fn(path: *const c_char, flags: c_int), path path);
opens!(open64, fn(path: *const c_char, flags: c_int), path path);
opens!(openat, fn(folder: c_int, path: *const c_char, flags: c_int), path path);
opens!(openat64, fn(folder: c_int, path: *const c_char, flags: c_int), path path);

#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Fate::Fails(errno) = fate(Call::Sync, fd, 0) {
        return fail(errno) as c_int;
    }
    real!(fsync, fn(c_int) -> c_int)(fd)
}

#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Fate::Fails(errno) = fate(Call::Sync, fd, 0) {
        return fail(errno) as c_int;
    }
    real!(fdatasync, fn(c_int) -> c_int)(fd)
}

#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if STATE.get().is_some() && in_folder(to) {
        if let Fate::Fails(errno) = fate(Call::Rename, -1, 0) {
            return fail(errno) as c_int;
        }
    }
    real!(rename, fn(*const c_char, *const c_char) -> c_int)(from, to)
}

#[no_mangle]
pub unsafe extern "C" fn renameat(
    from_folder: c_int,
    from: *const c_char,
    to_folder: c_int,
    to: *const c_char,
) -> c_int {
    if STATE.get().is_some() && in_folder(to) {
        if let Fate::Fails(errno) = fate(Call::Rename, -1, 0) {
            return fail(errno) as c_int;
        }
    }
    real!(
        renameat,
        fn(c_int, *const c_char, c_int, *const c_char) -> c_int
    )(from_folder, from, to_folder, to)
}
