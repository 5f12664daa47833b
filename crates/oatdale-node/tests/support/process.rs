//! Nodes as processes of their own.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Processes that this one has started; tests run side by side and each needs its own file.
static STARTED: AtomicU32 = AtomicU32::new(0);

/// Names the file of settings to a node that is started by `Process::start_test`.
pub(crate) const SETTINGS: &str = "OATDALE_TEST_SETTINGS";

/// A running `oatdaled`; dropping it kills it.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) nodes: SocketAddr,
    pub(crate) admin: SocketAddr,
}

impl Process {
    /// Starts a node with these settings.
    pub(crate) fn start(name: &str, settings: &str) -> Process {
        let (path, log) = files(name, settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_oatdaled"));
        command.arg("--settings").arg(&path);
        Process::run(command, path, log)
    }

    /// Starts a node that is a test of this same program, which finds its settings in the
    /// environment; such a node may have other timers than `oatdaled`.
    pub(crate) fn start_test(test: &str, name: &str, settings: &str) -> Process {
        let (path, log) = files(name, settings);
        let mut command = Command::new(std::env::current_exe().expect("it has a path"));
        command.args(["--ignored", "--exact", "--nocapture", test]);
        command.env(SETTINGS, &path);
        Process::run(command, path, log)
    }

    fn run(mut command: Command, path: PathBuf, log: Stdio) -> Process {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let line = lines
            .map(|line| line.expect("it writes text"))
            .find(|line| line.contains("callers="))
            .expect("it says where it listens");
        let address = |name: &str| {
            let found = line.split_whitespace().find_map(|word| {
                let (key, value) = word.split_once('=')?;
                (key == name).then(|| value.parse().expect("an address"))
            });
            found.expect("each address is named")
        };
        Process {
            callers: address("callers"),
            nodes: address("nodes"),
            admin: address("admin"),
            settings: path,
            child,
        }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process is there");
    }

    /// How it ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it is our child")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn files(name: &str, settings: &str) -> (PathBuf, Stdio) {
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let file = format!("oatdale-test-{}-{number}.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, settings).expect("the temporary folder takes a file");
    let log = match std::env::var_os("OATDALE_TEST_LOGS") {
        Some(folder) => {
            let file = PathBuf::from(folder).join(format!("{number}-{name}.log"));
            std::fs::File::create(file)
                .expect("the folder is there")
                .into()
        }
        None => Stdio::null(),
    };
    (path, log)
}
