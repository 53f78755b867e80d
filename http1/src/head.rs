//! Parsing of request and response heads.

use crate::ParseError;
use crate::body::Framing;
use bytes::{Bytes, BytesMut};

/// The maximum length of a head.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of header fields in a head.
const MAX_HEADER_FIELDS: usize = 64;

/// Header fields that apply to a single connection or to the framing of a message. They are not forwarded.
const CONNECTION_FIELDS: [&str; 10] = [
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

/// Header fields in the order in which they were received.
#[derive(Clone, Debug, Default)]
pub struct HeaderFields(Vec<(Bytes, Bytes)>);

impl HeaderFields {
    fn from_parsed(head: &Bytes, parsed: &[httparse::Header]) -> Self {
        let field = |h: &httparse::Header| (head.slice_ref(h.name.as_bytes()), head.slice_ref(h.value));
        HeaderFields(parsed.iter().map(field).collect())
    }

    fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.0.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name.as_bytes()));
        named.map(|(_, value)| value.as_ref())
    }

    /// Returns the value of a field, or `None` if the field occurs more than once, is absent or is not UTF-8.
    /// Recipients could disagree on the value of a field that occurs more than once.
    pub fn single(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = values.next().and_then(|value| std::str::from_utf8(value).ok());
        value.filter(|_| values.next().is_none()).map(str::trim)
    }

    /// Returns true if a comma-separated field contains a token. Upper and lower case are not distinguished.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let values = self.values(name).filter_map(|value| std::str::from_utf8(value).ok());
        values.flat_map(|value| value.split(',')).any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the header lines to forward with a request, unchanged. Fields that apply only to the incoming connection
    /// are left out, and so are the fields that the forwarding client sets itself (`overridden`).
    pub fn forwarded(&self, overridden: &[&str]) -> Bytes {
        let mut lines = BytesMut::new();
        for (name, value) in &self.0 {
            let text = std::str::from_utf8(name).unwrap_or_default();
            let named = |names: &[&str]| names.iter().any(|excluded| excluded.eq_ignore_ascii_case(text));
            if !named(&CONNECTION_FIELDS) && !named(overridden) && !self.contains_token("connection", text) {
                [&name[..], b": ", &value[..], b"\r\n"]
                    .into_iter()
                    .for_each(|part| lines.extend_from_slice(part));
            }
        }
        lines.freeze()
    }

    /// Returns the framing that `Content-Length` or `Transfer-Encoding` declares, or `None` if both fields are absent.
    fn framing(&self) -> Result<Option<Framing>, ParseError> {
        let (lengths, codings) =
            (self.values("content-length").count(), self.values("transfer-encoding").count());
        match (lengths, codings) {
            (0, 0) => Ok(None),
            (1, 0) => {
                let value = self.single("content-length").filter(|value| !value.is_empty());
                let digits = value.filter(|value| value.bytes().all(|byte| byte.is_ascii_digit()));
                let length = digits.and_then(|digits| digits.parse().ok());
                length.map(|length| Some(Framing::Length(length))).ok_or(ParseError::InvalidContentLength)
            }
            (0, 1) if self.single("transfer-encoding").is_some_and(|c| c.eq_ignore_ascii_case("chunked")) => {
                Ok(Some(Framing::Chunked))
            }
            (0, _) => Err(ParseError::UnsupportedTransferCoding),
            (_, 0) => Err(ParseError::InvalidContentLength),
            (_, _) => Err(ParseError::ConflictingFraming),
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method, as it was received.
    pub method: Bytes,
    /// The request target, as it was received.
    pub target: Bytes,
    /// The header fields.
    pub fields: HeaderFields,
    /// The framing of the body.
    pub framing: Framing,
    /// True if the client keeps the connection open for another request.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: HeaderFields,
    /// The framing of the body.
    pub framing: Framing,
    /// True if the server keeps the connection open for another request.
    pub keep_alive: bool,
}

/// Splits the head of the next request off `buffer`. Returns `None` while the head is incomplete.
pub fn parse_request(buffer: &mut BytesMut) -> Result<Option<RequestHead>, ParseError> {
    let Some(head) = split_head(buffer, |bytes, fields| httparse::Request::new(fields).parse(bytes))? else {
        return Ok(None);
    };
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut header_storage);
    parsed.parse(&head).map_err(|_| ParseError::InvalidHead)?;
    let (Some(method), Some(target)) = (parsed.method, parsed.path) else {
        return Err(ParseError::InvalidHead);
    };
    let (method, target) = (head.slice_ref(method.as_bytes()), head.slice_ref(target.as_bytes()));
    let fields = HeaderFields::from_parsed(&head, parsed.headers);
    let framing = fields.framing()?.unwrap_or(Framing::Length(0));
    let keep_alive = persists(parsed.version, &fields);
    Ok(Some(RequestHead { method, target, fields, framing, keep_alive }))
}

/// Splits the head of the next response off `buffer`. Returns `None` while the head is incomplete.
pub fn parse_response(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, ParseError> {
    let Some(head) = split_head(buffer, |bytes, fields| httparse::Response::new(fields).parse(bytes))? else {
        return Ok(None);
    };
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Response::new(&mut header_storage);
    parsed.parse(&head).map_err(|_| ParseError::InvalidHead)?;
    let status = parsed.code.ok_or(ParseError::InvalidHead)?;
    let fields = HeaderFields::from_parsed(&head, parsed.headers);
    let framing = match status {
        100..200 | 204 | 304 => Framing::Length(0),
        _ => fields.framing()?.unwrap_or(Framing::UntilClose),
    };
    let keep_alive = persists(parsed.version, &fields) && framing != Framing::UntilClose;
    Ok(Some(ResponseHead { status, fields, framing, keep_alive }))
}

/// Returns true if the connection persists after a message with this HTTP minor version and these fields.
fn persists(version: Option<u8>, fields: &HeaderFields) -> bool {
    version == Some(1) && !fields.contains_token("connection", "close")
}

/// Splits a head off `buffer` without keeping the parsed fields. Returns `None` while the head is incomplete.
fn split_head<'b>(
    buffer: &'b mut BytesMut,
    parse: impl for<'a> Fn(&'a [u8], &mut [httparse::Header<'a>]) -> httparse::Result<usize>,
) -> Result<Option<Bytes>, ParseError> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let end = match parse(&buffer[..buffer.len().min(MAX_HEAD_BYTES)], &mut header_storage) {
        Ok(httparse::Status::Complete(end)) => end,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ParseError::HeadTooLong),
        Err(_) => return Err(ParseError::InvalidHead),
    };
    Ok(Some(buffer.split_to(end).freeze()))
}

#[cfg(test)]
mod tests;
