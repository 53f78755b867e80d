//! Faults in a process's system calls and wall clock, by a library that is preloaded into it.
//!
//! The library is C (`shim/faults.c`), since it takes the place of functions of the C library; it is built with the
//! system's `cc`, which every Rust toolchain here links with. What it does is told by words in a file that the process
//! has mapped, so that faults begin and end while it runs.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/faults.c");
/// Names the file of words to the library.
const VARIABLE: &str = "PETRELSHORE_FAULTS";
const WORDS: usize = 13;

/// What the library is told, in the order of its words. Rates mean one call in so many; zero is never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Seed,
    /// Nanoseconds added to the wall clock.
    WallOffset,
    Interrupted,
    ShortTransfer,
    AcceptFails,
    SocketFails,
    ConnectFails,
    /// An established connection ends with an error.
    Broken,
    DiskFails,
    /// How long a send is held up, in nanoseconds.
    HeldUpFor,
    HeldUp,
    /// Counted by the library.
    CallsFailed,
    NoMemory,
}

/// The library, built into a folder.
pub struct Library(PathBuf);

impl Library {
    /// Builds the library. Each caller names a folder of its own.
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

/// The faults of one process.
pub struct Faults {
    words: File,
    file: PathBuf,
    library: PathBuf,
}

impl Faults {
    /// No faults yet.
    pub fn new(library: &Library, file: PathBuf, seed: u64) -> io::Result<Faults> {
        let words = File::options().read(true).write(true).create(true).truncate(true).open(&file)?;
        words.write_all_at(&[0; WORDS * 8], 0)?;
        let faults = Faults { words, file, library: library.0.clone() };
        faults.set(Fault::Seed, seed as i64)?;
        Ok(faults)
    }

    /// Has a command's process suffer these faults.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library).env(VARIABLE, &self.file);
    }

    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.words.write_all_at(&value.to_ne_bytes(), fault as u64 * 8)
    }

    pub fn get(&self, fault: Fault) -> io::Result<i64> {
        let mut word = [0; 8];
        self.words.read_exact_at(&mut word, fault as u64 * 8)?;
        Ok(i64::from_ne_bytes(word))
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}
