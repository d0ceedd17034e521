//! Starts, signals and stops a real node process.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::{Deserialize, Serialize},
    std::{
        env, fs,
        io::{self, BufRead as _, BufReader},
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        time::{Duration, Instant},
    },
};

/// How long a node may take to bind its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// An error from starting or controlling a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node can't be started, or its files can't be written.
    #[error("can't run the node: {0}")]
    Io(#[from] io::Error),
    /// The node did not print its addresses in time.
    #[error("the node {vm} did not print its addresses in time; its log is:\n{log}")]
    NotReady {
        /// The VM.
        vm: String,
        /// The node's log.
        log: String,
    },
    /// The node did not exit in time.
    #[error("the node {vm} did not exit within {waited:?}; its log is:\n{log}")]
    Running {
        /// The VM.
        vm: String,
        /// The timeout.
        waited: Duration,
        /// The node's log.
        log: String,
    },
    /// The signal can't be sent.
    #[error("can't signal the node: {0}")]
    Signal(#[from] nix::Error),
    /// The node's state dump can't be read.
    #[error("can't get the dump of {vm}: {cause}")]
    Dump {
        /// The VM.
        vm: String,
        /// The underlying error.
        cause: String,
    },
}

/// The addresses of a node's listeners.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listen {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for nested calls of its own target.
    pub egress: SocketAddr,
    /// The listener for other nodes.
    pub peers: SocketAddr,
    /// The listener for operators.
    pub admin: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { callers: any, egress: any, peers: any, admin: any }
    }
}

/// The settings file of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// The name of the VM.
    pub vm: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The listeners, where port 0 lets the system choose.
    pub listen: Listen,
    /// The address that peers connect to, if it differs from the node's own listener.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers_address: Option<SocketAddr>,
    /// The address of the target on the same VM.
    pub target: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The secret by which the nodes of a fleet authenticate each other.
    pub secret: String,
    /// The settings of the log.
    pub log: Log,
}

/// The log settings of a node.
#[derive(Clone, Debug, Serialize)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: String,
    /// Whether log lines are JSON.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".into(), json: false }
    }
}

/// A running `monsoond`. It is killed when it is dropped.
#[derive(Debug)]
pub struct Node {
    vm: String,
    child: Child,
    listen: Listen,
    directory: PathBuf,
}

impl Node {
    /// Starts a node and waits until its listeners are bound.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotReady`] with the node's log when it prints no addresses in time.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let directory = new_directory()?;
        let file = directory.join("settings.yaml");
        // The node reads YAML, of which JSON is a subset.
        fs::write(&file, serde_json::to_string(settings).map_err(io::Error::from)?)?;
        let mut child = Command::new(binary("monsoond"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(fs::File::create(directory.join("log"))?)
            .spawn()?;
        let listen = read_listeners(&mut child);
        let vm = settings.vm.clone();
        let mut node = Self { vm, child, listen: settings.listen, directory };
        let Some(listen) = listen else {
            return Err(Error::NotReady { vm: node.vm.clone(), log: node.log() });
        };
        node.listen = listen;
        Ok(node)
    }

    /// Returns the bound addresses.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example when the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).map_err(|_| nix::Error::ESRCH)?;
        Ok(kill(Pid::from_raw(pid), signal)?)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process exits by itself.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Running`] with the node's log when it does not exit in time.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Error> {
        const POLL: Duration = Duration::from_millis(10);
        let start = Instant::now();
        while start.elapsed() < timeout {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL).await;
        }
        Err(Error::Running { vm: self.vm.clone(), waited: timeout, log: self.log() })
    }

    /// Returns the node's log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    /// Returns the node's state dump.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Dump`] when the node does not answer with JSON.
    pub async fn dump(&self) -> Result<serde_json::Value, Error> {
        const MAX_DUMP_BYTES: usize = 16 << 20;
        let failed = |cause: String| Error::Dump { vm: self.vm.clone(), cause };
        let url = format!("http://{}/dump", self.listen.admin);
        let mut response =
            awc::Client::default().get(url).send().await.map_err(|e| failed(e.to_string()))?;
        response.json().limit(MAX_DUMP_BYTES).await.map_err(|e| failed(e.to_string()))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Killing a node that has exited already fails, which is harmless here.
        let _ = self.kill();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn read_listeners(child: &mut Child) -> Option<Listen> {
    let stdout = child.stdout.take()?;
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        if BufReader::new(stdout).read_line(&mut line).is_ok() {
            // The receiver is gone after the timeout.
            let _ = sender.send(line);
        }
    });
    let line = receiver.recv_timeout(START_TIMEOUT).ok()?;
    serde_json::from_str(&line).ok()
}

fn new_directory() -> io::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("monsoon-test-{}-{number}", std::process::id());
    let directory = env::temp_dir().join(name);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}

/// Returns the path of a workspace binary. It is in the directory of the running executable or in
/// one above it, unless Cargo sets the path.
fn binary(name: &str) -> PathBuf {
    let variable = format!("CARGO_BIN_EXE_{name}");
    if let Some(path) = env::var_os(variable) {
        return path.into();
    }
    let running = env::current_exe().unwrap_or_default();
    let found = running.ancestors().skip(1).map(|dir| dir.join(name)).find(|path| path.is_file());
    found.unwrap_or_else(|| Path::new(name).to_owned())
}
