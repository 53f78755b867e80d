//! Heads of requests and answers.

use crate::Unreadable;
use crate::body::Framing;
use bytes::{Bytes, BytesMut};

/// Most bytes of a head, and most fields in it.
pub const LONGEST: usize = 16 << 10;
const FIELDS: usize = 64;

/// Fields that speak of one connection or of how one message is framed on it. They end with it; all others go with the
/// request to whom it is passed on.
const OWN: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order they came.
#[derive(Clone, Debug, Default)]
pub struct Fields(Vec<(Bytes, Bytes)>);

impl Fields {
    fn of(head: &Bytes, parsed: &[httparse::Header]) -> Self {
        let field = |h: &httparse::Header| (head.slice_ref(h.name.as_bytes()), head.slice_ref(h.value));
        Fields(parsed.iter().map(field).collect())
    }

    fn all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.0.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|(_, value)| value.as_ref())
    }

    /// The value of a field that came once; none where it came twice, so that no two readers differ on it.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut all = self.all(name);
        let value = all.next().and_then(|value| std::str::from_utf8(value).ok());
        value.filter(|_| all.next().is_none()).map(str::trim)
    }

    /// Whether a field holds a word in its list.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let values = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        values.flat_map(|value| value.split(',')).any(|listed| listed.trim().eq_ignore_ascii_case(word))
    }

    /// The fields that go with a request to whom it is passed on, as lines and as they came, without those that whoever
    /// passes it on sets anew.
    pub fn passed_on(&self, set_anew: &[&str]) -> Bytes {
        let mut lines = BytesMut::new();
        for (name, value) in &self.0 {
            let text = std::str::from_utf8(name).unwrap_or_default();
            let named = |names: &[&str]| names.iter().any(|own| own.eq_ignore_ascii_case(text));
            if !named(&OWN) && !named(set_anew) && !self.lists("connection", text) {
                [&name[..], b": ", &value[..], b"\r\n"]
                    .into_iter()
                    .for_each(|part| lines.extend_from_slice(part));
            }
        }
        lines.freeze()
    }

    /// How the body is framed, where a field says so.
    fn framing(&self) -> Result<Option<Framing>, Unreadable> {
        let (lengths, codings) = (self.all("content-length").count(), self.all("transfer-encoding").count());
        match (lengths, codings) {
            (0, 0) => Ok(None),
            (1, 0) => {
                let told = self.only("content-length").filter(|told| !told.is_empty());
                let digits = told.filter(|told| told.bytes().all(|byte| byte.is_ascii_digit()));
                let length = digits.and_then(|told| told.parse().ok());
                length.map(|length| Some(Framing::Length(length))).ok_or(Unreadable::Length)
            }
            (0, 1) if self.only("transfer-encoding").is_some_and(|c| c.eq_ignore_ascii_case("chunked")) => {
                Ok(Some(Framing::Chunked))
            }
            (0, _) => Err(Unreadable::Coding),
            (_, 0) => Err(Unreadable::Length),
            (_, _) => Err(Unreadable::TwoFramings),
        }
    }
}

/// The head of a client's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: Bytes,
    pub target: Bytes,
    pub fields: Fields,
    pub framing: Framing,
    /// Its client waits for another request on this connection.
    pub keeps: bool,
}

/// The head of a server's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    pub keeps: bool,
}

/// Takes the next request's head off a buffer; none while it is not whole.
pub fn request(buffer: &mut BytesMut) -> Result<Option<RequestHead>, Unreadable> {
    let Some(head) = cut(buffer, |bytes, fields| httparse::Request::new(fields).parse(bytes))? else {
        return Ok(None);
    };
    let mut space = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Request::new(&mut space);
    parsed.parse(&head).map_err(|_| Unreadable::Head)?;
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else { return Err(Unreadable::Head) };
    let (method, target) = (head.slice_ref(method.as_bytes()), head.slice_ref(target.as_bytes()));
    let fields = Fields::of(&head, parsed.headers);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    let keeps = keeps(parsed.version, &fields);
    Ok(Some(RequestHead { method, target, fields, framing, keeps }))
}

/// Takes an answer's head off a buffer; none while it is not whole.
pub fn answer(buffer: &mut BytesMut) -> Result<Option<AnswerHead>, Unreadable> {
    let Some(head) = cut(buffer, |bytes, fields| httparse::Response::new(fields).parse(bytes))? else {
        return Ok(None);
    };
    let mut space = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Response::new(&mut space);
    parsed.parse(&head).map_err(|_| Unreadable::Head)?;
    let status = parsed.code.ok_or(Unreadable::Head)?;
    let fields = Fields::of(&head, parsed.headers);
    let framing = match status {
        100..200 | 204 | 304 => Framing::Length(0),
        _ => fields.framing()?.unwrap_or(Framing::ToEnd),
    };
    let keeps = keeps(parsed.version, &fields) && framing != Framing::ToEnd;
    Ok(Some(AnswerHead { status, fields, framing, keeps }))
}

fn keeps(version: Option<u8>, fields: &Fields) -> bool {
    version == Some(1) && !fields.lists("connection", "close")
}

/// Cuts a whole head off a buffer, if one is there.
fn cut<'b>(
    buffer: &'b mut BytesMut,
    parse: impl for<'a> Fn(&'a [u8], &mut [httparse::Header<'a>]) -> httparse::Result<usize>,
) -> Result<Option<Bytes>, Unreadable> {
    let mut space = [httparse::EMPTY_HEADER; FIELDS];
    let end = match parse(&buffer[..buffer.len().min(LONGEST)], &mut space) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) if buffer.len() < LONGEST => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(Unreadable::HeadTooLong),
        Err(_) => return Err(Unreadable::Head),
    };
    Ok(Some(buffer.split_to(end).freeze()))
}

#[cfg(test)]
mod tests;
