//! Compiles the service definition with a compiler written in Rust, so that protoc is not needed.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let file = "petrelshore/chat/v1/chat.proto";
    println!("cargo:rerun-if-changed=proto/{file}");
    let descriptors = protox::compile([file], ["proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("chat.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
