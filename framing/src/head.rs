//! Heads of requests and answers.

use crate::Unreadable;
use crate::body::Framing;
use bytes::{Bytes, BytesMut};

/// Most bytes of a head, and most fields in it.
pub const LONGEST: usize = 16 << 10;
const FIELDS: usize = 64;

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
mod tests {
    use super::*;

    fn asked(text: &str) -> Result<Option<RequestHead>, Unreadable> {
        request(&mut BytesMut::from(text))
    }

    #[test]
    fn a_head_is_taken_once_it_is_whole_and_leaves_what_follows() {
        let text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nReq-Id: 1f\r\ncontent-length: 4\r\n\r\nbody";
        for end in 0..text.len() - 4 {
            assert!(asked(&text[..end]).unwrap().is_none(), "up to {end}");
        }
        let mut buffer = BytesMut::from(text);
        let head = request(&mut buffer).unwrap().unwrap();
        assert_eq!(
            (&head.method[..], &head.target[..], &buffer[..]),
            (&b"POST"[..], &b"/a?b=c"[..], &b"body"[..])
        );
        assert_eq!(
            (head.fields.only("REQ-ID"), head.framing, head.keeps),
            (Some("1f"), Framing::Length(4), true)
        );
    }

    #[test]
    fn lengths_and_codings_that_can_be_read_in_two_ways_are_refused() {
        let of = |fields: &str| {
            asked(&format!("POST / HTTP/1.1\r\n{fields}\r\n")).map(|head| head.unwrap().framing)
        };
        assert_eq!(of(""), Ok(Framing::Length(0)));
        assert_eq!(of("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
        for bad in
            ["-1", "+1", "1e3", "", "0x10", "99999999999999999999999", "4, 4", "4\r\nContent-Length: 4"]
        {
            assert_eq!(of(&format!("Content-Length: {bad}\r\n")), Err(Unreadable::Length), "{bad}");
        }
        for bad in ["gzip", "chunked, chunked", "identity", "chunked\r\nTransfer-Encoding: chunked"] {
            assert_eq!(of(&format!("Transfer-Encoding: {bad}\r\n")), Err(Unreadable::Coding), "{bad}");
        }
        let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
        assert_eq!(of(both), Err(Unreadable::TwoFramings));
    }

    #[test]
    fn endless_and_unreadable_heads_are_refused_in_bounded_memory() {
        let endless = "GET / HTTP/1.1\r\n".to_owned() + &"x".repeat(LONGEST);
        assert_eq!(asked(&endless).err(), Some(Unreadable::HeadTooLong));
        assert_eq!(asked("\0\0\0\r\n\r\n").err(), Some(Unreadable::Head));
        assert_eq!(asked("GET / HTTP/1.1\r\na b: c\r\n\r\n").err(), Some(Unreadable::Head));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(FIELDS + 1));
        assert_eq!(asked(&many).err(), Some(Unreadable::Head));
    }

    #[test]
    fn a_field_that_came_twice_is_no_value() {
        let head = asked("GET / HTTP/1.1\r\nReq-Id: 1\r\nreq-id: 2\r\nConnection: x, Close\r\n\r\n")
            .unwrap()
            .unwrap();
        assert_eq!((head.fields.only("req-id"), head.keeps), (None, false));
    }
}
