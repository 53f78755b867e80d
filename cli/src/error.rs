//! The errors of the command, as they are printed on standard error.

use petrelshore_chat_gateway::ReloadError;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// The reason why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A settings file has problems.
    Settings(Vec<petrelshore_settings::Problem>),
    /// An inventory file has problems.
    Inventory(Vec<petrelshore_inventory::Problem>),
    /// The extension of an inventory file does not belong to a known format.
    UnknownInventoryFormat(PathBuf),
    /// The configuration of a platform gateway could not be read.
    Configuration(ConfigurationError),
    /// The gateway could not start from its inventory.
    Start(ReloadError),
    /// The process could not register its signal handlers.
    Signals(io::Error),
    /// The operating system reported an error about a file or an address.
    Io { subject: String, source: io::Error },
    /// Emulated model servers, or a load or rehearsal against them, failed.
    Emulation(String),
    /// The number of rule violations that a rehearsal found.
    RulesBroken(usize),
    /// The total number of sequences and KV caches that were left after a rehearsal.
    LeftBehind(usize),
}

impl CommandError {
    /// Returns a function that converts an I/O error about a file or an address.
    pub fn io(subject: impl fmt::Display) -> impl FnOnce(io::Error) -> CommandError {
        let subject = subject.to_string();
        move |source| CommandError::Io { subject, source }
    }

    /// Converts an error of emulated model servers, or of a load or rehearsal against them.
    pub fn emulation(error: impl fmt::Display) -> CommandError {
        CommandError::Emulation(error.to_string())
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Settings(problems) => write_lines(f, problems),
            CommandError::Inventory(problems) => write_lines(f, problems),
            CommandError::UnknownInventoryFormat(file) => {
                write!(
                    f,
                    "{}: the name of an inventory file has to end in .csv, .yaml or .yml",
                    file.display()
                )
            }
            CommandError::Configuration(error) => error.fmt(f),
            CommandError::Start(error) => error.fmt(f),
            CommandError::Signals(error) => error.fmt(f),
            CommandError::Io { subject, source } => write!(f, "{subject}: {source}"),
            CommandError::Emulation(message) => f.write_str(message),
            CommandError::RulesBroken(count) => write!(f, "the rehearsal found {count} rule violations"),
            CommandError::LeftBehind(count) => {
                write!(f, "{count} sequences or KV caches were left after the rehearsal")
            }
        }
    }
}

impl std::error::Error for CommandError {}

/// The reason why a configuration could not be read.
#[derive(Debug)]
pub enum ConfigurationError {
    /// The file could not be read. A later attempt may succeed.
    Unreadable(String),
    /// The environment does not name the file, or the file's content is not a valid configuration.
    Malformed(String),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Unreadable(message) | ConfigurationError::Malformed(message) => {
                f.write_str(message)
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

fn write_lines<P: fmt::Display>(f: &mut fmt::Formatter<'_>, problems: &[P]) -> fmt::Result {
    for (index, problem) in problems.iter().enumerate() {
        if index > 0 {
            f.write_str("\n")?;
        }
        problem.fmt(f)?;
    }
    Ok(())
}
