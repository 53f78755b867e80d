use super::*;

fn respond(message_request: MessageRequest) -> MessageResponse {
    let request = ServerReflectionRequest { host: String::new(), message_request: Some(message_request) };
    DescriptorIndex::new().respond(request).message_response.unwrap()
}

#[test]
fn every_service_is_listed_and_resolves_to_its_defining_file() {
    let MessageResponse::ListServicesResponse(list) = respond(MessageRequest::ListServices(String::new()))
    else {
        panic!("the response is not a list of services");
    };
    let names: Vec<&str> = list.service.iter().map(|service| service.name.as_str()).collect();
    assert_eq!(
        names,
        [
            "petrelshore.chat.v1.ChatService",
            "grpc.health.v1.Health",
            "grpc.reflection.v1.ServerReflection",
            "grpc.reflection.v1alpha.ServerReflection",
        ]
    );
    for name in names.into_iter().chain(["petrelshore.chat.v1.ChatEvent", "petrelshore.chat.v1.Role"]) {
        let found = respond(MessageRequest::FileContainingSymbol(name.to_owned()));
        let MessageResponse::FileDescriptorResponse(found) = found else { panic!("{name} is not found") };
        let file = FileDescriptorProto::decode(&found.file_descriptor_proto[0][..]).unwrap();
        assert!(name.starts_with(file.package()), "{name} is not in the package of {}", file.name());
        assert!(file.dependency.is_empty(), "{} depends on files that the response lacks", file.name());
    }
    let unknown = respond(MessageRequest::FileContainingSymbol("petrelshore.chat.v2.ChatService".to_owned()));
    assert!(
        matches!(unknown, MessageResponse::ErrorResponse(error) if error.error_code == Code::NotFound as i32)
    );
}
