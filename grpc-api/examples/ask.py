"""Sends one chat request to a gateway by gRPC, and prints the streamed answer.

The definition of the service comes from the gateway's reflection service.

    pip install grpcio grpcio-reflection
    python3 grpc-api/examples/ask.py ADDRESS
"""

import sys, grpc
from google.protobuf.descriptor_pool import DescriptorPool
from google.protobuf.message_factory import GetMessageClass
from grpc_reflection.v1alpha.proto_reflection_descriptor_database import ProtoReflectionDescriptorDatabase

channel = grpc.insecure_channel(sys.argv[1])
pool = DescriptorPool(ProtoReflectionDescriptorDatabase(channel))
service = pool.FindServiceByName("petrelshore.chat.v1.ChatService")
stream = service.methods_by_name["Stream"]
Request, Event = GetMessageClass(stream.input_type), GetMessageClass(stream.output_type)
call = channel.unary_stream(f"/{service.full_name}/Stream", Request.SerializeToString, Event.FromString)
request = Request(model="rider-query", max_tokens=20)
request.messages.add(role="ROLE_USER", text="Why did my unlock fail?")
for event in call(request, timeout=10):
    print(event.text, end="", flush=True)
print()
