//! Drives the decisions over the simulator's wire: batches on standard input, replies on standard output.

mod decode;
mod instance;

use decode::{Line, Malformed};
use instance::Instance;
use petrelshore::interface::Nanos;
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("petrelshore-bench-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Input by lines, counted for messages about what is malformed.
struct Lines<R> {
    input: R,
    number: usize,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<Option<String>, Malformed> {
        let mut text = String::new();
        self.number += 1;
        match self.input.read_line(&mut text) {
            Ok(0) => Ok(None),
            Ok(_) if !text.ends_with('\n') => Err("the line is cut short".to_owned()),
            Ok(_) => {
                text.truncate(text.trim_end_matches(['\n', '\r']).len());
                Ok(Some(text))
            }
            Err(error) => Err(error.to_string()),
        }
    }

    fn next_in_batch(&mut self) -> Result<String, Malformed> {
        self.next()?.ok_or_else(|| "the batch is cut short".to_owned())
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), Malformed> {
    let mut lines = Lines { input, number: 0 };
    let mut instances = HashMap::new();
    let mut clock = 0;
    loop {
        let reply = batch(&mut lines, &mut instances, &mut clock);
        match reply.map_err(|message| format!("line {}: {message}", lines.number))? {
            Some(reply) => {
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                sent.map_err(|error| format!("standard output: {error}"))?;
            }
            None => return Ok(()),
        }
    }
}

/// Reads one batch and returns its reply; none where the input has ended.
fn batch(
    lines: &mut Lines<impl BufRead>,
    instances: &mut HashMap<u64, Instance>,
    clock: &mut Nanos,
) -> Result<Option<String>, Malformed> {
    let Some(text) = lines.next()? else { return Ok(None) };
    let sync = Line::split(&text)?;
    if sync.kind != "SYNC" {
        return Err(format!("a batch begins with SYNC, not '{}'", sync.kind));
    }
    let now: Nanos = sync.whole("clock")?;
    if now < *clock || now > Nanos::MAX / 4 {
        return Err(format!("SYNC: field clock is out of range: '{now}'"));
    }
    *clock = now;
    let mut reply = String::new();
    loop {
        let text = lines.next_in_batch()?;
        let line = Line::split(&text)?;
        if line.kind == "GO" {
            break;
        }
        event(lines, instances, now, &line, &mut reply)?;
    }
    reply.push_str("READY\n");
    Ok(Some(reply))
}

fn event(
    lines: &mut Lines<impl BufRead>,
    instances: &mut HashMap<u64, Instance>,
    now: Nanos,
    line: &Line,
    reply: &mut String,
) -> Result<(), Malformed> {
    let number: u64 = line.whole("i")?;
    match line.kind {
        "CONFIGURE" => {
            instances.insert(number, Instance::configure(number, now, line, reply)?);
            return Ok(());
        }
        "DESTROY" => {
            instances.remove(&number);
            return Ok(());
        }
        _ => {}
    }
    let instance = instances.get_mut(&number);
    let instance =
        instance.ok_or_else(|| format!("{}: field i: instance {number} is not configured", line.kind))?;
    match line.kind {
        "REQ" => instance.request(now, line, reply),
        "ACCEPTED" => instance.accepted(now, line),
        "CLOSED_ATTEMPT" => instance.closed(now, line, reply),
        "WITHDRAWN" => instance.withdrawn(line, reply),
        "DUE" => instance.due(now, line, reply),
        "STATUS_BACK" => instance.report(now, line),
        "HOLD_RESULT" | "WHISPER" => Ok(()),
        "MEMBERS" => {
            let count = line.parsed("membersList")?.unwrap_or(0);
            let texts = (0..count).map(|_| lines.next_in_batch()).collect::<Result<Vec<_>, _>>()?;
            let entries = texts.iter().map(|text| Line::split(text)).collect::<Result<Vec<_>, _>>()?;
            match entries.iter().find(|entry| entry.kind != "SERVER") {
                Some(other) => Err(format!("MEMBERS: an entry begins with SERVER, not '{}'", other.kind)),
                None => instance.listed(now, line, &entries, reply),
            }
        }
        other => Err(format!("'{other}' is not a message of this wire")),
    }
}
