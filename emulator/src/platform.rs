//! Stand-ins for the operators' platform: model servers and discovery's agent in its protocol, with manners.
//!
//! Plain threads and plain text, so that they can write what no library would.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a model server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Good,
    /// 503 with the mark that proves that nothing ran, and 500 and 503 without.
    Declines,
    Fails,
    Overloaded,
    /// 410 with the mark: the read state is gone.
    StateGone,
    /// Closes once the request has come whole.
    Resets,
    Silent,
    /// Silent to everything, words to let go too.
    Deaf,
    /// Good once on each connection; at the next request it closes.
    OncePerConnection,
    Noise,
    EndlessHead,
    /// A good answer behind many of status 1xx, and with a load report that can't be read.
    Interim,
    /// A good answer with another right behind it.
    SecondAnswer,
    /// A good first event, then something else than the next.
    BadChunk,
    HugeChunk,
    NoiseInStream,
    SilentInStream,
    /// Good, but slow enough that its clients may leave.
    Slow,
}

/// A model server that listens. Its threads end with the process.
#[derive(Clone)]
pub struct ModelServer {
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    /// Request lines with their ids, and connections.
    seen: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<usize>>,
}

const EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
const END: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\ndata: [DONE]\n\n: Srv-Load: x0=0.5\n\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The events of a good answer.
pub fn events() -> String {
    format!("{EVENT}{EVENT}{END}")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl ModelServer {
    pub fn start(reads: bool, manner: Manner) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let server = ModelServer {
            address: listener.local_addr()?,
            manner: Arc::new(Mutex::new(manner)),
            seen: Arc::default(),
            connections: Arc::default(),
        };
        let own = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *own.connections.lock().unwrap() += 1;
                let own = own.clone();
                thread::spawn(move || own.serve(reads, stream));
            }
        });
        Ok(server)
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// What has come, as method, path and id.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock().unwrap()
    }

    fn serve(&self, reads: bool, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream);
        let mut answered = 0;
        while let Some((line, id)) = request(&mut lines) {
            self.seen.lock().unwrap().push(format!("{line} {id}"));
            let manner = *self.manner.lock().unwrap();
            if manner == Manner::OncePerConnection && answered > 0 {
                return;
            }
            answered += 1;
            let goes_on = match line.starts_with("DELETE") {
                true if manner == Manner::Deaf => hang().is_ok(),
                true => out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok(),
                false => answer(&mut out, reads, manner).is_ok(),
            };
            if !goes_on {
                return;
            }
        }
    }
}

/// The next request, whole: its first two words, and its id.
fn request(lines: &mut impl BufRead) -> Option<(String, String)> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    lines.read_line(&mut first).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        lines.read_line(&mut line).ok().filter(|count| *count > 0)?;
        match line.trim().split_once(": ") {
            Some(("Req-Id", value)) => id = value.to_owned(),
            Some(("Content-Length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    lines.read_exact(&mut vec![0; length]).ok()?;
    let line = first.rsplit_once(' ').map_or("", |(line, _)| line);
    Some((line.to_owned(), id))
}

/// Writes an answer; an error ends the connection.
fn answer(out: &mut TcpStream, reads: bool, manner: Manner) -> std::io::Result<()> {
    let ends = || Err(std::io::ErrorKind::Other.into());
    let brief = |status: &str, more: &str| format!("HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n");
    let good = match reads {
        true => {
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nSrv-Load: x0=0.25\r\n\r\n{\"cached_tokens\":4}"
                .to_owned()
        }
        false => format!("{HEAD}{}{}{}0\r\n\r\n", chunk(EVENT), chunk(EVENT), chunk(END)),
    };
    let text = match manner {
        Manner::Good | Manner::OncePerConnection => good,
        Manner::Slow => {
            thread::sleep(Duration::from_millis(400));
            good
        }
        Manner::Declines => brief("503 Service Unavailable", "Srv-Declined: 1\r\n"),
        Manner::Overloaded => brief("503 Service Unavailable", ""),
        Manner::Fails => brief("500 Internal Server Error", ""),
        Manner::StateGone => brief("410 Gone", "Srv-Declined: 1\r\n"),
        Manner::Resets => return ends(),
        Manner::Silent | Manner::Deaf => return hang(),
        Manner::Noise => "\u{1}\u{2} no answer\r\n\r\n".to_owned(),
        Manner::EndlessHead => {
            out.write_all(b"HTTP/1.1 200 OK\r\n")?;
            while out.write_all(&[b'x'; 4096]).is_ok() {}
            return ends();
        }
        Manner::Interim => {
            let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);
            interim + &good.replacen("\r\n\r\n", "\r\nSrv-Load: =;x0=much\r\n\r\n", 1)
        }
        Manner::SecondAnswer => format!("{good}{good}"),
        Manner::BadChunk | Manner::HugeChunk | Manner::NoiseInStream | Manner::SilentInStream => {
            out.write_all(format!("{HEAD}{}", chunk(EVENT)).as_bytes())?;
            // The first event is passed on before the stream is spoilt.
            thread::sleep(Duration::from_millis(100));
            match manner {
                Manner::BadChunk => "zz\r\nwhat\r\n".to_owned(),
                Manner::NoiseInStream => chunk("\u{1}\u{2}\u{3}\n\n"),
                Manner::SilentInStream => return hang(),
                _ => {
                    out.write_all(b"c0000000\r\n")?;
                    while out.write_all(EVENT.as_bytes()).is_ok() {}
                    return ends();
                }
            }
        }
    };
    out.write_all(text.as_bytes())
}

/// Keeps a connection open and silent.
fn hang() -> std::io::Result<()> {
    thread::sleep(Duration::from_secs(30));
    Err(std::io::ErrorKind::TimedOut.into())
}

/// Discovery's agent, with a list that can be changed.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, String)>>,
    /// Ports of connections that have asked.
    asked: Arc<Mutex<BTreeSet<u16>>>,
    silent: Arc<Mutex<bool>>,
}

impl Agent {
    pub fn start(entries: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let agent = Agent {
            address: listener.local_addr()?,
            list: Arc::new(Mutex::new((1, entries.to_owned()))),
            asked: Arc::default(),
            silent: Arc::default(),
        };
        let own = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Tells another list from now on.
    pub fn set(&self, entries: &str) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, entries.to_owned());
    }

    /// Answers nothing while it is silent, on connections that stay open.
    pub fn silence(&self, silent: bool) {
        *self.silent.lock().unwrap() = silent;
    }

    /// How many connections have asked.
    pub fn asked(&self) -> usize {
        self.asked.lock().unwrap().len()
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut out), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else { return };
        let mut lines = BufReader::new(stream);
        while let Some((line, _)) = request(&mut lines) {
            self.asked.lock().unwrap().insert(peer.port());
            let known = line.split_once("since=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
            let mut waits = 100;
            while known == Some(self.list.lock().unwrap().0) && waits > 0 {
                thread::sleep(Duration::from_millis(20));
                waits -= 1;
            }
            if *self.silent.lock().unwrap() {
                let _ = hang();
                return;
            }
            let (index, entries) = self.list.lock().unwrap().clone();
            let body = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{entries}]}}");
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// An entry of discovery's list.
pub fn entry(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"hall\",\"type\":\"{kind}\",\"group\":0,\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// A configuration file for one gateway with a reader and a writer kind, and one traffic type, `chat`.
pub fn config(listen: SocketAddr, discovery: SocketAddr, entries: &str) -> String {
    let settings = r#"{"allowed":{"connIdle":15000000000,"maxAttempts":4,"maxRetryAfter":2000000000,"retryAfter":true},
        "balancers":1,"dcs":["hall"],"kinds":["reader","writer"],"membershipMode":"pushed","orgs":[],
        "lanes":[{"aim":1200000000,"hardLimit":4000000000,"name":"chat","semantics":"free","streamed":true,"worth":2.0}],
        "overShareWorth":0.1,"report":{"fields":["inflight","x0"],"how":"inline"},
        "rules":{"askEvery":10000000000,"cold":5000000000,"coldFrom":0.3,"drainGrace":2000000000,"overloadFactor":2.5,"overloadFor":1500000000},
        "specifics":{"aimUsPer1000PromptTokens":[40000.0],"kindRole":["read","write"],"memoryTokens":[200000,150000],
        "readInPlace":false,"releaseWithin":500000000,"reportX0":"share of memory that is held","resume":true,
        "tokenAim":[60000000]},"tick":4000000,"weights":"off","zone":"hall"}"#;
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256}},\
         \"known\":{{\"index\":1,\"snapshot\":true,\"endpoints\":[{entries}]}},\"settings\":{settings}}}"
    )
}
