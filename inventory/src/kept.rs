//! The last good list on disk: what a gateway that was killed has when it comes back.
//!
//! One line of JSON and one with its checksum, written beside the old file and renamed over it, so that a kill at
//! any byte leaves the old list or the new one, never half of either.

use crate::List;
use petrelshore::interface::{Nanos, ServerId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

/// When each server is known to have started.
pub type Starts = BTreeMap<ServerId, Nanos>;

#[derive(serde::Serialize, serde::Deserialize)]
struct Kept {
    version: u32,
    list: List,
    since: BTreeMap<u64, Nanos>,
    /// By the same clock. Files of before do not tell it.
    #[serde(default)]
    kept_at: Option<Nanos>,
}

const VERSION: u32 = 1;
const AGAIN_FIRST: Duration = Duration::from_millis(100);
const AGAIN_LONGEST: Duration = Duration::from_secs(5);

/// The text of a list that is kept now.
pub fn encode(list: &List, since: &Starts, now: Nanos) -> Result<String, String> {
    let since = since.iter().map(|(id, at)| (id.0, *at)).collect();
    let kept = Kept { version: VERSION, list: list.clone(), since, kept_at: Some(now) };
    let text = serde_json::to_string(&kept).map_err(|error| error.to_string())?;
    let mark = stable_id(&text);
    Ok(format!("{text}\n{mark:016x}\n"))
}

/// The list of a text, with starts by the clock of now. The wall clock may have been stepped since the list was kept, so
/// servers count as no older than they were then.
pub fn decode(text: &str, now: Nanos) -> Result<(List, Starts), String> {
    let (body, mark) = text.split_once('\n').ok_or("it is cut short")?;
    let mark = u64::from_str_radix(mark.trim_end(), 16).map_err(|_| "its checksum is malformed")?;
    if mark != stable_id(body) {
        return Err("its checksum does not fit".to_owned());
    }
    let kept: Kept = serde_json::from_str(body).map_err(|error| error.to_string())?;
    if kept.version != VERSION {
        return Err(format!("version {} is not known here", kept.version));
    }
    let by_now = |at: Nanos| match kept.kept_at {
        _ if at == 0 => 0,
        Some(kept_at) => now.saturating_sub(kept_at.saturating_sub(at)),
        None => at.min(now),
    };
    Ok((kept.list, kept.since.into_iter().map(|(id, at)| (ServerId(id), by_now(at))).collect()))
}

/// After so many failures in a row the list is stored again after this pause: the disk may be full for long, and a kill
/// may come at any time.
pub fn store_again_after(failures: u32) -> Duration {
    (AGAIN_FIRST * 2_u32.saturating_pow(failures.saturating_sub(1).min(16))).min(AGAIN_LONGEST)
}

/// Puts the list where a later run finds it, durable before it replaces the old one.
pub fn store(file: &Path, list: &List, since: &Starts, now: Nanos) -> std::io::Result<()> {
    let text = encode(list, since, now).map_err(std::io::Error::other)?;
    let mut beside = file.as_os_str().to_owned();
    beside.push(".new");
    let mut written = File::create(&beside)?;
    written.write_all(text.as_bytes())?;
    written.sync_all()?;
    std::fs::rename(&beside, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// The list of an earlier run; none where there was no run.
pub fn load(file: &Path, now: Nanos) -> Result<Option<(List, Starts)>, String> {
    match std::fs::read_to_string(file) {
        Ok(text) => decode(&text, now).map(Some).map_err(|what| format!("{}: {what}", file.display())),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(format!("{}: {error}", file.display())),
    }
}
