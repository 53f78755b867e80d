//! The standard gRPC reflection service, by which clients discover the served services and their messages.

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

const CHAT_DESCRIPTOR_SET: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/chat.bin"));

/// The descriptors of all served services and their messages, by file and by symbol.
#[derive(Default)]
pub struct DescriptorIndex {
    /// Encoded file descriptors by file name.
    files: BTreeMap<String, Vec<u8>>,
    /// The name of the file that defines each symbol.
    symbols: BTreeMap<String, String>,
    services: Vec<String>,
}

impl DescriptorIndex {
    /// Indexes the chat, health and reflection services.
    pub fn new() -> Self {
        let mut index = DescriptorIndex::default();
        let sets = [
            CHAT_DESCRIPTOR_SET,
            tonic_health::pb::FILE_DESCRIPTOR_SET,
            tonic_reflection::pb::v1::FILE_DESCRIPTOR_SET,
            tonic_reflection::pb::v1alpha::FILE_DESCRIPTOR_SET,
        ];
        // Decoding can't fail: all sets are compiled in, and the tests of this module decode each of them.
        let sets = sets.into_iter().filter_map(|set| FileDescriptorSet::decode(set).ok());
        sets.flat_map(|set| set.file).for_each(|file| index.add_file(file));
        index
    }

    fn add_file(&mut self, file: FileDescriptorProto) {
        let (name, package) = (file.name().to_owned(), file.package().to_owned());
        for service in &file.service {
            let full_name = format!("{package}.{}", service.name());
            for method in &service.method {
                self.symbols.insert(format!("{full_name}.{}", method.name()), name.clone());
            }
            self.symbols.insert(full_name.clone(), name.clone());
            self.services.push(full_name);
        }
        for message in &file.message_type {
            self.add_message(&package, &name, message);
        }
        for enumeration in &file.enum_type {
            self.symbols.insert(format!("{package}.{}", enumeration.name()), name.clone());
        }
        self.files.insert(name, file.encode_to_vec());
    }

    fn add_message(&mut self, scope: &str, file: &str, message: &DescriptorProto) {
        let full_name = format!("{scope}.{}", message.name());
        self.symbols.insert(full_name.clone(), file.to_owned());
        for nested in &message.nested_type {
            self.add_message(&full_name, file, nested);
        }
        for enumeration in &message.enum_type {
            self.symbols.insert(format!("{full_name}.{}", enumeration.name()), file.to_owned());
        }
    }

    /// Returns the response to one request of the reflection service.
    pub fn respond(&self, request: ServerReflectionRequest) -> ServerReflectionResponse {
        let response = match &request.message_request {
            Some(MessageRequest::ListServices(_)) => self.list_services(),
            Some(MessageRequest::FileByFilename(name)) => self.file_response(Some(name)),
            Some(MessageRequest::FileContainingSymbol(symbol)) => {
                self.file_response(self.symbols.get(symbol.trim_start_matches('.')))
            }
            Some(_) => error_response(Code::NotFound, "extensions are not supported"),
            None => error_response(Code::InvalidArgument, "'message_request' is missing"),
        };
        ServerReflectionResponse {
            valid_host: request.host.clone(),
            original_request: Some(request),
            message_response: Some(response),
        }
    }

    fn list_services(&self) -> MessageResponse {
        let services = self.services.iter().map(|name| ServiceResponse { name: name.clone() });
        MessageResponse::ListServicesResponse(ListServiceResponse { service: services.collect() })
    }

    fn file_response(&self, name: Option<&String>) -> MessageResponse {
        match name.and_then(|name| self.files.get(name)) {
            Some(file) => MessageResponse::FileDescriptorResponse(FileDescriptorResponse {
                file_descriptor_proto: vec![file.clone()],
            }),
            None => error_response(Code::NotFound, "no file or symbol of this name is served"),
        }
    }
}

fn error_response(code: Code, message: &str) -> MessageResponse {
    MessageResponse::ErrorResponse(ErrorResponse {
        error_code: code.into(),
        error_message: message.to_owned(),
    })
}

#[cfg(test)]
mod tests;
