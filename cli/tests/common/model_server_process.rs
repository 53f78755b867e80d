//! A model server in a separate process that a signal can suspend. The kernel still accepts connections and bytes for
//! the suspended process.

use super::signals::{send_signal, suspend};
use petrelshore_emulator::platform::{ModelServer, ServerBehavior};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// Environment variable that makes a test process run as a model server; its value is the role.
const ROLE_VARIABLE: &str = "PETRELSHORE_TEST_MODEL_SERVER";
const READY_PREFIX: &str = "model server on ";

/// The step that a model server process executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Prefill,
    Decode,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
        }
    }
}

/// A running model server process, which is killed when this value is dropped.
pub struct ModelServerProcess {
    child: Child,
    pub address: SocketAddr,
}

impl ModelServerProcess {
    /// Runs the test `entry_point` of this test program as a model server; that test has to call [`run_if_requested`].
    pub fn start(entry_point: &str, role: Role) -> ModelServerProcess {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", entry_point, "--nocapture"])
            .env(ROLE_VARIABLE, role.name())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let ready = output.lines().map_while(Result::ok).find_map(|line| {
            let (_, address) = line.split_once(READY_PREFIX)?;
            address.trim().parse().ok()
        });
        ModelServerProcess { child, address: ready.unwrap() }
    }

    /// Suspends the process with SIGSTOP. No thread of it runs any more on return.
    pub fn suspend(&self) {
        suspend(self.child.id());
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        send_signal(self.child.id(), "-CONT");
    }
}

impl Drop for ModelServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs as a model server until the test that started this process ends. Returns immediately if no test started this
/// process as a model server.
pub fn run_if_requested() {
    let Ok(role) = std::env::var(ROLE_VARIABLE) else { return };
    let server = ModelServer::start(role == Role::Prefill.name(), ServerBehavior::Good).unwrap();
    println!("{READY_PREFIX}{}", server.address);
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}
