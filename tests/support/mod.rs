//! Starts the real binaries for tests, each on a free port and killed when its handle is dropped.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses its own part")]
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a panic in a helper fails the test that called it"
)]

use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// A temporary directory for the settings files of one test, removed when dropped.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Creates an empty directory with a name unique to this process and call.
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hemlockrock-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self { path }
    }

    /// Writes a file into the directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// A running binary that prints `listening IP:port` as its first line on standard output.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address on which it listens, `IP:port`.
    pub address: String,
}

impl Process {
    /// Starts `binary` (use `env!("CARGO_BIN_EXE_…")`) and waits until it prints its address.
    #[allow(clippy::disallowed_methods, reason = "tests start real processes")]
    pub fn start(binary: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(binary);
        command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = lines.next().expect("a first line").unwrap();
        let address = first.strip_prefix("listening ").expect(&first).trim().to_owned();
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, address }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Continues a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Waits at most `limit` for the process to end; returns its exit code, or `None` if it still
    /// runs or was killed by a signal.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            pause_thread(Duration::from_millis(10));
        }
        None
    }

    #[allow(unsafe_code, reason = "signals to our own child")]
    fn signal(&self, signal: i32) {
        let id = i32::try_from(self.child.id()).unwrap();
        // SAFETY: the process is our child and has not been waited for.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `check` returns true; panics with the description `what` after `limit`.
pub fn eventually(what: &str, limit: Duration, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !check() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        pause_thread(Duration::from_millis(20));
    }
}

#[allow(clippy::disallowed_methods, reason = "tests block their own thread")]
fn pause_thread(duration: Duration) {
    std::thread::sleep(duration);
}
