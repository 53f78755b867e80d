//! Signals to other processes.

use super::EVENT_TIMEOUT;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The state of a stopped thread in `/proc`.
const STOPPED: &str = "T";

/// Sends a signal, such as `-STOP`, to a process.
pub fn send_signal(process: u32, signal: &str) {
    assert!(Command::new("kill").args([signal, &process.to_string()]).status().unwrap().success());
}

/// Suspends a process with SIGSTOP and waits until none of its threads runs any more, which takes some time on a busy
/// machine.
pub fn suspend(process: u32) {
    send_signal(process, "-STOP");
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !is_stopped(process) {
        assert!(Instant::now() < deadline, "process {process} does not stop");
        thread::sleep(CHECK_INTERVAL);
    }
}

fn is_stopped(process: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).unwrap();
    threads.flatten().all(|thread| is_thread_stopped(&thread.path()))
}

/// Returns whether a thread is stopped. The state follows the name of the thread, which is in parentheses.
fn is_thread_stopped(thread: &Path) -> bool {
    let status = std::fs::read_to_string(thread.join("stat")).unwrap_or_default();
    status.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with(STOPPED))
}
