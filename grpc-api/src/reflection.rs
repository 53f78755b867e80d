//! The published reflection service: what is served here, for clients that explore.

use prost::Message;
use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};
use std::collections::BTreeMap;
use tonic::Code;
use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
use tonic_reflection::pb::v1::server_reflection_response::MessageResponse;
use tonic_reflection::pb::v1::{
    ErrorResponse, FileDescriptorResponse, ListServiceResponse, ServerReflectionRequest,
    ServerReflectionResponse, ServiceResponse,
};

const CHAT: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/chat.bin"));

/// Everything that is served, by file and by symbol.
pub struct Described {
    files: BTreeMap<String, Vec<u8>>,
    symbols: BTreeMap<String, String>,
    services: Vec<String>,
}

impl Described {
    pub fn new() -> Self {
        let mut all = Described { files: BTreeMap::new(), symbols: BTreeMap::new(), services: Vec::new() };
        let sets = [
            CHAT,
            tonic_health::pb::FILE_DESCRIPTOR_SET,
            tonic_reflection::pb::v1::FILE_DESCRIPTOR_SET,
            tonic_reflection::pb::v1alpha::FILE_DESCRIPTOR_SET,
        ];
        // Built in, and read in the tests of this module.
        let sets = sets.into_iter().filter_map(|set| FileDescriptorSet::decode(set).ok());
        sets.flat_map(|set| set.file).for_each(|file| all.add(file));
        all
    }

    fn add(&mut self, file: FileDescriptorProto) {
        let (name, package) = (file.name().to_owned(), file.package().to_owned());
        for service in &file.service {
            let full = format!("{package}.{}", service.name());
            for method in &service.method {
                self.symbols.insert(format!("{full}.{}", method.name()), name.clone());
            }
            self.symbols.insert(full.clone(), name.clone());
            self.services.push(full);
        }
        file.message_type.iter().for_each(|message| self.message(&package, &name, message));
        for each in &file.enum_type {
            self.symbols.insert(format!("{package}.{}", each.name()), name.clone());
        }
        self.files.insert(name, file.encode_to_vec());
    }

    fn message(&mut self, within: &str, file: &str, message: &DescriptorProto) {
        let full = format!("{within}.{}", message.name());
        self.symbols.insert(full.clone(), file.to_owned());
        message.nested_type.iter().for_each(|nested| self.message(&full, file, nested));
        for each in &message.enum_type {
            self.symbols.insert(format!("{full}.{}", each.name()), file.to_owned());
        }
    }

    pub fn answer(&self, asked: ServerReflectionRequest) -> ServerReflectionResponse {
        let file = |name: Option<&String>| match name.and_then(|name| self.files.get(name)) {
            Some(file) => MessageResponse::FileDescriptorResponse(FileDescriptorResponse {
                file_descriptor_proto: vec![file.clone()],
            }),
            None => refused(Code::NotFound, "nothing of this name is served here"),
        };
        let answer = match &asked.message_request {
            Some(MessageRequest::ListServices(_)) => {
                let service = self.services.iter().map(|name| ServiceResponse { name: name.clone() });
                MessageResponse::ListServicesResponse(ListServiceResponse { service: service.collect() })
            }
            Some(MessageRequest::FileByFilename(name)) => file(Some(name)),
            Some(MessageRequest::FileContainingSymbol(symbol)) => {
                file(self.symbols.get(symbol.trim_start_matches('.')))
            }
            Some(_) => refused(Code::NotFound, "there are no extensions here"),
            None => refused(Code::InvalidArgument, "nothing was asked"),
        };
        ServerReflectionResponse {
            valid_host: asked.host.clone(),
            original_request: Some(asked),
            message_response: Some(answer),
        }
    }
}

fn refused(code: Code, message: &str) -> MessageResponse {
    MessageResponse::ErrorResponse(ErrorResponse {
        error_code: code.into(),
        error_message: message.to_owned(),
    })
}

#[cfg(test)]
mod tests;
