//! Why a command failed, as it is printed on standard error.

use petrelshore_chat_gateway::ReloadError;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// Problems of a settings file.
    Settings(Vec<petrelshore_settings::Problem>),
    /// Problems of an inventory file.
    Inventory(Vec<petrelshore_inventory::Problem>),
    /// An inventory file whose name ends in no known format.
    UnknownInventoryFormat(PathBuf),
    /// The platform's configuration could not be had.
    Configuration(ConfigurationError),
    /// The gateway could not start from its inventory.
    Start(ReloadError),
    /// The process could not catch its signals.
    Signals(io::Error),
    /// A file or an address, and what the system said of it.
    Io { subject: String, source: io::Error },
    /// An emulated fleet could not be started or played against.
    Emulation(String),
    /// A rehearsal broke rules so many times.
    RulesBroken(usize),
    /// A rehearsal left so many sequences or KV caches behind.
    LeftBehind(usize),
}

impl CommandError {
    /// What the system said of a file or an address.
    pub fn io(subject: impl fmt::Display) -> impl FnOnce(io::Error) -> CommandError {
        let subject = subject.to_string();
        move |source| CommandError::Io { subject, source }
    }

    /// Why an emulated fleet could not be started or played against.
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
                write!(f, "{}: is neither .csv nor .yaml", file.display())
            }
            CommandError::Configuration(error) => error.fmt(f),
            CommandError::Start(error) => error.fmt(f),
            CommandError::Signals(error) => error.fmt(f),
            CommandError::Io { subject, source } => write!(f, "{subject}: {source}"),
            CommandError::Emulation(message) => f.write_str(message),
            CommandError::RulesBroken(count) => write!(f, "rules were broken {count} times"),
            CommandError::LeftBehind(count) => write!(f, "{count} sequences or states were left behind"),
        }
    }
}

impl std::error::Error for CommandError {}

/// Why a configuration could not be had.
#[derive(Debug)]
pub enum ConfigurationError {
    /// The file could not be read, which may pass.
    Unreadable(String),
    /// The file, or the environment, does not say what it must.
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
