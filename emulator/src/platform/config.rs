//! Configuration files and endpoint lists of the emulated platform.

use std::net::SocketAddr;

/// Returns an entry of the endpoint list, as a JSON object.
pub fn entry(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"hall\",\"type\":\"{kind}\",\"group\":0,\
         \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// Returns a configuration file for one gateway, with a prefill and a decode kind and one traffic type, `chat`.
/// `entries` are the endpoints of the list that the gateway starts with.
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
