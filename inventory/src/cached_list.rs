//! The last valid endpoint list on disk, from which a gateway starts after it was killed.
//!
//! The file has a line of JSON and a line with the checksum of the JSON. It is written to a temporary file and then
//! renamed over the old file, so that a kill at any byte leaves the old list or the new list, but no partial list.

use crate::endpoint_list::EndpointList;
use petrelshore::interface::{Nanos, ServerId};
use petrelshore_gateway_core::fingerprint::stable_id;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

const VERSION: u32 = 1;
const INITIAL_STORE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(5);
/// The maximum number of times that the backoff doubles. More doublings would not change the capped backoff, and could
/// overflow it.
const MAX_STORE_BACKOFF_DOUBLINGS: u32 = 16;

/// The known start time of each server, in nanoseconds; zero for a server that started long ago.
pub type StartTimes = BTreeMap<ServerId, Nanos>;

/// An endpoint list that was stored by an earlier run.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedList {
    /// The endpoint list.
    pub list: EndpointList,
    /// The start times of the servers, converted to the current clock.
    pub start_times: StartTimes,
}

/// The reason why a text is not a cached list, or why its file can't be read.
#[derive(Debug)]
pub enum CachedListError {
    /// The text has no line end after the JSON, and thus no checksum line.
    Truncated,
    /// The checksum line is not a hexadecimal number.
    MalformedChecksum,
    /// The checksum does not match the JSON.
    ChecksumMismatch,
    /// The JSON is malformed or does not represent a list.
    Json(serde_json::Error),
    /// The format version is not supported by this program.
    UnknownVersion(u32),
    /// The file can't be read.
    Io(std::io::Error),
}

impl fmt::Display for CachedListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CachedListError::Truncated => f.write_str("the file is truncated: it has no checksum line"),
            CachedListError::MalformedChecksum => f.write_str("the checksum is not a hexadecimal number"),
            CachedListError::ChecksumMismatch => f.write_str("the checksum does not match the contents"),
            CachedListError::Json(error) => error.fmt(f),
            CachedListError::UnknownVersion(version) => {
                write!(f, "format version {version} is not supported")
            }
            CachedListError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CachedListError {}

/// The error for a stored list that can't be used.
#[derive(Debug)]
pub struct LoadError {
    /// The path of the stored list.
    pub file: PathBuf,
    /// The reason why the file can't be used.
    pub error: CachedListError,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.error)
    }
}

impl std::error::Error for LoadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// The JSON line of the stored file. Other versions of the program read its keys.
#[derive(serde::Serialize, serde::Deserialize)]
struct StoredList {
    version: u32,
    list: EndpointList,
    #[serde(rename = "since")]
    start_times: BTreeMap<u64, Nanos>,
    /// The time at which the list was stored, on the same clock as the start times. Files of older versions lack it.
    #[serde(default, rename = "kept_at")]
    stored_at: Option<Nanos>,
}

/// Returns the text to store for a list: the JSON line and the checksum line. `now` is recorded as the time of storage.
///
/// # Errors
/// Returns an error if JSON can't represent the list.
pub fn encode(
    list: &EndpointList,
    start_times: &StartTimes,
    now: Nanos,
) -> Result<String, serde_json::Error> {
    let start_times = start_times.iter().map(|(id, at)| (id.0, *at)).collect();
    let stored = StoredList { version: VERSION, list: list.clone(), start_times, stored_at: Some(now) };
    let text = serde_json::to_string(&stored)?;
    let checksum = stable_id(&text);
    Ok(format!("{text}\n{checksum:016x}\n"))
}

/// Returns the list that a text represents, with start times converted to the current clock. The wall clock may have
/// been stepped since the list was stored, so each server counts as no older than it was when the list was stored.
/// If the text lacks the time of storage, start times after `now` are replaced by `now`.
///
/// # Errors
/// Returns an error if the text is truncated, does not match its checksum or has an unsupported format.
pub fn decode(text: &str, now: Nanos) -> Result<CachedList, CachedListError> {
    let (body, checksum) = text.split_once('\n').ok_or(CachedListError::Truncated)?;
    let checksum =
        u64::from_str_radix(checksum.trim_end(), 16).map_err(|_| CachedListError::MalformedChecksum)?;
    if checksum != stable_id(body) {
        return Err(CachedListError::ChecksumMismatch);
    }
    let stored: StoredList = serde_json::from_str(body).map_err(CachedListError::Json)?;
    if stored.version != VERSION {
        return Err(CachedListError::UnknownVersion(stored.version));
    }
    let rebase = |at: Nanos| match stored.stored_at {
        _ if at == 0 => 0,
        Some(stored_at) => now.saturating_sub(stored_at.saturating_sub(at)),
        None => at.min(now),
    };
    let start_times = stored.start_times.into_iter().map(|(id, at)| (ServerId(id), rebase(at))).collect();
    Ok(CachedList { list: stored.list, start_times })
}

/// Returns the delay before the list is stored again after a number of consecutive failures. Storing is retried with a
/// capped delay because the disk may be full for a long time and the gateway may be killed at any time.
pub fn store_backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_STORE_BACKOFF_DOUBLINGS);
    (INITIAL_STORE_BACKOFF * 2_u32.saturating_pow(doublings)).min(MAX_STORE_BACKOFF)
}

/// Stores the list for a later run. The new file is synced to disk before it replaces the old file.
///
/// # Errors
/// Returns the error of the file system or of the JSON encoding. The old file is then still in place, unless only the
/// sync of the directory after the rename failed.
pub fn store(file: &Path, list: &EndpointList, start_times: &StartTimes, now: Nanos) -> std::io::Result<()> {
    let text = encode(list, start_times, now).map_err(std::io::Error::other)?;
    let mut temporary_path = file.as_os_str().to_owned();
    temporary_path.push(".new");
    let mut temporary_file = File::create(&temporary_path)?;
    temporary_file.write_all(text.as_bytes())?;
    temporary_file.sync_all()?;
    std::fs::rename(&temporary_path, file)?;
    let directory =
        file.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

/// Loads the list that an earlier run stored. Returns `None` if there is no file.
///
/// # Errors
/// Returns an error if the file exists but can't be read or does not contain a valid list.
pub fn load(file: &Path, now: Nanos) -> Result<Option<CachedList>, LoadError> {
    let decoded = match std::fs::read_to_string(file) {
        Ok(text) => decode(&text, now),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => Err(CachedListError::Io(error)),
    };
    decoded.map(Some).map_err(|error| LoadError { file: file.to_owned(), error })
}
