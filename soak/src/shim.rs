//! Faults in a process's system calls and wall clock, by a library that is preloaded into it.
//!
//! The library is C (`shim/faults.c`), since it takes the place of functions of the C library; it is built with the
//! system's `cc`, which every Rust toolchain here links with. Its settings stand in a file that the process has
//! mapped, so that faults begin and end while it runs.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");
/// The environment variable that names the file of settings to the library.
const SETTINGS_VARIABLE: &str = "PETRELSHORE_FAULTS";
const SETTINGS: usize = 13;
const SETTING_BYTES: usize = 8;

/// A setting or counter of the library, by its place in the file. Rates mean one call in so many; zero is never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The seed that calls are drawn by.
    Seed,
    /// Nanoseconds added to the wall clock.
    WallOffset,
    /// Calls fail with `EINTR`.
    Interrupted,
    /// Transfers move one to a few bytes.
    ShortTransfer,
    /// `accept` fails.
    AcceptFails,
    /// `socket` fails.
    SocketFails,
    /// `connect` fails.
    ConnectFails,
    /// An established connection ends with an error.
    Broken,
    /// Writes to files fail.
    DiskFails,
    /// How long a send is delayed, in nanoseconds.
    HeldUpFor,
    /// Sends are delayed.
    HeldUp,
    /// Failed calls, counted by the library.
    CallsFailed,
    /// Transfers fail for want of memory.
    NoMemory,
}

/// The library, built into a folder.
pub struct Library(PathBuf);

impl Library {
    /// Builds the library. Each caller provides a folder of its own.
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
            return Err(io::Error::other("cc could not build the library of faults"));
        }
        Ok(Library(built))
    }
}

/// The settings of one process's faults.
pub struct Faults {
    settings: File,
    file: PathBuf,
    library: PathBuf,
}

impl Faults {
    /// Creates the file of settings; no fault is set.
    pub fn new(library: &Library, file: PathBuf, seed: u64) -> io::Result<Faults> {
        let settings = File::options().read(true).write(true).create(true).truncate(true).open(&file)?;
        settings.write_all_at(&[0; SETTINGS * SETTING_BYTES], 0)?;
        let faults = Faults { settings, file, library: library.0.clone() };
        faults.set(Fault::Seed, seed as i64)?;
        Ok(faults)
    }

    /// Injects these faults into a command's process.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library).env(SETTINGS_VARIABLE, &self.file);
    }

    /// Changes a setting.
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
