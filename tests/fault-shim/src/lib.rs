//! Has system calls of a process under test fail as Linux documents, by preloading this library.
//!
//! Each function here stands in front of the C library's of the same name and makes the system call itself. What fails
//! is drawn from a seed; the variables below say how often, and how the wall clock is stepped.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_SEED` | where the draws begin |
//! | `FAULT_PER_MILLE` | calls in a thousand that fail or are cut short |
//! | `FAULT_STEP_AFTER_MS`, `FAULT_STEP_S` | when the wall clock is stepped, from the first call on, and by how many seconds |
//! | `FAULT_FILES` | `1`: writes to files fail as often, with `ENOSPC` or `EIO` |

use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// What the variables say.
struct Plan {
    per_mille: u64,
    step_after_ns: i64,
    step_s: i64,
    files: bool,
    began_ns: i64,
}

static STATE: AtomicU64 = AtomicU64::new(0);
static PLAN: OnceLock<Plan> = OnceLock::new();

fn variable(name: &str) -> i64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn plan() -> &'static Plan {
    PLAN.get_or_init(|| {
        STATE.store(variable("FAULT_SEED") as u64 | 1, Ordering::Relaxed);
        Plan {
            per_mille: variable("FAULT_PER_MILLE") as u64,
            step_after_ns: variable("FAULT_STEP_AFTER_MS") * 1_000_000,
            step_s: variable("FAULT_STEP_S"),
            files: variable("FAULT_FILES") == 1,
            began_ns: monotonic_ns(),
        }
    })
}

fn monotonic_ns() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a value of this function's own, as the call wants it.
    unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(libc::CLOCK_MONOTONIC), &raw mut now) };
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

/// The next number of a xorshift generator.
fn draw() -> u64 {
    let next = |mut state: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^ (state << 17)
    };
    let step = STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| Some(next(state)));
    step.map_or(0, next) >> 11
}

/// Whether this call is to fail.
fn strikes() -> bool {
    let plan = plan();
    plan.per_mille > 0 && draw() % 1000 < plan.per_mille
}

fn fail<T: From<i8>>(errors: &[c_int]) -> T {
    let error = errors[draw() as usize % errors.len()];
    // SAFETY: the location of this thread's error number is valid for its life.
    unsafe { *libc::__errno_location() = error };
    T::from(-1)
}

/// A length that may be cut short.
fn shortened(length: size_t) -> size_t {
    if length > 1 && strikes() { 1 + draw() as usize % (length - 1) } else { length }
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: the structure is plain data for which zeros are valid, and is this function's own.
    let mut about: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer is to that structure.
    let read = unsafe { libc::fstat(fd, &raw mut about) };
    read == 0 && about.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if strikes() {
        return fail(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::EINTR,
            libc::EPROTO,
        ]);
    }
    // SAFETY: the arguments are the caller's, for the same call.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if strikes() {
        return fail(&[libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::EHOSTUNREACH, libc::ETIMEDOUT]);
    }
    // SAFETY: the arguments are the caller's, for the same call.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if strikes() {
        return fail(&[libc::ENOBUFS, libc::ENFILE]);
    }
    // SAFETY: plain numbers.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if strikes() {
        return fail(&[libc::EINTR]);
    }
    let none = std::ptr::null_mut::<c_void>();
    // SAFETY: the buffer is the caller's and at least as long as what is asked for.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, shortened(length), flags, none, none) as ssize_t }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if strikes() {
        return fail(&[libc::EINTR]);
    }
    let none = std::ptr::null_mut::<c_void>();
    // SAFETY: the buffer is the caller's and at least as long as what is sent.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, shortened(length), flags, none, 0) as ssize_t }
}

/// # Safety
/// As `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if !is_file(fd) && strikes() {
        return fail(&[libc::EINTR]);
    }
    let some = if count > 1 && strikes() { 1 } else { count };
    // SAFETY: the list is the caller's and at least as long as what is written of it.
    unsafe { libc::syscall(libc::SYS_writev, fd, pieces, some) as ssize_t }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if plan().files && fd > 2 && is_file(fd) && strikes() {
        return fail(&[libc::ENOSPC, libc::EIO]);
    }
    // SAFETY: the arguments are the caller's, for the same call.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if strikes() {
        return fail(&[libc::EINTR]);
    }
    // SAFETY: the arguments are the caller's, for the same call.
    unsafe { libc::syscall(libc::SYS_epoll_wait, fd, events, most, timeout) as c_int }
}

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the pointer is the caller's, for the same call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) as c_int };
    let plan = plan();
    let stepped = plan.step_s != 0 && monotonic_ns() - plan.began_ns >= plan.step_after_ns;
    if result == 0 && clock == libc::CLOCK_REALTIME && stepped {
        // SAFETY: the call above has written a time there.
        unsafe { (*time).tv_sec += plan.step_s };
    }
    result
}
