//! Connects the scheduler to the bench: reads batches of messages from standard input and writes the replies to
//! standard output.

mod endpoints;
mod error;
mod event;
mod input;
mod instance;
mod line;
mod reply;
mod session;

use std::process::ExitCode;

fn main() -> ExitCode {
    match session::run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("petrelshore-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
