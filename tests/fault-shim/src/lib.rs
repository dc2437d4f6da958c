//! A preloaded library that makes system calls of a process under test fail in the ways that Linux documents.
//!
//! Each exported function replaces the C library's function of the same name and makes the system call
//! itself. The failing calls are sampled from a seed. The environment variables below set how often calls
//! fail and how the wall clock is stepped.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_SEED` | seed of the random generator |
//! | `FAULT_PER_MILLE` | number of calls in a thousand that fail or transfer less than requested |
//! | `FAULT_STEP_AFTER_MS`, `FAULT_STEP_S` | ms from the first call to a wall clock step; step in seconds |
//! | `FAULT_FILES` | `1`: writes to files fail equally often, with `ENOSPC` or `EIO` |

use libc::{
    c_int, c_long, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Settings that were read from the environment variables.
struct FaultPlan {
    failures_per_mille: u64,
    step_after_ns: i64,
    step_s: i64,
    fail_file_writes: bool,
    /// Monotonic time of the first intercepted call.
    first_call_ns: i64,
}

static RNG_STATE: AtomicU64 = AtomicU64::new(0);
static FAULT_PLAN: OnceLock<FaultPlan> = OnceLock::new();

fn environment_integer(name: &str) -> i64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn fault_plan() -> &'static FaultPlan {
    FAULT_PLAN.get_or_init(|| {
        RNG_STATE.store(environment_integer("FAULT_SEED") as u64 | 1, Ordering::Relaxed);
        FaultPlan {
            failures_per_mille: environment_integer("FAULT_PER_MILLE") as u64,
            step_after_ns: environment_integer("FAULT_STEP_AFTER_MS") * 1_000_000,
            step_s: environment_integer("FAULT_STEP_S"),
            fail_file_writes: environment_integer("FAULT_FILES") == 1,
            first_call_ns: monotonic_ns(),
        }
    })
}

fn monotonic_ns() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer refers to a local `timespec`, which the call may write.
    unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(libc::CLOCK_MONOTONIC), &raw mut now) };
    now.tv_sec * 1_000_000_000 + now.tv_nsec
}

/// Returns the next number of a xorshift generator.
fn next_random() -> u64 {
    let xorshift = |mut state: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^ (state << 17)
    };
    let previous_state =
        RNG_STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| Some(xorshift(state)));
    previous_state.map_or(0, xorshift) >> 11
}

/// Returns true if this call must fail.
fn should_fail() -> bool {
    let plan = fault_plan();
    plan.failures_per_mille > 0 && next_random() % 1000 < plan.failures_per_mille
}

/// Sets `errno` to one of `errors`, chosen at random, and returns -1.
fn fail<T: From<i8>>(errors: &[c_int]) -> T {
    let error = errors[next_random() as usize % errors.len()];
    // SAFETY: the location of this thread's `errno` is valid as long as the thread runs.
    unsafe { *libc::__errno_location() = error };
    T::from(-1)
}

/// Returns `length`, or at random a shorter length of at least 1.
fn shortened(length: size_t) -> size_t {
    if length > 1 && should_fail() { 1 + next_random() as usize % (length - 1) } else { length }
}

fn is_file(fd: c_int) -> bool {
    // SAFETY: `stat` is a C structure of plain data, for which zeros are valid.
    let mut about: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the pointer refers to the local structure above.
    let fstat_result = unsafe { libc::fstat(fd, &raw mut about) };
    fstat_result == 0 && about.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// # Safety
/// The requirements are those of `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_fail() {
        return fail(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::EINTR,
            libc::EPROTO,
        ]);
    }
    // SAFETY: the caller provides arguments that are valid for the same system call.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

/// # Safety
/// The requirements are those of `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if should_fail() {
        return fail(&[libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::EHOSTUNREACH, libc::ETIMEDOUT]);
    }
    // SAFETY: the caller provides arguments that are valid for the same system call.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

/// # Safety
/// The requirements are those of `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if should_fail() {
        return fail(&[libc::ENOBUFS, libc::ENFILE]);
    }
    // SAFETY: the arguments are integers.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// # Safety
/// The requirements are those of `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail() {
        return fail(&[libc::EINTR]);
    }
    let none = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller provides a buffer of `length` bytes, and the call receives at most as many.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, shortened(length), flags, none, none) as ssize_t }
}

/// # Safety
/// The requirements are those of `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if should_fail() {
        return fail(&[libc::EINTR]);
    }
    let none = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller provides a buffer of `length` bytes, and the call sends at most as many.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, shortened(length), flags, none, 0) as ssize_t }
}

/// # Safety
/// The requirements are those of `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    if !is_file(fd) && should_fail() {
        return fail(&[libc::EINTR]);
    }
    let some = if count > 1 && should_fail() { 1 } else { count };
    // SAFETY: the caller provides a list of `count` buffers, and the call uses at most as many.
    unsafe { libc::syscall(libc::SYS_writev, fd, pieces, some) as ssize_t }
}

/// # Safety
/// The requirements are those of `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if fault_plan().fail_file_writes && fd > 2 && is_file(fd) && should_fail() {
        return fail(&[libc::ENOSPC, libc::EIO]);
    }
    // SAFETY: the caller provides arguments that are valid for the same system call.
    unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t }
}

/// # Safety
/// The requirements are those of `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_fail() {
        return fail(&[libc::EINTR]);
    }
    // Not every architecture has `SYS_epoll_wait`. With a null signal mask `SYS_epoll_pwait` is the same call.
    let no_mask = std::ptr::null::<c_void>();
    let mask_bytes: size_t = 8;
    // SAFETY: the caller provides arguments that are valid for the same system call, and a null mask isn't read.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout, no_mask, mask_bytes) as c_int
    }
}

/// # Safety
/// The requirements are those of `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller provides a pointer that is valid for the same system call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) as c_int };
    let plan = fault_plan();
    let clock_is_stepped = plan.step_s != 0 && monotonic_ns() - plan.first_call_ns >= plan.step_after_ns;
    if result == 0 && clock == libc::CLOCK_REALTIME && clock_is_stepped {
        // SAFETY: the call above succeeded, so it has written a time to the pointer.
        unsafe { (*time).tv_sec += plan.step_s };
    }
    result
}
