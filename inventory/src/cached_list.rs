//! The last good list on disk: what a gateway that was killed starts from.
//!
//! One line of JSON and one with its checksum, written beside the old file and renamed over it, so that a kill at
//! any byte leaves the old list or the new one, never half of either.

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
/// More doublings would not change the backoff, and must not overflow it.
const MAX_STORE_BACKOFF_DOUBLINGS: u32 = 16;

/// When each server is known to have started; zero: long ago.
pub type StartTimes = BTreeMap<ServerId, Nanos>;

/// A list of an earlier run.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedList {
    /// The servers.
    pub list: EndpointList,
    /// When they started, by the clock of now.
    pub start_times: StartTimes,
}

/// Why a text is not a cached list, or its file can't be read.
#[derive(Debug)]
pub enum CachedListError {
    /// The text has no line for the checksum.
    Truncated,
    /// The checksum is not a number.
    MalformedChecksum,
    /// The checksum is that of another text.
    ChecksumMismatch,
    /// The text is not the JSON of a list.
    Json(serde_json::Error),
    /// The text has a version that this program does not know.
    UnknownVersion(u32),
    /// The file can't be read.
    Io(std::io::Error),
}

impl fmt::Display for CachedListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CachedListError::Truncated => f.write_str("it is cut short"),
            CachedListError::MalformedChecksum => f.write_str("its checksum is malformed"),
            CachedListError::ChecksumMismatch => f.write_str("its checksum does not fit"),
            CachedListError::Json(error) => error.fmt(f),
            CachedListError::UnknownVersion(version) => write!(f, "version {version} is not known here"),
            CachedListError::Io(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CachedListError {}

/// Why the list of an earlier run can't be used.
#[derive(Debug)]
pub struct LoadError {
    /// The file that was to be read.
    pub file: PathBuf,
    /// What is wrong with it.
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

/// The stored file's line of JSON. Its keys are read by other versions of the program.
#[derive(serde::Serialize, serde::Deserialize)]
struct StoredList {
    version: u32,
    list: EndpointList,
    #[serde(rename = "since")]
    start_times: BTreeMap<u64, Nanos>,
    /// By the clock that the start times are by. Files of older versions lack it.
    #[serde(default, rename = "kept_at")]
    stored_at: Option<Nanos>,
}

/// The text of a list that is stored now.
///
/// # Errors
/// A list that JSON can't represent.
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

/// The list of a text, with start times by the clock of now. The wall clock may have been stepped since the list was
/// stored, so servers count as no older than they were then.
///
/// # Errors
/// What is wrong with the text.
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
    let by_now = |at: Nanos| match stored.stored_at {
        _ if at == 0 => 0,
        Some(stored_at) => now.saturating_sub(stored_at.saturating_sub(at)),
        None => at.min(now),
    };
    let start_times = stored.start_times.into_iter().map(|(id, at)| (ServerId(id), by_now(at))).collect();
    Ok(CachedList { list: stored.list, start_times })
}

/// The backoff before the list is stored again, after so many failures in a row: the disk may be full for long, and a
/// kill may come at any time.
pub fn store_backoff(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_STORE_BACKOFF_DOUBLINGS);
    (INITIAL_STORE_BACKOFF * 2_u32.saturating_pow(doublings)).min(MAX_STORE_BACKOFF)
}

/// Stores the list where a later run finds it, durable before it replaces the old one.
///
/// # Errors
/// Whatever the file system reports; the old file is then still there.
pub fn store(file: &Path, list: &EndpointList, start_times: &StartTimes, now: Nanos) -> std::io::Result<()> {
    let text = encode(list, start_times, now).map_err(std::io::Error::other)?;
    let mut temporary = file.as_os_str().to_owned();
    temporary.push(".new");
    let mut written = File::create(&temporary)?;
    written.write_all(text.as_bytes())?;
    written.sync_all()?;
    std::fs::rename(&temporary, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// The list of an earlier run; none where there was no run.
///
/// # Errors
/// Why the file that is there can't be used.
pub fn load(file: &Path, now: Nanos) -> Result<Option<CachedList>, LoadError> {
    let decoded = match std::fs::read_to_string(file) {
        Ok(text) => decode(&text, now),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => Err(CachedListError::Io(error)),
    };
    decoded.map(Some).map_err(|error| LoadError { file: file.to_owned(), error })
}
