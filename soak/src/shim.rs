//! Injects faults into the system calls and the wall clock of a process through a library that is preloaded into it.
//!
//! The library is written in C (`shim/faults.c`) because it replaces functions of the C library. It is built with the
//! system's `cc`, which the Rust toolchain links with anyway. The process maps the file of settings into its memory, so
//! that faults may begin and end while the process runs.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");
/// The environment variable that gives the library the path of its settings file.
const SETTINGS_VARIABLE: &str = "PETRELSHORE_FAULTS";
const SETTING_COUNT: usize = 13;
const SETTING_BYTES: usize = 8;

/// A setting or counter of the library; its discriminant is its index in the settings file. With a rate of n, a fault
/// affects one call in n on average; with a rate of zero, none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The seed of the generator that draws the affected calls.
    Seed,
    /// The offset that is added to the wall clock, in nanoseconds.
    WallOffset,
    /// The rate of calls that fail with `EINTR`.
    Interrupted,
    /// The rate of transfers that move only one to six bytes.
    ShortTransfer,
    /// The rate of `accept4` calls that fail.
    AcceptFails,
    /// The rate of `socket` calls that fail.
    SocketFails,
    /// The rate of `connect` calls that fail.
    ConnectFails,
    /// The rate of transfers at which an outgoing connection ends with an error.
    Broken,
    /// The rate of writes and syncs of files that fail or write less than asked.
    DiskFails,
    /// The time by which a send is delayed, in nanoseconds.
    HeldUpFor,
    /// The rate of sends that are delayed.
    HeldUp,
    /// The number of affected calls, counted by the library.
    CallsFailed,
    /// The rate of transfers that fail with `ENOMEM` or `ENOBUFS`.
    NoMemory,
}

/// The path of the built library.
pub struct Library(PathBuf);

impl Library {
    /// Builds the library in `folder`. Each caller needs a folder of its own, because the file names are fixed.
    pub fn build(folder: &Path) -> io::Result<Library> {
        let (source, built) = (folder.join("faults.c"), folder.join("faults.so"));
        std::fs::write(&source, SOURCE)?;
        let compiler = Command::new("cc")
            .args(["-shared", "-fPIC", "-O2", "-o"])
            .arg(&built)
            .arg(&source)
            .arg("-ldl")
            .status()?;
        if !compiler.success() {
            return Err(io::Error::other("cc could not compile shim/faults.c into a shared library"));
        }
        Ok(Library(built))
    }
}

/// The fault settings of one process.
pub struct Faults {
    settings: File,
    file: PathBuf,
    library: PathBuf,
}

impl Faults {
    /// Creates the settings file, with all faults off.
    pub fn new(library: &Library, file: PathBuf, seed: u64) -> io::Result<Faults> {
        let settings = File::options().read(true).write(true).create(true).truncate(true).open(&file)?;
        settings.write_all_at(&[0; SETTING_COUNT * SETTING_BYTES], 0)?;
        let faults = Faults { settings, file, library: library.0.clone() };
        faults.set(Fault::Seed, seed as i64)?;
        Ok(faults)
    }

    /// Preloads the library into the process that `command` starts.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library).env(SETTINGS_VARIABLE, &self.file);
    }

    /// Writes a setting.
    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.settings.write_all_at(&value.to_ne_bytes(), offset(fault))
    }

    /// Reads a setting or counter.
    pub fn get(&self, fault: Fault) -> io::Result<i64> {
        let mut value = [0; SETTING_BYTES];
        self.settings.read_exact_at(&mut value, offset(fault))?;
        Ok(i64::from_ne_bytes(value))
    }
}

fn offset(fault: Fault) -> u64 {
    fault as u64 * SETTING_BYTES as u64
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
