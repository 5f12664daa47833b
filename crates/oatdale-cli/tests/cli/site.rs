//! A key-value service, nodes that only tell their status, and the program run against them.

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Full};
use oatdale_fakes::{KvServer, MemKv, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bounds every run; no run of a sound program comes near.
const TIMEOUT: &str = "10s";

pub(crate) struct Site {
    pub(crate) kv: MemKv,
    server: Server,
    pub(crate) nodes: Vec<SocketAddr>,
    dir: PathBuf,
}

/// What the program printed and returned.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Site {
    /// `name` is the test's own, so that its files are too.
    pub(crate) async fn start(name: &str) -> Self {
        let kv = MemKv::new(1);
        let server = KvServer::start(loopback(), kv.clone()).await;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Left from an earlier run, if it is there at all.
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("the target folder can be written");
        Site {
            kv,
            server: server.expect("a free port"),
            nodes: Vec::new(),
            dir,
        }
    }

    pub(crate) fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("the target folder can be written");
        path
    }

    pub(crate) async fn run(&self, args: &[&str]) -> Run {
        self.run_with(args, "").await
    }

    /// Runs the program, with `input` on its standard input, while the stand-ins go on serving.
    pub(crate) async fn run_with(&self, args: &[&str], input: &str) -> Run {
        let nodes: Vec<String> = self.nodes.iter().map(ToString::to_string).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_oatdale"));
        command
            .args(args)
            .env("OATDALE_KEY_VALUE", self.server.addr().to_string())
            .env("OATDALE_NODES", nodes.join(","))
            .env("OATDALE_OPERATOR", "mai")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        if !args.contains(&"--timeout") {
            command.args(["--timeout", TIMEOUT]);
        }
        let input = input.to_owned();
        let output = tokio::task::spawn_blocking(move || finish(command, &input));
        let output = output.await.expect("no panic");
        Run {
            code: output.status.code().expect("it ended by itself"),
            out: String::from_utf8(output.stdout).expect("text"),
            err: String::from_utf8(output.stderr).expect("text"),
        }
    }

    /// Puts the example of Skyward in force as revision 1.
    pub(crate) async fn apply_skyward(&self) {
        let run = self.run(&["apply", &example("skyward.yaml")]).await;
        assert_eq!(run.code, 0, "{run:?}");
    }

    /// Adds a node that takes a revision up after it was asked `late` times.
    pub(crate) async fn add_node(
        &mut self,
        host: &'static str,
        revision: u64,
        late: u64,
    ) -> Server {
        self.add_node_with_peers(host, revision, late, "").await
    }

    /// As above, and the node tells of `peers`, in JSON.
    pub(crate) async fn add_node_with_peers(
        &mut self,
        host: &'static str,
        revision: u64,
        late: u64,
        peers: &'static str,
    ) -> Server {
        let asked = Arc::new(AtomicU64::new(0));
        let server = Server::start(loopback(), move |_req| {
            let count = asked.fetch_add(1, Ordering::Relaxed);
            let has = revision.saturating_sub(u64::from(count < late));
            let body = format!(
                r#"{{"host":"{host}","domain":"hcm-a","incarnation":1,"revision":{has},
                "revision_age_ms":40,"state":"serving","peers":[{peers}],"stops":
                [{{"version":"orbit-mini/2026-11","revision":1,"reason":"errors"}}]}}"#
            );
            let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
            async move { Ok(Response::new(body.boxed_unsync())) }
        });
        let server = server.await.expect("a free port");
        self.nodes.push(server.addr());
        server
    }
}

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn finish(mut command: Command, input: &str) -> Output {
    let mut child = command.spawn().expect("the program is built");
    let mut stdin = child.stdin.take().expect("it is piped");
    // A program that reads no input may be gone already.
    let _ = std::io::Write::write_all(&mut stdin, input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends")
}
