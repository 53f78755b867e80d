//! A run of the adapter: reads batches of messages and writes the replies to each batch.

use crate::error::{AdapterError, WireError};
use crate::event::Configuration;
use crate::input::Lines;
use crate::instance::Instance;
use crate::line::Line;
use petrelshore::interface::Nanos;
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// The latest time that the adapter accepts, in nanoseconds. A later time is an error; the limit keeps sums of
/// times from overflowing.
const MAX_CLOCK: Nanos = Nanos::MAX / 4;

/// Reads batches and writes their replies until the input ends.
pub(crate) fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session { lines: Lines::new(input), instances: HashMap::new(), clock: 0 };
    loop {
        let replies = session.process_batch();
        match replies.map_err(|error| AdapterError::Input { line: session.lines.number(), error })? {
            Some(replies) => {
                let written = output.write_all(replies.as_bytes()).and_then(|()| output.flush());
                written.map_err(AdapterError::Output)?;
            }
            None => return Ok(()),
        }
    }
}

struct Session<R> {
    lines: Lines<R>,
    instances: HashMap<u64, Instance>,
    clock: Nanos,
}

impl<R: BufRead> Session<R> {
    /// Processes one batch and returns its replies; `None` if the input has ended.
    fn process_batch(&mut self) -> Result<Option<String>, WireError> {
        let Some(text) = self.lines.next()? else { return Ok(None) };
        self.advance_clock(&Line::split(&text)?)?;
        let mut replies = String::new();
        loop {
            let text = self.lines.next_in_batch()?;
            let line = Line::split(&text)?;
            if line.kind == "GO" {
                break;
            }
            self.process_message(&line, &mut replies)?;
        }
        replies.push_str("READY\n");
        Ok(Some(replies))
    }

    /// Sets the clock to the time in the first line of a batch. Time never goes back.
    fn advance_clock(&mut self, line: &Line) -> Result<(), WireError> {
        if line.kind != "SYNC" {
            return Err(WireError::NotABatch { message: line.kind.to_owned() });
        }
        let now: Nanos = line.parsed_required("clock")?;
        if now < self.clock || now > MAX_CLOCK {
            return Err(line.out_of_range("clock", now));
        }
        self.clock = now;
        Ok(())
    }

    fn process_message(&mut self, line: &Line, replies: &mut String) -> Result<(), WireError> {
        let number: u64 = line.parsed_required("i")?;
        match line.kind {
            "CONFIGURE" => {
                let instance = Instance::start(number, self.clock, Configuration::decode(line)?, replies);
                self.instances.insert(number, instance);
                return Ok(());
            }
            "DESTROY" => {
                self.instances.remove(&number);
                return Ok(());
            }
            _ => {}
        }
        let unknown = || WireError::UnknownInstance { message: line.kind.to_owned(), instance: number };
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        let texts = read_entries(&mut self.lines, line)?;
        let entries = split_entries(&texts)?;
        let event = instance.decode(line, &entries, self.clock)?;
        instance.handle(self.clock, event, replies);
        Ok(())
    }
}

/// Reads the lines that follow the first line of a message: the entries of an endpoint list.
fn read_entries(lines: &mut Lines<impl BufRead>, line: &Line) -> Result<Vec<String>, WireError> {
    if line.kind != "MEMBERS" {
        return Ok(Vec::new());
    }
    let count = line.parsed("membersList")?.unwrap_or(0);
    (0..count).map(|_| lines.next_in_batch()).collect()
}

fn split_entries(texts: &[String]) -> Result<Vec<Line<'_>>, WireError> {
    let entries = texts.iter().map(|text| Line::split(text)).collect::<Result<Vec<_>, _>>()?;
    match entries.iter().find(|entry| entry.kind != "SERVER") {
        Some(other) => Err(WireError::NotAnEntry { message: other.kind.to_owned() }),
        None => Ok(entries),
    }
}
